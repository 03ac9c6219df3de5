"""Fake pool for tests of the entry: the real entry-pool protocol, without backend servers."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Awaitable, Callable

from pygwire.constants import TransactionStatus
from pygwire.messages import (
    CommandComplete,
    DataRow,
    FieldDescription,
    ParameterDescription,
    ReadyForQuery,
    RowDescription,
)

from hickorywind.ids import Address, HostId, Incarnation, LogPosition, Term
from hickorywind.postgres.classifier import classify
from hickorywind.postgres.frames import Frame, FrameSplitter
from hickorywind.postgres.statementkinds import (
    Begin,
    Commit,
    Rollback,
)
from hickorywind.protocol.channel import Listener, PeerId
from hickorywind.protocol.messages import (
    AnswerCredit,
    AnswerEnd,
    AnswerPart,
    Cancel,
    CancelResult,
    EndTransaction,
    EntryHeartbeat,
    Execute,
    Message,
    PoolHeartbeat,
    TransactionState,
)
from hickorywind.results import Result, ResultCode
from tests.ports import free_address

TEXT_OID = 25


def columns(name: str = "value") -> bytes:
    return RowDescription([FieldDescription(name, 0, 0, TEXT_OID, -1, -1, 0)]).to_wire()


def row(value: str) -> bytes:
    return DataRow([value.encode()]).to_wire()


def command_complete(tag: str) -> bytes:
    return CommandComplete(tag).to_wire()


def ready_for_query(state: TransactionState) -> bytes:
    return ReadyForQuery(TransactionStatus(state.value)).to_wire()


def text_answer(value: str, state: TransactionState = TransactionState.IDLE) -> bytes:
    return columns() + row(value) + command_complete("SELECT 1") + ready_for_query(state)


Handler = Callable[["FakePool", PeerId, Execute], Awaitable[None]]


class FakePool:
    """Pool that answers each request with one row: the backend server and the statement text."""

    def __init__(self, address: Address | None = None, incarnation: int = 1) -> None:
        self.address = address or free_address()
        self._listener = Listener(self.address)
        self.incarnation = Incarnation(incarnation)
        self.executed: list[Execute] = []
        self.received: list[Message] = []
        self.handler: Handler = FakePool.answer_normally
        self.cancel_handler: Callable[[FakePool, PeerId, Cancel], Awaitable[None]] | None = None
        self.position = LogPosition(Term(1), 1)
        self.sends_heartbeats = True
        self.drain_step = 0
        self._tasks: set[asyncio.Task] = set()
        self._main = asyncio.create_task(self._run())
        self._open: dict[int, TransactionState] = {}

    async def _run(self) -> None:
        while True:
            received = await self._listener.receive()
            self.received.append(received.message)
            match received.message:
                case EntryHeartbeat(drain_step=0):
                    if self.sends_heartbeats:
                        heartbeat = PoolHeartbeat(
                            HostId("pool"), self.incarnation, self.drain_step > 0, self.drain_step
                        )
                        await self.send(received.peer, heartbeat)
                case Execute() as execute:
                    self.executed.append(execute)
                    self._spawn(self.handler(self, received.peer, execute))
                case Cancel() as cancel:
                    if self.cancel_handler is not None:
                        self._spawn(self.cancel_handler(self, received.peer, cancel))
                case EntryHeartbeat() | AnswerCredit() | EndTransaction():
                    pass

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send(self, peer: PeerId, message: Message) -> None:
        await self._listener.send(peer, message)

    def messages_of(self, kind: type) -> list[Message]:
        return [message for message in self.received if isinstance(message, kind)]

    async def answer_normally(self, peer: PeerId, execute: Execute) -> None:
        if execute.pool_incarnation != self.incarnation:
            await self.refuse(peer, execute, ResultCode.WRONG_INCARNATION)
            return
        frames, state = self.reply(execute)
        await self.answer(peer, execute, frames, state)

    async def answer(
        self,
        peer: PeerId,
        execute: Execute,
        frames: bytes,
        state: TransactionState = TransactionState.IDLE,
    ) -> None:
        await self.send(peer, AnswerPart(execute.request_id, 0, frames))
        transaction_id = execute.transaction_id or execute.request_id
        end = AnswerEnd(
            execute.request_id,
            1,
            Result.ok(),
            state,
            transaction_id=transaction_id if state is not TransactionState.IDLE else None,
            position=self.position,
        )
        await self.send(peer, end)

    async def refuse(self, peer: PeerId, execute: Execute, code: ResultCode) -> None:
        result = Result.not_run(code, "refused by the test")
        await self.finish(peer, execute, result)

    async def finish(self, peer: PeerId, execute: Execute, result: Result) -> None:
        await self.send(peer, AnswerEnd(execute.request_id, 0, result, TransactionState.IDLE))

    async def confirm_cancel(self, peer: PeerId, cancel: Cancel) -> None:
        result = Result.not_run(ResultCode.CANCELLED, "had not started")
        await self.send(peer, CancelResult(cancel.request_id, result))

    # Answers in the manner of a backend server --------------------------------------------------

    def reply(self, execute: Execute) -> tuple[bytes, TransactionState]:
        key = execute.transaction_id or execute.request_id
        state = self._open.get(key, TransactionState.IDLE)
        parsed = {item.name: _text_of_parse(item.parse_frame) for item in execute.prepared}
        out = b""
        bound = ""
        values: list[str] = []
        for frame in FrameSplitter(1 << 26).feed(execute.frames):
            match frame.kind:
                case b"Q":
                    text = bytes(frame.payload).rstrip(b"\0").decode()
                    state, answer = self._run_text(execute, text, state, columns())
                    out += answer + ready_for_query(state)
                case b"P":
                    parsed[_name(frame, 0)] = _text_of_parse(frame.data)
                    out += b"1\0\0\0\4"
                case b"B":
                    bound, values = _read_bind(frame, parsed)
                    out += b"2\0\0\0\4"
                case b"D" if bytes(frame.payload)[:1] == b"S":
                    count = parsed[_name(frame, 1)].count("$")
                    out += ParameterDescription([TEXT_OID] * count).to_wire() + columns()
                case b"D":
                    out += columns()
                case b"E":
                    text = " ".join([bound, *values]) if values else bound
                    state, answer = self._run_text(execute, text, state, b"")
                    out += answer
                case b"C":
                    out += b"3\0\0\0\4"
                case b"S":
                    out += ready_for_query(state)
                case b"H":
                    state = TransactionState.ACTIVE
        self._open[key] = state
        return out, state

    def _run_text(
        self, execute: Execute, text: str, state: TransactionState, header: bytes
    ) -> tuple[TransactionState, bytes]:
        match classify(text):
            case Begin():
                return TransactionState.ACTIVE, command_complete("BEGIN")
            case Commit():
                return TransactionState.IDLE, command_complete("COMMIT")
            case Rollback():
                return TransactionState.IDLE, command_complete("ROLLBACK")
        return state, header + row(f"{execute.backend}: {text}") + command_complete("SELECT 1")

    async def close(self) -> None:
        """Stop without notice, like a killed process."""
        for task in (self._main, *self._tasks):
            task.cancel()
        await asyncio.gather(self._main, *self._tasks, return_exceptions=True)
        self._listener.close()


def _text_of_parse(frame: bytes) -> str:
    return frame[5:].split(b"\0")[1].decode()


def _name(frame: Frame, start: int) -> str:
    return bytes(frame.payload)[start:].split(b"\0")[0].decode()


def _read_bind(frame: Frame, parsed: dict[str, str]) -> tuple[str, list[str]]:
    payload = bytes(frame.payload)
    _, name, _ = payload.split(b"\0", 2)
    position = payload.index(b"\0") + 1 + len(name) + 1
    (formats,) = struct.unpack_from("!H", payload, position)
    position += 2 + 2 * formats
    (count,) = struct.unpack_from("!H", payload, position)
    position += 2
    values = []
    for _ in range(count):
        (length,) = struct.unpack_from("!i", payload, position)
        position += 4
        values.append(payload[position : position + max(length, 0)].decode())
        position += max(length, 0)
    return parsed[name.decode()], values
