"""Codecs of the platform's line protocol, for connections of callers and to backend servers."""

from __future__ import annotations

from collections.abc import Iterator

from hickorywind.ids import (
    AccessMode,
    BackendId,
    InstanceRole,
    LogPosition,
    ServiceName,
    Term,
)
from hickorywind.ports.replies import (
    Answer,
    BackendError,
    BackendErrorKind,
    LocalCompletion,
    ProxyFailure,
    RelayedAnswer,
    Reply,
    ServerStatus,
    TransactionState,
)
from hickorywind.ports.statements import (
    Access,
    Begin,
    CallerEvent,
    Commit,
    Connect,
    Deallocate,
    Execute,
    MalformedInput,
    Prepare,
    Request,
    Rollback,
    SetValue,
    Statement,
    Terminate,
)
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.decoding import parse_counter

MAX_MESSAGE_BYTES = 1_048_576  # limit of the protocol
PROXY_REQUEST_ID = "-"  # marks statements that the proxy itself sends
_UNSIGNED_TAG = "-"  # completes statements that need no signature

_LINE_END = b"\r\n"
_LETTER_BY_STATE = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
_STATE_BY_LETTER = {letter: state for state, letter in _LETTER_BY_STATE.items()}
_MODE_BY_KEYWORD = {"READ": AccessMode.READ, "WRITE": AccessMode.WRITE}
_ERROR_KIND_BY_CODE = {
    "BUSY": BackendErrorKind.BUSY,
    "LAGGING": BackendErrorKind.BEHIND,
    "READONLY": BackendErrorKind.READ_ONLY,
    "MISROUTED": BackendErrorKind.WRONG_SERVER,
    "CONNLIMIT": BackendErrorKind.CONNECTION_LIMIT,
    "NOSTMT": BackendErrorKind.UNKNOWN_STATEMENT,
    "FAILED": BackendErrorKind.FAILED,
    "TIMEOUT": BackendErrorKind.TIMEOUT,
}
# These codes promise that the operation left no effect, so they are used only for results that
# prove it.
_NOT_RUN_CODES = {
    ResultCode.MALFORMED_MESSAGE: "MALFORMED",
    ResultCode.MESSAGE_TOO_LARGE: "TOOLARGE",
    ResultCode.UNSUPPORTED_STATEMENT: "MALFORMED",
    ResultCode.UNKNOWN_SERVICE: "NODB",
    ResultCode.AUTHENTICATION_FAILED: "AUTHFAIL",
    ResultCode.UNKNOWN_PREPARED_STATEMENT: "NOSTMT",
    ResultCode.REPLICA_BEHIND: "LAGGING",
    ResultCode.TOO_STALE: "LAGGING",
    ResultCode.TRANSACTION_LOST: "ABORTED",
    ResultCode.TRANSACTION_IDLE_TIMEOUT: "ABORTED",
}


def parse_position(text: str) -> LogPosition | None:
    """Parse ``TERM.NUMBER``; return None for ``-`` and any other text."""
    term_text, _, number_text = text.partition(".")
    term, number = parse_counter(term_text), parse_counter(number_text)
    return None if term is None or number is None else LogPosition(Term(term), number)


def render_position(position: LogPosition) -> str:
    """Format a log position as ``TERM.NUMBER``."""
    return f"{position.term}.{position.offset}"


class _LineBuffer:
    """Buffer that splits a byte stream into lines of limited length."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self.is_overlong = False

    @property
    def has_partial_line(self) -> bool:
        """Whether bytes wait for the end of their line."""
        return bool(self._pending)

    def feed(self, data: bytes) -> Iterator[str]:
        """Yield the lines completed by ``data``; raise ``UnicodeDecodeError`` if not UTF-8."""
        self._pending += data
        while (end := self._pending.find(_LINE_END)) >= 0:
            if end > MAX_MESSAGE_BYTES:
                self.is_overlong = True
                break
            line = bytes(self._pending[:end])
            del self._pending[: end + len(_LINE_END)]
            yield line.decode("utf-8")
        if len(self._pending) > MAX_MESSAGE_BYTES:
            self.is_overlong = True


class LineCallerCodec:
    """Codec of one caller connection."""

    def __init__(self) -> None:
        self._buffer = _LineBuffer()
        self._has_failed = False

    def feed(self, data: bytes) -> list[CallerEvent]:
        """Parse bytes and return the events that they complete."""
        if self._has_failed:
            return []
        events = []
        try:
            for line in self._buffer.feed(data):
                events.append(_parse_message(line))
        except UnicodeDecodeError:
            self._has_failed = True
            reason = "the message is not UTF-8 text"
            return [*events, MalformedInput(PROXY_REQUEST_ID, reason, True)]
        if self._buffer.is_overlong:
            self._has_failed = True
            reason = f"the message exceeds {MAX_MESSAGE_BYTES} bytes"
            events.append(MalformedInput(PROXY_REQUEST_ID, reason, True, is_too_large=True))
        return events

    def encode_reply(self, reply: Reply, state: TransactionState) -> bytes:
        """Encode a reply with the session's state; callers get no log positions."""
        ready = _render_ready(state)
        match reply:
            case LocalCompletion():
                text = f"COMPLETE -\r\n{ready}"
            case RelayedAnswer(answer):
                text = _render_answer(answer) + ready
            case ProxyFailure(result):
                text = _render_error(result) + ready
        return text.encode("utf-8")

    def encode_connected(self) -> bytes:
        """Encode the acceptance of a session."""
        return b"READY I -\r\n"

    def encode_refused(self, result: Result) -> bytes:
        """Encode the refusal of a session, after which the connection is closed."""
        return _render_error(result).encode()

    def encode_end_notice(self, result: Result) -> bytes:
        """Encode the error that tells a caller without an open request to close its session."""
        return _render_error(result).encode()

    def encode_notice_completion(self, state: TransactionState) -> bytes:
        """Encode the end of the reply to a request that crossed the notice."""
        return _render_ready(state).encode()


