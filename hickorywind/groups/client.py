"""Client of the platform's SQL functions at one backend server, over a control connection.

Network failures are returned as ``CallFailed``, never raised. A connection serves one call at a
time. It is closed if its call did not complete, so that a late answer can't be taken for that of
another call.
"""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from pygwire import PygwireError

from hickorywind.groups.connection import ControlConnection, ServerError
from hickorywind.groups.status import REFUSED_SQLSTATE, BackendStatus
from hickorywind.ids import Address, LogPosition, Term
from hickorywind.util.decoding import MalformedDataError, decode

CONTROL_USER = "hickorywind_control"

_NETWORK_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    PygwireError,
    MalformedDataError,
    struct.error,
    UnicodeDecodeError,
    IndexError,
)

_status_decoder = msgspec.json.Decoder(BackendStatus)


@dataclass(frozen=True)
class CallRefused:
    """Result of a call that the backend server refused."""

    reason: str


@dataclass(frozen=True)
class CallFailed:
    """Result of a call without a usable answer; it may or may not have taken effect."""

    reason: str


CallResult = BackendStatus | CallRefused | CallFailed


class GroupClient:
    """Control client of one backend server; its calls run one after another."""

    def __init__(
        self,
        address: Address,
        timeout: timedelta,
        user: str = CONTROL_USER,
        password: str | None = None,
    ) -> None:
        self._address = address
        self._timeout_s = timeout.total_seconds()
        self._user = user
        self._password = password
        self._connection: ControlConnection | None = None
        self._lock = asyncio.Lock()

    @property
    def address(self) -> Address:
        """Return the address of the backend server."""
        return self._address

    async def status(self) -> CallResult:
        """Request the backend server's status."""
        return await self._call("SELECT platform_status()", self._timeout_s)

    async def wait_committed(self, position: LogPosition, timeout: timedelta) -> CallResult:
        """Wait until the log is committed up to a position, the term changes or time runs out.

        The returned status shows which; ``timeout`` is added to the client's own timeout.
        """
        timeout_ms = timeout // timedelta(milliseconds=1)
        sql = f"SELECT platform_wait_committed({position.term}, {position.offset}, {timeout_ms})"
        return await self._call(sql, timeout.total_seconds() + self._timeout_s)

    async def accept_term(self, term: Term, proposer: str, min_silence: timedelta) -> CallResult:
        """Request the promise to take part in a term and in no earlier one.

        The server refuses if it heard from the primary less than ``min_silence`` ago.
        """
        min_silence_ms = min_silence // timedelta(milliseconds=1)
        sql = f"SELECT platform_accept_term({term}, {_quote(proposer)}, {min_silence_ms})"
        return await self._call(sql, self._timeout_s)

    async def promote(self, term: Term, proposer: str) -> CallResult:
        """Request that the backend server become primary of a term that it accepted."""
        sql = f"SELECT platform_promote({term}, {_quote(proposer)})"
        return await self._call(sql, self._timeout_s)

    def close(self) -> None:
        """Close the connection; a later call opens another."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _call(self, sql: str, timeout_s: float) -> CallResult:
        try:
            async with asyncio.timeout(timeout_s):
                async with self._lock:
                    return await self._call_exclusively(sql)
        except TimeoutError:
            return CallFailed(f"{self._address} did not answer within {timeout_s:g} s")

    async def _call_exclusively(self, sql: str) -> CallResult:
        is_reusable = False
        try:
            result = await self._query(sql)
            is_reusable = True
            return result
        except ServerError as error:
            is_reusable = error.connection_usable
            if error.sqlstate == REFUSED_SQLSTATE:
                return CallRefused(str(error))
            return CallFailed(f"{self._address}: {error} ({error.sqlstate})")
        except _NETWORK_ERRORS as error:
            return CallFailed(f"{self._address}: {error!r}")
        finally:
            if not is_reusable:
                self.close()

    async def _query(self, sql: str) -> BackendStatus:
        if self._connection is None or not self._connection.is_open:
            self.close()
            self._connection = await ControlConnection.open(
                self._address, self._user, self._password
            )
        text = await self._connection.query_value(sql)
        return decode(_status_decoder, text)


def _quote(text: str) -> str:
    return "'" + text.replace("'", "''") + "'"
