"""Gather a caller's messages into batches, each of which runs as one request.

A batch ends in Query, Sync or Flush. Messages are renamed to shared prepared statements; those
that concern only the session are answered here.
"""

from __future__ import annotations

from typing import Protocol

from hickorywind.postgres.answers import (
    BIND_COMPLETE,
    BIND_REPLY,
    CLOSE_COMPLETE,
    CLOSE_REPLY,
    DESCRIBE_REPLY,
    EXECUTE_REPLY,
    NO_DATA,
    NO_PARAMETERS,
    PARSE_COMPLETE,
    PARSE_REPLY,
    LocalReply,
    Reply,
    describe_text_column,
)
from hickorywind.postgres.batch import ANSWERED_HERE, Batch, Ending, LocalStatement
from hickorywind.postgres.frames import Frame
from hickorywind.postgres.hints import Hints, bad_hint, split_comment
from hickorywind.postgres.kinds import (
    Begin,
    Deallocate,
    Empty,
    NoOperation,
    NotCarried,
    SetHint,
    ShowHint,
)
from hickorywind.postgres.prepared import (
    Prepared,
    bound_statement,
    decode_name,
    describe_statement,
    malformed,
    read_name,
    read_parse,
    rename_bind,
    target_of,
)
from hickorywind.postgres.statements import classify
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode

_NAMED_LIMIT = 1_000


class LocalAnswerer(Protocol):
    """Answer statements that concern only the session."""

    def answer(self, statement: LocalStatement) -> bytes:
        """Carry out a statement and return rows and CommandComplete; raise on a bad value."""
        ...


