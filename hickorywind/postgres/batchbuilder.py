"""Grouping of a caller's messages into batches, each of which runs as one request.

A Query, Sync or Flush message ends a batch. Statement names in messages are replaced by the names
of shared prepared statements; statements that concern only the session are answered locally.
"""

from __future__ import annotations

from collections.abc import Callable
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
from hickorywind.postgres.batch import (
    LOCAL_STATEMENT_TYPES,
    Batch,
    BatchTerminator,
    LocalStatement,
    SessionChange,
)
from hickorywind.postgres.classifier import classify
from hickorywind.postgres.frames import Frame
from hickorywind.postgres.hints import Hints, bad_hint_error, split_comment
from hickorywind.postgres.prepared import (
    SessionPreparedStatement,
    decode_name,
    decode_parse,
    encode_describe_statement,
    malformed_message_error,
    read_bind_names,
    read_name,
    read_target,
    replace_bind_statement,
)
from hickorywind.postgres.statementkinds import (
    Begin,
    Deallocate,
    Empty,
    NoOperation,
    SetHint,
    ShowHint,
    UnsupportedStatement,
)
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode

_PREPARED_STATEMENT_LIMIT = 1_000


class LocalStatementHandler(Protocol):
    """Interface that executes statements concerning only the session.

    ``hints`` are the settings of the session, which such statements change.
    """

    hints: Hints

    def answer(self, statement: LocalStatement) -> bytes:
        """Execute a statement and return its rows and CommandComplete as wire bytes.

        Raise ``HickorywindError`` for an invalid value."""
        ...


