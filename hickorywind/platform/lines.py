"""Read and write the platform's line protocol for callers and backend servers."""

from __future__ import annotations

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

MAX_MESSAGE_BYTES = 1_048_576  # the protocol's limit for one message
OWN_REQUEST_ID = "-"  # marks statements that no caller sent

_END = b"\r\n"
_STATE_LETTERS = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
_STATES = {letter: state for state, letter in _STATE_LETTERS.items()}
_MODES = {"READ": AccessMode.READ, "WRITE": AccessMode.WRITE}
_ERROR_KINDS = {
    "BUSY": BackendErrorKind.BUSY,
    "LAGGING": BackendErrorKind.BEHIND,
    "READONLY": BackendErrorKind.READ_ONLY,
    "MISROUTED": BackendErrorKind.WRONG_SERVER,
    "CONNLIMIT": BackendErrorKind.CONNECTION_LIMIT,
    "NOSTMT": BackendErrorKind.UNKNOWN_STATEMENT,
    "FAILED": BackendErrorKind.FAILED,
    "TIMEOUT": BackendErrorKind.TIMEOUT,
}
# Codes that promise that nothing of the operation is kept stand only for results that prove it.
_NOT_RUN_CODES = {
    ResultCode.MALFORMED_MESSAGE: "MALFORMED",
    ResultCode.MESSAGE_TOO_LARGE: "TOOLARGE",
    ResultCode.UNSUPPORTED_STATEMENT: "MALFORMED",
    ResultCode.UNKNOWN_SERVICE: "NODB",
    ResultCode.UNKNOWN_PREPARED_STATEMENT: "NOSTMT",
    ResultCode.REPLICA_BEHIND: "LAGGING",
    ResultCode.TOO_STALE: "LAGGING",
    ResultCode.TRANSACTION_LOST: "ABORTED",
    ResultCode.TRANSACTION_IDLE_TIMEOUT: "ABORTED",
}


def parse_position(text: str) -> LogPosition | None:
    """Parse ``TERM.NUMBER``; None for ``-`` and anything else."""
    term, separator, number = text.partition(".")
    if not separator or not term.isdigit() or not number.isdigit():
        return None
    return LogPosition(Term(int(term)), int(number))


def render_position(position: LogPosition) -> str:
    """Render a log position as ``TERM.NUMBER``."""
    return f"{position.term}.{position.offset}"


class _LineBuffer:
    """Cut a byte stream into lines of bounded length."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self.is_overlong = False

    def feed(self, data: bytes) -> list[str]:
        """Return the lines completed by ``data``; raise ``UnicodeDecodeError``."""
        self._pending += data
        lines = []
        while (end := self._pending.find(_END)) >= 0:
            if end > MAX_MESSAGE_BYTES:
                self.is_overlong = True
                break
            lines.append(bytes(self._pending[:end]).decode("utf-8"))
            del self._pending[: end + len(_END)]
        if len(self._pending) > MAX_MESSAGE_BYTES:
            self.is_overlong = True
        return lines


class LineCallerCodec:
    """Serve one caller connection."""

    def __init__(self) -> None:
        self._buffer = _LineBuffer()
        self._is_broken = False

    def feed(self, data: bytes) -> list[CallerEvent]:
        """Take in bytes and return the events that they complete."""
        if self._is_broken:
            return []
        try:
            events = [_parse_line(line) for line in self._buffer.feed(data)]
        except UnicodeDecodeError:
            self._is_broken = True
            return [MalformedInput(OWN_REQUEST_ID, "the message is not UTF-8 text", True)]
        if self._buffer.is_overlong:
            self._is_broken = True
            reason = f"the message exceeds {MAX_MESSAGE_BYTES} bytes"
            events.append(MalformedInput(OWN_REQUEST_ID, reason, True, is_too_large=True))
        return events

    def encode_reply(self, reply: Reply, state: TransactionState) -> bytes:
        """Render a reply with the session's state; positions are not given to callers."""
        ready = f"READY {_STATE_LETTERS[state]} -\r\n"
        match reply:
            case LocalCompletion():
                text = f"COMPLETE -\r\n{ready}"
            case RelayedAnswer(answer):
                text = _render_answer(answer) + ready
            case ProxyFailure(result):
                text = f"ERROR {_error_code(result)} {_error_text(result)}\r\n{ready}"
        return text.encode("utf-8")

    def encode_connected(self) -> bytes:
        """Render the acceptance of a session."""
        return b"READY I -\r\n"

    def encode_refused(self, result: Result) -> bytes:
        """Render the refusal of a session, after which the connection is closed."""
        return f"ERROR {_error_code(result)} {_error_text(result)}\r\n".encode()


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


def _error_text(result: Result) -> str:
    hint = "" if result.retry_after_ms is None else f" retry_after_ms={result.retry_after_ms}"
    return f"[{int(result.code)}] {result.reason}{hint}"