def _render_ready(state: TransactionState) -> str:
    return f"READY {_LETTER_BY_STATE[state]} -\r\n"


def _render_error(result: Result) -> str:
    return f"ERROR {_error_code(result)} {_render_error_text(result)}\r\n"


def _render_answer(answer: Answer) -> str:
    rows = "".join(f"ROW {row}\r\n" for row in answer.rows)
    if answer.error is not None:
        return f"{rows}ERROR {answer.error.text}\r\n"
    return f"{rows}COMPLETE {answer.completion_tag}\r\n"


def _error_code(result: Result) -> str:
    match result.outcome:
        case Outcome.NOT_RUN:
            return _NOT_RUN_CODES.get(result.code, "BUSY")
        case Outcome.UNKNOWN if result.code is ResultCode.DEADLINE_PASSED:
            return "TIMEOUT"
        case _:
            return "INDOUBT"


def _render_error_text(result: Result) -> str:
    retry_field = (
        "" if result.retry_after_ms is None else f" retry_after_ms={result.retry_after_ms}"
    )
    return f"[{int(result.code)}] {result.reason}{retry_field}"


def _parse_message(line: str) -> CallerEvent:
    if "\n" in line or "\r" in line:
        return MalformedInput(PROXY_REQUEST_ID, "a field holds a line break", True)
    keyword, _, arguments = line.partition(" ")
    match keyword:
        case "QUERY":
            request_id, _, text = arguments.partition(" ")
            return _parse_query(request_id, text)
        case "CONNECT":
            database, _, client = arguments.partition(" ")
            if not database:
                return MalformedInput(PROXY_REQUEST_ID, "the connection names no database", True)
            return Connect(database, client)
        case "TERMINATE":
            return Terminate()
        case _:
            return MalformedInput(PROXY_REQUEST_ID, "unknown message", True)


def _parse_query(request_id: str, text: str) -> CallerEvent:
    if not request_id or request_id == PROXY_REQUEST_ID or not text:
        return MalformedInput(request_id, "the query has no id or no text", True)
    statement = _parse_statement(text)
    if statement is None:
        return MalformedInput(request_id, "unknown statement", False)
    return Request(request_id, statement, text)


def _parse_statement(text: str) -> Statement | None:
    words = text.split(" ", 3)
    match words:
        case ["BEGIN"]:
            return Begin(False)
        case ["BEGIN", "READ"]:
            return Begin(True)
        case ["COMMIT"]:
            return Commit()
        case ["ROLLBACK"]:
            return Rollback()
        case ["READ", _]:
            return Access(AccessMode.READ)
        case ["WRITE", _, _, *_]:
            return Access(AccessMode.WRITE)
        case ["SET", name, _, *_]:
            return SetValue(name, text.split(" ", 2)[2])
        case ["PREPARE", name, mode, template] if mode in _MODE_BY_KEYWORD:
            return Prepare(name, _MODE_BY_KEYWORD[mode], template)
        case ["EXECUTE", name, _, *_]:
            return Execute(name, text.split(" ", 2)[2])
        case ["DEALLOCATE", name]:
            return Deallocate(name)
        case _:
            return None


