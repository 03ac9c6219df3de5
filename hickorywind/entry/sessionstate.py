"""State of a session between requests, and the statements that read or change it."""

from __future__ import annotations

from collections.abc import Mapping

from hickorywind.configuration.model import Account, ReadKind, Service
from hickorywind.ids import Rank, ServiceName, SessionId, UserName
from hickorywind.postgres.answers import command_complete, text_row
from hickorywind.postgres.batch import LocalStatement
from hickorywind.postgres.hints import (
    NO_HINTS,
    SESSION_ID,
    TOKEN,
    Hints,
    bad_hint_error,
    parse_name,
)
from hickorywind.postgres.statementkinds import (
    Deallocate,
    NoOperation,
    SetHint,
    ShowHint,
)
from hickorywind.routing.session import SessionFloors

_REQUEST_ID = "request_id"
_DEFAULT_TIMEOUT_MS = 5_000


class SessionState:
    """Id, user, floors and hints of a session.

    ``account`` is the client account of the user, None while there are no accounts.
    """

    def __init__(
        self,
        service: ServiceName,
        user: UserName,
        session_id: SessionId,
        floors: SessionFloors,
        hints: Hints,
    ) -> None:
        self.service = service
        self.user = user
        self.account: Account | None = None
        self.session_id = session_id
        self.floors = floors
        self._startup_hints = hints
        self.hints = hints

    @classmethod
    def from_startup(
        cls, service: ServiceName, user: UserName, settings: Mapping[str, str], new_id: SessionId
    ) -> SessionState:
        """Build the state from the startup settings; raise ``BAD_HINT`` or ``BAD_TOKEN``.

        ``new_id`` becomes the session id if the caller gives none.
        """
        requested_id = settings.get(SESSION_ID)
        session_id = (
            new_id if requested_id is None else SessionId(parse_name(SESSION_ID, requested_id))
        )
        floors = SessionFloors.from_startup(requested_id is not None, settings.get(TOKEN))
        hints = NO_HINTS
        for name, value in settings.items():
            if name not in (SESSION_ID, TOKEN):
                hints = cls._with_hint(hints, name, value)
        return cls(service, user, session_id, floors, hints)

    @property
    def default_rank(self) -> Rank:
        """Return the rank of requests that name none."""
        return self.account.priority if self.account is not None else Rank.STANDARD

    @staticmethod
    def _with_hint(hints: Hints, name: str, value: str | None) -> Hints:
        if name == _REQUEST_ID and value is not None:
            raise bad_hint_error(
                "request_id applies to one request; give it in a statement's comment"
            )
        return hints.with_value(name, value)

    def answer(self, statement: LocalStatement) -> bytes:
        """Execute a statement on the session state and return its answer."""
        match statement:
            case SetHint(name=name, value=value):
                self._set(name, value)
                return command_complete("SET")
            case ShowHint(name=name):
                return text_row(self._show(name)) + command_complete("SHOW")
            case Deallocate(name=name):
                return command_complete("DEALLOCATE ALL" if name is None else "DEALLOCATE")
            case NoOperation(tag=tag):
                return command_complete(tag)

    def _set(self, name: str, value: str | None) -> None:
        if name == TOKEN:
            if value is not None:
                self.floors.merge_token(value)
        elif name == SESSION_ID:
            raise bad_hint_error("session_id can only be given when connecting")
        elif value is None:
            self.hints = self.hints.with_value_from(name, self._startup_hints)
        else:
            self.hints = self._with_hint(self.hints, name, value)

    def _show(self, name: str) -> str:
        match name:
            case "token":
                return self.floors.token()
            case "session_id":
                return self.session_id
            case _:
                return self.hints.format_value(name)


def find_read_kind(service: Service, hints: Hints) -> ReadKind | None:
    """Return the kind of read given by the hints, if any; raise ``BAD_HINT`` if it is unknown."""
    if hints.read_kind is None:
        return None
    for kind in service.read_kinds:
        if kind.name == hints.read_kind:
            return kind
    raise bad_hint_error(f"service {service.name} has no kind of read {hints.read_kind!r}")


def find_rank(service: Service, hints: Hints, default_rank: Rank) -> Rank:
    """Return the rank of a request; raise ``BAD_HINT`` if the service doesn't offer it."""
    offered_ranks = [policy.rank for policy in service.ranks]
    if hints.priority is None:
        return (
            default_rank
            if default_rank in offered_ranks or not offered_ranks
            else offered_ranks[-1]
        )
    if hints.priority not in offered_ranks:
        raise bad_hint_error(f"service {service.name} does not offer rank {hints.priority.value}")
    return hints.priority


def find_timeout_ms(service: Service, rank: Rank, hints: Hints) -> int:
    """Return the timeout of a request in milliseconds."""
    if hints.timeout_ms is not None:
        return hints.timeout_ms
    for policy in service.ranks:
        if policy.rank is rank:
            return policy.timeout_ms
    return _DEFAULT_TIMEOUT_MS