class BatchBuilder:
    """Builder of batches from a session's messages, in order of arrival."""

    def __init__(self, answerer: LocalStatementHandler, limit_bytes: int) -> None:
        self._answerer = answerer
        self._limit_bytes = limit_bytes
        self._prepared_statements: dict[str, SessionPreparedStatement] = {}
        self._portals: dict[str, SessionPreparedStatement] = {}
        self._batch = Batch()
        self._skipping_to_sync = False

    @property
    def is_empty(self) -> bool:
        """Return whether the current batch has no messages."""
        return self._batch.size_bytes == 0

    def skip_to_sync(self) -> None:
        """Ignore messages until the next Sync or Query, as after an error."""
        self._skipping_to_sync = True

    def forget_portals(self) -> None:
        """Remove all portals, because their transaction ended."""
        self._portals.clear()

    def undo_changes(self, batch: Batch, reply_count: int) -> None:
        """Undo the changes of messages after the first ``reply_count``, because the batch failed.

        A backend server skips the messages behind an error, so they must not change the session.
        """
        for change in reversed(batch.changes):
            if change.reply_index >= reply_count:
                change.undo()

    def add(self, frame: Frame) -> Batch | None:
        """Add a message and return the batch that it completes, or None.

        Raise ``HickorywindError`` for a message after which the connection must be closed.
        """
        match frame.kind:
            case b"Q":
                return self._add_query(frame)
            case b"S":
                self._skipping_to_sync = False
                return self._end(BatchTerminator.SYNC)
            case _ if self._skipping_to_sync:
                return None
            case b"H":
                return self._end(BatchTerminator.FLUSH)
            case b"P" | b"B" | b"D" | b"E" | b"C":
                self._add_extended(frame)
                return None
            case b"F":
                return self._refuse_function_call()
            case b"d" | b"c" | b"f":
                return None
            case kind:
                raise malformed_message_error(f"message {kind!r} is not known")

    def _end(self, terminator: BatchTerminator) -> Batch:
        batch, self._batch = self._batch, Batch()
        batch.terminator = terminator
        if batch.refusal is not None and terminator is BatchTerminator.FLUSH:
            self._skipping_to_sync = True
        return batch

    def _refuse_function_call(self) -> Batch:
        reason = "function calls of the protocol are not carried"
        refusal = Result.not_run(ResultCode.UNSUPPORTED_STATEMENT, reason)
        return Batch(terminator=BatchTerminator.QUERY, refusal=refusal)

    # Simple queries ---------------------------------------------------------------------------

    def _add_query(self, frame: Frame) -> Batch:
        self._skipping_to_sync = False
        batch = Batch(terminator=BatchTerminator.QUERY, size_bytes=len(frame.data))
        payload = bytes(frame.payload)
        text = decode_name(read_name(payload, 0)[0])
        try:
            batch.hints, text = split_comment(text)
            statement = classify(text)
            batch.statements.append(statement)
            match statement:
                case UnsupportedStatement(code=code, reason=reason):
                    batch.refusal = Result.not_run(code, reason)
                case SetHint() | ShowHint() | Deallocate() | NoOperation():
                    answer = self._execute_local(batch, statement)
                    batch.replies.append(LocalReply(self._describe_local(statement) + answer))
                case _:
                    batch.frames += frame.data
                    batch.executes_on_backend = True
        except HickorywindError as error:
            batch.refusal = error.result
        return batch

    def _describe_local(self, statement: LocalStatement) -> bytes:
        if isinstance(statement, ShowHint):
            return describe_text_column(statement.name)
        return b""

    def _execute_local(self, batch: Batch, statement: LocalStatement) -> bytes:
        match statement:
            case SetHint():
                hints = self._answerer.hints
                self._record_change(batch, lambda: setattr(self._answerer, "hints", hints))
            case Deallocate(name=None):
                prepared = dict(self._prepared_statements)
                self._prepared_statements.clear()
                self._record_change(batch, lambda: self._prepared_statements.update(prepared))
            case Deallocate(name=name):
                self._assign(batch, self._prepared_statements, name, None)
        return self._answerer.answer(statement)

    def _record_change(self, batch: Batch, undo: Callable[[], None]) -> None:
        batch.changes.append(SessionChange(len(batch.replies), undo))

    def _assign(
        self,
        batch: Batch,
        names: dict[str, SessionPreparedStatement],
        name: str,
        prepared: SessionPreparedStatement | None,
    ) -> SessionPreparedStatement | None:
        """Assign a name, or remove it where ``prepared`` is None; return what it stood for."""
        previous = names.get(name)
        _set_or_remove(names, name, prepared)
        self._record_change(batch, lambda: _set_or_remove(names, name, previous))
        return previous

    # Extended protocol ------------------------------------------------------------------------

    def _add_extended(self, frame: Frame) -> None:
        batch = self._batch
        batch.size_bytes += len(frame.data)
        if batch.size_bytes > self._limit_bytes:
            reason = f"batch exceeds {self._limit_bytes} bytes"
            raise HickorywindError(Result(ResultCode.MESSAGE_TOO_LARGE, Outcome.NOT_RUN, reason))
        if batch.refusal is not None:
            return
        try:
            self._process_extended(frame)
        except HickorywindError as error:
            if error.result.code is ResultCode.MALFORMED_MESSAGE:
                raise
            batch.refusal = error.result

    def _process_extended(self, frame: Frame) -> None:
        match frame.kind:
            case b"P":
                self._process_parse(frame)
            case b"B":
                self._process_bind(frame)
            case b"D":
                self._process_describe(frame)
            case b"E":
                self._process_execute(frame)
            case b"C":
                self._process_close(frame)

    def _process_parse(self, frame: Frame) -> None:
        name, prepared = decode_parse(frame)
        if isinstance(prepared.statement, UnsupportedStatement):
            refused = prepared.statement
            raise HickorywindError(Result.not_run(refused.code, refused.reason))
        if (
            name
            and name not in self._prepared_statements
            and len(self._prepared_statements) >= _PREPARED_STATEMENT_LIMIT
        ):
            reason = f"a session holds at most {_PREPARED_STATEMENT_LIMIT} prepared statements"
            raise HickorywindError(Result.not_run(ResultCode.SESSION_LIMIT, reason))
        self._assign(self._batch, self._prepared_statements, name, prepared)
        if isinstance(prepared.statement, Begin):
            # Pools recognize from the Parse message in the batch that a transaction will be opened.
            self._batch.parsed_names.add(prepared.definition.name)
            self._forward(prepared.definition.parse_frame, PARSE_REPLY)
            return
        self._batch.replies.append(LocalReply(PARSE_COMPLETE))
        self._require_definition(prepared)

    def _require_definition(self, prepared: SessionPreparedStatement) -> None:
        definition = prepared.definition
        is_local = isinstance(prepared.statement, LOCAL_STATEMENT_TYPES)
        if not is_local and definition.name not in self._batch.parsed_names:
            self._batch.prepared[definition.name] = definition

    def _find_statement(self, name: str) -> SessionPreparedStatement:
        prepared = self._prepared_statements.get(name)
        if prepared is None:
            reason = f"prepared statement {name!r} does not exist"
            raise HickorywindError(Result.not_run(ResultCode.UNKNOWN_PREPARED_STATEMENT, reason))
        return prepared

    def _process_bind(self, frame: Frame) -> None:
        portal, name = read_bind_names(frame)
        prepared = self._find_statement(name)
        self._assign(self._batch, self._portals, portal, prepared)
        if isinstance(prepared.statement, LOCAL_STATEMENT_TYPES):
            self._batch.replies.append(LocalReply(BIND_COMPLETE))
            return
        self._require_definition(prepared)
        self._batch.bound_statements.append(prepared.statement)
        self._forward(replace_bind_statement(frame, prepared.definition.name), BIND_REPLY)
        self._batch.executes_on_backend = True

    def _forward(self, data: bytes, reply: Reply) -> None:
        self._batch.frames += data
        self._batch.replies.append(reply)

    def _process_describe(self, frame: Frame) -> None:
        kind, name = read_target(frame)
        if kind == b"P":
            prepared = self._portals.get(name)
            if prepared is not None and isinstance(prepared.statement, LOCAL_STATEMENT_TYPES):
                self._batch.replies.append(LocalReply(_describe_result(prepared.statement)))
                return
            self._batch.executes_on_backend = True
            self._forward(frame.data, DESCRIBE_REPLY)
            return
        prepared = self._find_statement(name)
        if isinstance(prepared.statement, LOCAL_STATEMENT_TYPES):
            data = NO_PARAMETERS + _describe_result(prepared.statement)
            self._batch.replies.append(LocalReply(data))
            return
        self._require_definition(prepared)
        self._forward(encode_describe_statement(prepared.definition.name), DESCRIBE_REPLY)

    def _process_execute(self, frame: Frame) -> None:
        portal = decode_name(read_name(bytes(frame.payload), 0)[0])
        prepared = self._portals.get(portal)
        batch = self._batch
        if prepared is None:
            batch.statements.append(Empty())
        else:
            batch.statements.append(prepared.statement)
            batch.hints = _merge_hints(batch.hints, prepared.hints)
            if isinstance(prepared.statement, LOCAL_STATEMENT_TYPES):
                answer = self._execute_local(batch, prepared.statement)
                batch.replies.append(LocalReply(answer))
                return
        batch.executes_on_backend = True
        self._forward(frame.data, EXECUTE_REPLY)

    def _process_close(self, frame: Frame) -> None:
        kind, name = read_target(frame)
        if kind == b"S":
            self._assign(self._batch, self._prepared_statements, name, None)
            self._batch.replies.append(LocalReply(CLOSE_COMPLETE))
            return
        prepared = self._assign(self._batch, self._portals, name, None)
        if prepared is None or isinstance(prepared.statement, LOCAL_STATEMENT_TYPES):
            self._batch.replies.append(LocalReply(CLOSE_COMPLETE))
            return
        self._forward(frame.data, CLOSE_REPLY)


def _set_or_remove(
    names: dict[str, SessionPreparedStatement],
    name: str,
    prepared: SessionPreparedStatement | None,
) -> None:
    if prepared is None:
        names.pop(name, None)
    else:
        names[name] = prepared


def _describe_result(statement: LocalStatement) -> bytes:
    return describe_text_column(statement.name) if isinstance(statement, ShowHint) else NO_DATA


def _merge_hints(first: Hints, second: Hints) -> Hints:
    ids = {hints.request_id for hints in (first, second) if hints.request_id is not None}
    if len(ids) > 1:
        raise bad_hint_error("one batch holds two different request ids")
    return second.merged_over(first)