class LineBackendCodec:
    """Codec of one connection to a backend server."""

    def __init__(self) -> None:
        self._buffer = _LineBuffer()
        self._rows: list[str] = []
        self._completion_tag = ""
        self._error: BackendError | None = None

    def feed(self, data: bytes) -> list[Answer]:
        """Parse bytes and return the answers that they complete; raise ValueError if malformed."""
        answers = []
        for line in self._buffer.feed(data):
            keyword, _, arguments = line.partition(" ")
            match keyword:
                case "ROW":
                    self._rows.append(arguments)
                case "COMPLETE":
                    self._completion_tag = arguments
                case "ERROR":
                    self._error = _parse_error(arguments)
                case "READY":
                    letter, _, position = arguments.partition(" ")
                    if letter not in _STATE_BY_LETTER:
                        raise ValueError(f"unknown state {letter!r}")
                    answers.append(
                        self._complete_answer(_STATE_BY_LETTER[letter], parse_position(position))
                    )
                case _:
                    raise ValueError(f"unknown message {keyword!r}")
        if self._buffer.is_overlong:
            raise ValueError("the message is too long")
        return answers

    @property
    def pending_error(self) -> BackendError | None:
        """Return an error without a final state after it, as when a connection is refused."""
        return self._error

    def is_signed(self, answer: Answer) -> bool | None:
        """Return whether a success carries the server's signature; None without a completion."""
        return answer.completion_tag != _UNSIGNED_TAG if answer.completion_tag else None

    @property
    def has_partial_answer(self) -> bool:
        """Whether bytes have arrived that complete no answer yet."""
        has_fields = bool(self._rows or self._completion_tag or self._error)
        return has_fields or self._buffer.has_partial_line

    def _complete_answer(self, state: TransactionState, position: LogPosition | None) -> Answer:
        answer = Answer(tuple(self._rows), self._completion_tag, self._error, state, position)
        self._rows = []
        self._completion_tag = ""
        self._error = None
        return answer

    def encode_connect(self, service: ServiceName, client: str, backend: BackendId) -> bytes:
        """Encode the message that opens a connection."""
        return f"CONNECT {service} {client} {backend}\r\n".encode()

    def encode_statement(
        self, request_id: str, text: str, min_position: LogPosition | None
    ) -> bytes:
        """Encode a caller's statement; the server refuses it unless it holds ``min_position``."""
        return _encode_query(request_id, _after_prefix(min_position) + text)

    def encode_execute(
        self, request_id: str, name: str, arguments: str, min_position: LogPosition | None
    ) -> bytes:
        """Encode the execution of a prepared statement by its name on the backend connection."""
        return _encode_query(request_id, f"{_after_prefix(min_position)}EXECUTE {name} {arguments}")

    def encode_begin(self, read_only: bool, min_position: LogPosition | None) -> bytes:
        """Encode the start of a transaction."""
        return _encode_query(
            PROXY_REQUEST_ID, _after_prefix(min_position) + ("BEGIN READ" if read_only else "BEGIN")
        )

    def encode_rollback(self) -> bytes:
        """Encode a rollback that the proxy issues itself."""
        return _encode_query(PROXY_REQUEST_ID, "ROLLBACK")

    def encode_set(self, name: str, value: str) -> bytes:
        """Encode the setting of a session value."""
        return _encode_query(PROXY_REQUEST_ID, f"SET {name} {value}")

    def encode_prepare(self, name: str, is_write: bool, template: str) -> bytes:
        """Encode the preparation of a statement template."""
        mode = "WRITE" if is_write else "READ"
        return _encode_query(PROXY_REQUEST_ID, f"PREPARE {name} {mode} {template}")

    def encode_reset(self) -> bytes:
        """Encode the reset of all session values and prepared statements."""
        return _encode_query(PROXY_REQUEST_ID, "RESET")

    def encode_status(self) -> bytes:
        """Encode a query for the server's status."""
        return _encode_query(PROXY_REQUEST_ID, "STATUS")

    def encode_step_down(self, term: Term) -> bytes:
        """Encode the order that makes a primary of a lower term a replica."""
        return _encode_query(PROXY_REQUEST_ID, f"STEPDOWN {term}")

    def decode_status(self, answer: Answer) -> ServerStatus | None:
        """Decode a status row: role, term, received position, then load figures; else None.

        The position behind the row is the applied one.
        """
        fields = answer.rows[0].split(" ") if answer.rows else []
        if len(fields) < 3 or fields[0] not in ("primary", "replica"):
            return None
        term, received = parse_counter(fields[1]), parse_position(fields[2])
        if term is None or received is None:
            return None
        return ServerStatus(InstanceRole(fields[0]), Term(term), received, answer.position)


def _encode_query(request_id: str, text: str) -> bytes:
    return f"QUERY {request_id} {text}\r\n".encode()


def _after_prefix(position: LogPosition | None) -> str:
    return "" if position is None else f"AFTER {render_position(position)} "


def _parse_error(arguments: str) -> BackendError:
    code = arguments.partition(" ")[0]
    return BackendError(_ERROR_KIND_BY_CODE.get(code, BackendErrorKind.OTHER), arguments)