def _parse_line(line: str) -> CallerEvent:
    if "\n" in line or "\r" in line:
        return MalformedInput(OWN_REQUEST_ID, "a field holds a line break", True)
    word, _, rest = line.partition(" ")
    match word:
        case "QUERY":
            request_id, _, text = rest.partition(" ")
            return _parse_query(request_id, text)
        case "CONNECT":
            database, _, client = rest.partition(" ")
            if not database:
                return MalformedInput(OWN_REQUEST_ID, "the connection names no database", True)
            return Connect(database, client)
        case "TERMINATE":
            return Terminate()
        case _:
            return MalformedInput(OWN_REQUEST_ID, "unknown message", True)


def _parse_query(request_id: str, text: str) -> CallerEvent:
    if not request_id or request_id == OWN_REQUEST_ID or not text:
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
        case ["PREPARE", name, mode, template] if mode in _MODES:
            return Prepare(name, _MODES[mode], template)
        case ["EXECUTE", name, _, *_]:
            return Execute(name, text.split(" ", 2)[2])
        case ["DEALLOCATE", name]:
            return Deallocate(name)
        case _:
            return None


class LineBackendCodec:
    """Speak with one backend server."""

    def __init__(self) -> None:
        self._buffer = _LineBuffer()
        self._rows: list[str] = []
        self._signature = ""
        self._error: BackendError | None = None

    def feed(self, data: bytes) -> list[Answer]:
        """Take in bytes and return the answers that they complete; raise ValueError."""
        answers = []
        for line in self._buffer.feed(data):
            word, _, rest = line.partition(" ")
            match word:
                case "ROW":
                    self._rows.append(rest)
                case "COMPLETE":
                    self._signature = rest
                case "ERROR":
                    self._error = _parse_error(rest)
                case "READY":
                    letter, _, position = rest.partition(" ")
                    if letter not in _STATES:
                        raise ValueError(f"unknown state {letter!r}")
                    answers.append(self._finish(_STATES[letter], parse_position(position)))
                case _:
                    raise ValueError(f"unknown message {word!r}")
        if self._buffer.is_overlong:
            raise ValueError("the message is too long")
        return answers

    @property
    def pending_error(self) -> BackendError | None:
        """Return an error that no final state has followed, as when a connection is refused."""
        return self._error

    def _finish(self, state: TransactionState, position: LogPosition | None) -> Answer:
        answer = Answer(tuple(self._rows), self._signature, self._error, state, position)
        self._rows = []
        self._signature = ""
        self._error = None
        return answer

    def encode_connect(self, service: ServiceName, client: str, backend: BackendId) -> bytes:
        """Render the opening of a connection."""
        return f"CONNECT {service} {client} {backend}\r\n".encode()

    def encode_statement(
        self, request_id: str, text: str, min_position: LogPosition | None
    ) -> bytes:
        """Render a relayed statement."""
        return _query(request_id, _after(min_position) + text)

    def encode_execute(
        self, request_id: str, name: str, arguments: str, min_position: LogPosition | None
    ) -> bytes:
        """Render the execution of a prepared statement."""
        return _query(request_id, f"{_after(min_position)}EXECUTE {name} {arguments}")

    def encode_begin(self, read_only: bool, min_position: LogPosition | None) -> bytes:
        """Render the opening of a transaction."""
        return _query(
            OWN_REQUEST_ID, _after(min_position) + ("BEGIN READ" if read_only else "BEGIN")
        )

    def encode_rollback(self) -> bytes:
        """Render a rollback."""
        return _query(OWN_REQUEST_ID, "ROLLBACK")

    def encode_set(self, name: str, value: str) -> bytes:
        """Render the setting of a session value."""
        return _query(OWN_REQUEST_ID, f"SET {name} {value}")

    def encode_prepare(self, name: str, is_write: bool, template: str) -> bytes:
        """Render the preparation of a statement shape."""
        mode = "WRITE" if is_write else "READ"
        return _query(OWN_REQUEST_ID, f"PREPARE {name} {mode} {template}")

    def encode_reset(self) -> bytes:
        """Render the clearing of all values and prepared statements."""
        return _query(OWN_REQUEST_ID, "RESET")

    def encode_status(self) -> bytes:
        """Render a query for the server's status."""
        return _query(OWN_REQUEST_ID, "STATUS")

    def decode_status(self, answer: Answer) -> ServerStatus | None:
        """Read a status row: role, term, position received, then load figures."""
        fields = answer.rows[0].split(" ") if answer.rows else []
        if len(fields) < 3 or fields[0] not in ("primary", "replica") or not fields[1].isdigit():
            return None
        received = parse_position(fields[2])
        if received is None:
            return None
        return ServerStatus(InstanceRole(fields[0]), Term(int(fields[1])), received)


def _query(request_id: str, text: str) -> bytes:
    return f"QUERY {request_id} {text}\r\n".encode()


def _after(position: LogPosition | None) -> str:
    return "" if position is None else f"AFTER {render_position(position)} "


def _parse_error(rest: str) -> BackendError:
    code = rest.partition(" ")[0]
    return BackendError(_ERROR_KINDS.get(code, BackendErrorKind.OTHER), rest)
