"""Numbered result codes and how callers see them.

Every refusal or failure that hickorywind itself reports carries a ``Result``. A test compares the
table in ``docs/result-codes.md`` with this module.
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec


class Outcome(Enum):
    """What is known about whether a request ran at a backend server."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Number of each kind of result; the thousands name the part of the system concerned."""

    OK = 0
    ALREADY_RAN = 1
    # 1xxx: what the caller sent
    BAD_STARTUP = 1001
    MALFORMED_MESSAGE = 1002
    MESSAGE_TOO_LARGE = 1003
    UNSUPPORTED_STATEMENT = 1004
    SESSION_STATE_NOT_CARRIED = 1005
    UNKNOWN_SERVICE = 1006
    BAD_HINT = 1007
    BAD_TOKEN = 1008
    AUTHENTICATION_FAILED = 1009
    UNKNOWN_PREPARED_STATEMENT = 1010
    MULTIPLE_SERVICES = 1011
    # 2xxx: admission and limits
    QUEUE_FULL = 2001
    WOULD_MISS_DEADLINE = 2002
    DEADLINE_PASSED = 2003
    TOO_MANY_TRANSACTIONS = 2004
    TRANSACTION_IDLE_TIMEOUT = 2005
    SESSION_LIMIT = 2006
    TOO_MANY_CONNECTIONS = 2007
    CANCELLED = 2008
    LINK_BUDGET_SPENT = 2009
    QUOTA_EXCEEDED = 2010
    SLOW_READER = 2011
    # 3xxx: routing and freshness
    NO_PRIMARY = 3001
    REPLICA_BEHIND = 3002
    TOO_STALE = 3003
    NOT_HOME = 3004
    BACKEND_UNREACHABLE = 3005
    BACKEND_LEAVING = 3006
    STALE_TERM = 3007
    POOL_UNREACHABLE = 3008
    # 4xxx: outcomes in doubt
    COMMIT_UNPROVEN = 4001
    CONNECTION_LOST = 4002
    POOL_LOST = 4003
    TRANSACTION_LOST = 4004
    # 5xxx: lifecycle
    DRAINING = 5001
    SHUTTING_DOWN = 5002
    NOT_READY = 5003
    # 6xxx: protocol between hickorywind processes
    VERSION_REFUSED = 6001
    WRONG_INCARNATION = 6002
    DUPLICATE_REQUEST = 6003
    CONTROLLER_UNREACHABLE = 6004
    # 7xxx: configuration and the store
    CONFIG_INVALID = 7001
    CONFIG_CONFLICT = 7002
    STORE_UNAVAILABLE = 7003
    STORE_OUTCOME_UNKNOWN = 7004
    SETTINGS_INVALID = 7005
    # 9xxx: internal errors, i.e. bugs
    INTERNAL = 9001


class Result(msgspec.Struct, frozen=True, array_like=True):
    """How a request ended and whether its sender may retry it.

    ``retry_after_ms`` is the delay before a retry, None if a later retry would not help.
    """

    code: ResultCode
    outcome: Outcome
    reason: str
    retry_allowed: bool = False
    retry_after_ms: int | None = None

    @classmethod
    def ok(cls) -> Result:
        """Return the result of a request that ran to completion."""
        return cls(ResultCode.OK, Outcome.RAN, "")

    @classmethod
    def not_run(cls, code: ResultCode, reason: str, retry_after_ms: int | None = None) -> Result:
        """Return the refusal of a request of which no byte reached a backend server.

        A retry is allowed only if ``retry_after_ms`` is given.
        """
        retry_allowed = retry_after_ms is not None
        return cls(code, Outcome.NOT_RUN, reason, retry_allowed, retry_after_ms)

    @classmethod
    def unknown(cls, code: ResultCode, reason: str) -> Result:
        """Return the result of a request that may or may not have run."""
        return cls(code, Outcome.UNKNOWN, reason)

    @property
    def is_ok(self) -> bool:
        """Return whether the request ran to completion."""
        return self.code in (ResultCode.OK, ResultCode.ALREADY_RAN)


_SQLSTATE_BY_CODE: dict[ResultCode, str] = {
    ResultCode.OK: "00000",
    ResultCode.ALREADY_RAN: "00000",
    ResultCode.BAD_STARTUP: "08P01",
    ResultCode.MALFORMED_MESSAGE: "08P01",
    ResultCode.MESSAGE_TOO_LARGE: "54000",
    ResultCode.UNSUPPORTED_STATEMENT: "0A000",
    ResultCode.SESSION_STATE_NOT_CARRIED: "0A000",
    ResultCode.UNKNOWN_SERVICE: "3D000",
    ResultCode.BAD_HINT: "22023",
    ResultCode.BAD_TOKEN: "22023",
    ResultCode.AUTHENTICATION_FAILED: "28P01",
    ResultCode.UNKNOWN_PREPARED_STATEMENT: "26000",
    ResultCode.MULTIPLE_SERVICES: "0A000",
    ResultCode.QUEUE_FULL: "53400",
    ResultCode.WOULD_MISS_DEADLINE: "53400",
    ResultCode.DEADLINE_PASSED: "57014",
    ResultCode.TOO_MANY_TRANSACTIONS: "53300",
    ResultCode.TRANSACTION_IDLE_TIMEOUT: "25P03",
    ResultCode.SESSION_LIMIT: "53400",
    ResultCode.TOO_MANY_CONNECTIONS: "53300",
    ResultCode.CANCELLED: "57014",
    ResultCode.LINK_BUDGET_SPENT: "53400",
    ResultCode.QUOTA_EXCEEDED: "53400",
    ResultCode.SLOW_READER: "53400",
    ResultCode.COMMIT_UNPROVEN: "40003",
    ResultCode.CONNECTION_LOST: "40003",
    ResultCode.POOL_LOST: "40003",
    ResultCode.TRANSACTION_LOST: "40003",
    ResultCode.SHUTTING_DOWN: "57P01",
    ResultCode.VERSION_REFUSED: "08P01",
    ResultCode.DUPLICATE_REQUEST: "08P01",
    ResultCode.INTERNAL: "XX000",
}

_SQLSTATE_CANNOT_CONNECT_NOW = "57P03"


def sqlstate_for(code: ResultCode) -> str:
    """Return the SQLSTATE that describes a result code best to PostgreSQL clients."""
    return _SQLSTATE_BY_CODE.get(code, _SQLSTATE_CANNOT_CONNECT_NOW)


class HickorywindError(Exception):
    """Exception that carries a ``Result``; its message is the result's reason."""

    def __init__(self, result: Result) -> None:
        super().__init__(result.reason)
        self.result = result


class UserError(Exception):
    """Mistake of the user, which the command line prints in one line without a traceback."""

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code
