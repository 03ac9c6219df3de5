"""Client that exchanges raw PostgreSQL messages with an entry or backend server."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Sequence
from dataclasses import dataclass, field

from pygwire import messages

from hickorywind.ids import Address
from hickorywind.postgres.frames import Frame, FrameSplitter

ANSWER_SECONDS = 10.0
_LIMIT_BYTES = 64 * 1024 * 1024
_READ_BYTES = 65_536
_VOLATILE_DETAIL = re.compile(r"retry_after_ms=\d+")
_VOLATILE_HINT = re.compile(r"\b\d+ ms")
_VOLATILE_PARAMETERS = frozenset({"hickorywind.token", "platform.position"})
_SHOWN_ERROR_FIELDS = ("S", "C", "M", "D", "H")
_BACKEND_MESSAGES: dict[bytes, type[messages.PGMessage]] = {
    b"R": messages.AuthenticationOk,
    b"S": messages.ParameterStatus,
    b"K": messages.BackendKeyData,
    b"Z": messages.ReadyForQuery,
    b"T": messages.RowDescription,
    b"t": messages.ParameterDescription,
    b"D": messages.DataRow,
    b"C": messages.CommandComplete,
    b"E": messages.ErrorResponse,
    b"N": messages.NoticeResponse,
    b"I": messages.EmptyQueryResponse,
    b"n": messages.NoData,
    b"s": messages.PortalSuspended,
    b"1": messages.ParseComplete,
    b"2": messages.BindComplete,
    b"3": messages.CloseComplete,
}


class RawCaller:
    """Connection that sends raw messages and returns the messages received."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._splitter = FrameSplitter(_LIMIT_BYTES)

    @classmethod
    async def connect(cls, address: Address) -> RawCaller:
        """Open a TCP connection without sending anything."""
        return cls(*await asyncio.open_connection(address.host, address.port))

    async def startup(self, parameters: dict[str, str]) -> list[messages.PGMessage]:
        """Send a startup message and return the answers up to ReadyForQuery."""
        return await self.exchange([messages.StartupMessage(params=parameters)])

    async def exchange(self, sent: Sequence[messages.PGMessage]) -> list[messages.PGMessage]:
        """Send messages and return the answers up to ReadyForQuery or the end of the connection."""
        self.send_bytes(b"".join(message.to_wire() for message in sent))
        return await self.read_answers()

    def send_bytes(self, data: bytes) -> None:
        """Send raw bytes."""
        self._writer.write(data)

    async def read_answers(self) -> list[messages.PGMessage]:
        """Return the answers up to ReadyForQuery or the end of the connection."""
        answers: list[messages.PGMessage] = []
        async with asyncio.timeout(ANSWER_SECONDS):
            while not (answers and isinstance(answers[-1], messages.ReadyForQuery)):
                data = await self._reader.read(_READ_BYTES)
                if not data:
                    break
                answers.extend(decode(frame) for frame in self._splitter.feed(data))
        return answers

    async def read_bytes(self) -> bytes:
        """Return the next bytes received, or empty bytes at the end of the connection."""
        async with asyncio.timeout(ANSWER_SECONDS):
            return await self._reader.read(_READ_BYTES)

    async def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def decode(frame: Frame) -> messages.PGMessage:
    """Decode a message sent by a backend server."""
    return _BACKEND_MESSAGES[frame.kind].decode(frame.payload)


def describe_sent(message: messages.PGMessage) -> str:
    """Return the transcript line of a message sent by the caller."""
    match message:
        case messages.Query(query_string=text):
            return f"> Query {text}"
        case messages.Parse(statement=name, query=text):
            return f"> Parse {name!r} {text}"
        case messages.Bind(portal=portal, statement=name, param_values=values):
            return f"> Bind {portal!r} {name!r} {_format_values(values)}"
        case messages.Describe(kind=kind, name=name) | messages.Close(kind=kind, name=name):
            return f"> {type(message).__name__} {kind} {name!r}"
        case messages.Execute(portal=portal, max_rows=count):
            return f"> Execute {portal!r} {count}"
        case _:
            return f"> {type(message).__name__}"


def describe_received(message: messages.PGMessage) -> str | None:
    """Return the transcript line of a received message, without values that vary by run."""
    match message:
        case messages.RowDescription(fields=fields):
            columns = ", ".join(f"{item.name}:{item.type_oid}" for item in fields)
            return f"< RowDescription {columns}"
        case messages.DataRow(columns=values):
            return f"< DataRow {_format_values(values)}"
        case messages.CommandComplete(tag=tag):
            return f"< CommandComplete {tag}"
        case messages.ReadyForQuery(status=status):
            return f"< ReadyForQuery {status.value}"
        case messages.ParameterStatus(name=name, value=value):
            shown = "(varies)" if name in _VOLATILE_PARAMETERS else value
            return f"< ParameterStatus {name}={shown}"
        case messages.ParameterDescription(type_oids=oids):
            return f"< ParameterDescription {list(oids)}"
        case messages.ErrorResponse(fields=fields) | messages.NoticeResponse(fields=fields):
            return f"< {type(message).__name__} {_format_error_fields(fields)}"
        case _:
            return f"< {type(message).__name__}"


def _format_values(values: Sequence[bytes | None]) -> str:
    return repr([None if value is None else bytes(value).decode() for value in values])


def _format_error_fields(fields: dict[str, str]) -> str:
    shown = [f"{key}={fields[key]}" for key in _SHOWN_ERROR_FIELDS if key in fields]
    text = " | ".join(shown)
    return _VOLATILE_HINT.sub("N ms", _VOLATILE_DETAIL.sub("retry_after_ms=N", text))


@dataclass
class Transcript:
    """Collect the lines of one session."""

    lines: list[str] = field(default_factory=list)

    async def open(
        self, name: str, address: Address, parameters: dict[str, str]
    ) -> tuple[RawCaller, dict[str, str]]:
        """Open a connection; return it and the parameters reported by the server."""
        self.lines.append(f"# open {name} {_format_parameters(parameters)}".rstrip())
        caller = await RawCaller.connect(address)
        answers = await caller.startup(parameters)
        self._record_answers(answers)
        return caller, _reported_parameters(answers)

    async def send_messages(self, caller: RawCaller, *sent: messages.PGMessage) -> dict[str, str]:
        """Send messages, record both directions and return the parameters reported."""
        self.lines.extend(describe_sent(message) for message in sent)
        answers = await caller.exchange(sent)
        self._record_answers(answers)
        return _reported_parameters(answers)

    async def query(self, caller: RawCaller, text: str) -> dict[str, str]:
        """Send a simple query and record the exchange."""
        return await self.send_messages(caller, messages.Query(query_string=text))

    async def close(self, name: str, caller: RawCaller) -> None:
        """Record the end of a connection and close it."""
        self.lines.append(f"# close {name}")
        await caller.close()

    def _record_answers(self, answers: Sequence[messages.PGMessage]) -> None:
        self.lines.extend(describe_received(message) for message in answers)

    @property
    def text(self) -> str:
        """Return the transcript as text, with a newline at its end."""
        return "\n".join(self.lines) + "\n"


def _format_parameters(parameters: dict[str, str]) -> str:
    shown = dict(parameters)
    if shown.get("hickorywind.token"):
        shown["hickorywind.token"] = "(as reported)"
    return " ".join(f"{key}={value}" for key, value in shown.items())


def _reported_parameters(answers: Sequence[messages.PGMessage]) -> dict[str, str]:
    return {
        message.name: message.value
        for message in answers
        if isinstance(message, messages.ParameterStatus)
    }