class BatchBuilder:
    """Take a session's messages in order and return each batch that they complete."""

    def __init__(self, answerer: LocalAnswerer, limit_bytes: int) -> None:
        self._answerer = answerer
        self._limit_bytes = limit_bytes
        self._named: dict[str, Prepared] = {}
        self._portals: dict[str, Prepared] = {}
        self._batch = Batch()
        self._skipping = False

    @property
    def is_empty(self) -> bool:
        """Tell whether no message waits for its batch to end."""
        return self._batch.size_bytes == 0

    def skip_to_sync(self) -> None:
        """Ignore messages up to the next Sync, as after an error."""
        self._skipping = True

    def forget_portals(self) -> None:
        """Forget the portals, which end with their transaction."""
        self._portals.clear()

    def forget_statements(self, name: str | None) -> None:
        """Forget one prepared statement, or all of them."""
        if name is None:
            self._named.clear()
        else:
            self._named.pop(name, None)

    def add(self, frame: Frame) -> Batch | None:
        """Take in a message and return the batch that it completes, if it does.

        Raise ``HickorywindError`` for a message that ends the connection.
        """
        match frame.kind:
            case b"Q":
                return self._take_query(frame)
            case b"S":
                self._skipping = False
                return self._end(Ending.SYNC)
            case _ if self._skipping:
                return None
            case b"H":
                return self._end(Ending.FLUSH)
            case b"P" | b"B" | b"D" | b"E" | b"C":
                self._take_extended(frame)
                return None
            case b"F":
                return self._refuse_function_call()
            case b"d" | b"c" | b"f":
                return None
            case kind:
                raise malformed(f"message {kind!r} is not known")

    def _end(self, ending: Ending) -> Batch:
        batch, self._batch = self._batch, Batch()
        batch.ending = ending
        if batch.refusal is not None and ending is Ending.FLUSH:
            self._skipping = True
        return batch

    def _refuse_function_call(self) -> Batch:
        reason = "function calls of the protocol are not carried"
        refusal = Result.not_run(ResultCode.UNSUPPORTED_STATEMENT, reason)
        return Batch(ending=Ending.QUERY, refusal=refusal)

    # Simple queries ---------------------------------------------------------------------------

    def _take_query(self, frame: Frame) -> Batch:
        self._skipping = False
        batch = Batch(ending=Ending.QUERY, size_bytes=len(frame.data))
        payload = bytes(frame.payload)
        text = decode_name(read_name(payload, 0)[0])
        try:
            batch.hints, text = split_comment(text)
            statement = classify(text)
            batch.statements.append(statement)
            match statement:
                case NotCarried(code=code, reason=reason):
                    batch.refusal = Result.not_run(code, reason)
                case SetHint() | ShowHint() | Deallocate() | NoOperation():
                    answer = self._describe_local(statement) + self._answerer.answer(statement)
                    batch.replies.append(LocalReply(answer))
                case _:
                    batch.frames += frame.data
                    batch.runs = True
        except HickorywindError as error:
            batch.refusal = error.result
        return batch

    def _describe_local(self, statement: LocalStatement) -> bytes:
        if isinstance(statement, ShowHint):
            return describe_text_column(statement.name)
        return b""

    # Extended protocol ------------------------------------------------------------------------

    def _take_extended(self, frame: Frame) -> None:
        batch = self._batch
        batch.size_bytes += len(frame.data)
        if batch.size_bytes > self._limit_bytes:
            reason = f"batch exceeds {self._limit_bytes} bytes"
            raise HickorywindError(Result(ResultCode.MESSAGE_TOO_LARGE, Outcome.NOT_RUN, reason))
        if batch.refusal is not None:
            return
        try:
            self._translate(frame)
        except HickorywindError as error:
            if error.result.code is ResultCode.MALFORMED_MESSAGE:
                raise
            batch.refusal = error.result

    def _translate(self, frame: Frame) -> None:
        match frame.kind:
            case b"P":
                self._take_parse(frame)
            case b"B":
                self._take_bind(frame)
            case b"D":
                self._take_describe(frame)
            case b"E":
                self._take_execute(frame)
            case b"C":
                self._take_close(frame)

    def _take_parse(self, frame: Frame) -> None:
        name, prepared = read_parse(frame)
        if isinstance(prepared.statement, NotCarried):
            refused = prepared.statement
            raise HickorywindError(Result.not_run(refused.code, refused.reason))
        if name and name not in self._named and len(self._named) >= _NAMED_LIMIT:
            reason = f"a session holds at most {_NAMED_LIMIT} prepared statements"
            raise HickorywindError(Result.not_run(ResultCode.SESSION_LIMIT, reason))
        self._named[name] = prepared
        if isinstance(prepared.statement, Begin):
            # A pool tells by the Parse in the batch that a transaction is about to open.
            self._batch.parsed.add(prepared.definition.name)
            self._forward(prepared.definition.parse_frame, PARSE_REPLY)
            return
        self._batch.replies.append(LocalReply(PARSE_COMPLETE))
        self._refer_to(prepared)

    def _refer_to(self, prepared: Prepared) -> None:
        definition = prepared.definition
        is_local = isinstance(prepared.statement, ANSWERED_HERE)
        if not is_local and definition.name not in self._batch.parsed:
            self._batch.prepared[definition.name] = definition

    def _find_statement(self, name: str) -> Prepared:
        prepared = self._named.get(name)
        if prepared is None:
            reason = f"prepared statement {name!r} does not exist"
            raise HickorywindError(Result.not_run(ResultCode.UNKNOWN_PREPARED_STATEMENT, reason))
        return prepared

    def _take_bind(self, frame: Frame) -> None:
        portal, name = bound_statement(frame)
        prepared = self._find_statement(name)
        self._portals[portal] = prepared
        if isinstance(prepared.statement, ANSWERED_HERE):
            self._batch.replies.append(LocalReply(BIND_COMPLETE))
            return
        self._refer_to(prepared)
        self._batch.bound.append(prepared.statement)
        self._forward(rename_bind(frame, prepared.definition.name), BIND_REPLY)
        self._batch.runs = True

    def _forward(self, data: bytes, reply: Reply) -> None:
        self._batch.frames += data
        self._batch.replies.append(reply)

    def _take_describe(self, frame: Frame) -> None:
        kind, name = target_of(frame)
        if kind == b"P":
            prepared = self._portals.get(name)
            if prepared is not None and isinstance(prepared.statement, ANSWERED_HERE):
                self._batch.replies.append(LocalReply(_describe_row(prepared.statement)))
                return
            self._batch.runs = True
            self._forward(frame.data, DESCRIBE_REPLY)
            return
        prepared = self._find_statement(name)
        if isinstance(prepared.statement, ANSWERED_HERE):
            data = NO_PARAMETERS + _describe_row(prepared.statement)
            self._batch.replies.append(LocalReply(data))
            return
        self._refer_to(prepared)
        self._forward(describe_statement(prepared.definition.name), DESCRIBE_REPLY)

    def _take_execute(self, frame: Frame) -> None:
        portal = decode_name(read_name(bytes(frame.payload), 0)[0])
        prepared = self._portals.get(portal)
        batch = self._batch
        if prepared is None:
            batch.statements.append(Empty())
        else:
            batch.statements.append(prepared.statement)
            batch.hints = _merge_hints(batch.hints, prepared.hints)
            if isinstance(prepared.statement, ANSWERED_HERE):
                answer = self._answerer.answer(prepared.statement)
                batch.replies.append(LocalReply(answer))
                return
        batch.runs = True
        self._forward(frame.data, EXECUTE_REPLY)

    def _take_close(self, frame: Frame) -> None:
        kind, name = target_of(frame)
        if kind == b"S":
            self._named.pop(name, None)
            self._batch.replies.append(LocalReply(CLOSE_COMPLETE))
            return
        prepared = self._portals.pop(name, None)
        if prepared is None or isinstance(prepared.statement, ANSWERED_HERE):
            self._batch.replies.append(LocalReply(CLOSE_COMPLETE))
            return
        self._forward(frame.data, CLOSE_REPLY)


def _describe_row(statement: LocalStatement) -> bytes:
    return describe_text_column(statement.name) if isinstance(statement, ShowHint) else NO_DATA


def _merge_hints(first: Hints, second: Hints) -> Hints:
    ids = {hints.request_id for hints in (first, second) if hints.request_id is not None}
    if len(ids) > 1:
        raise bad_hint("one batch holds two different request ids")
    return second.over(first)
