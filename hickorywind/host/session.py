"""Session of one caller: its state and the processing of its statements in order."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta

from hickorywind.host.autocommit import AutocommitStatement
from hickorywind.host.callerflow import CallerFlow
from hickorywind.host.fleet import Fleet
from hickorywind.host.requestlog import RequestLog, SessionCut
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.sessionstate import StatementTemplate
from hickorywind.host.stopstage import (
    StopStage,
    make_shutdown_abort,
    make_shutdown_cut,
    make_shutdown_refusal,
)
from hickorywind.host.transaction import Transaction
from hickorywind.ids import AccessMode, ServiceName
from hickorywind.ports.catalog import (
    AccountId,
    AccountKey,
    DatabaseName,
    PriorityRank,
    Route,
)
from hickorywind.ports.codecs import CallerCodec
from hickorywind.ports.replies import LocalCompletion, ProxyFailure, Reply, TransactionState
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
    Terminate,
)
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Clock
from hickorywind.util.sockets import has_unread_input

logger = logging.getLogger(__name__)

# How long a new session waits for the first configuration of a host that is starting.
CONFIGURATION_TIMEOUT = timedelta(milliseconds=1500)
STARTUP_RETRY_AFTER_MS = 500  # within this time a starting host, or another one, is ready
CONFIGURATION_POLL_INTERVAL = timedelta(milliseconds=20)
QUIET_PERIOD = timedelta(milliseconds=250)  # a stopping host ends sessions idle for this long
UNREAD_REPLY_TIMEOUT = timedelta(seconds=10)  # for a caller who takes nothing of its replies
PREPARED_STATEMENT_LIMIT = 1_000  # for each session
SESSION_VALUE_LIMIT = 200  # for each session

ServiceFinder = Callable[[ServiceName], ServiceRuntime | None]
# Returns None if an operation of a client account may start, or else its refusal.
Admission = Callable[[AccountId, PriorityRank], Awaitable[Result | None]]


class Session(asyncio.Protocol):
    """Connection and session of one caller."""

    def __init__(
        self,
        fleet: Fleet,
        find_service: ServiceFinder,
        admit: Admission,
        codec: CallerCodec,
        clock: Clock,
        request_log: RequestLog,
        on_end: Callable[[Session], None],
    ) -> None:
        self._fleet = fleet
        self._find_service = find_service
        self._admit = admit
        self._codec = codec
        self._clock = clock
        self._request_log = request_log
        self._on_end = on_end
        self._transport: asyncio.Transport | None = None
        self._flow = CallerFlow()
        self._pending: deque[CallerEvent] = deque()
        self._pending_bytes = 0
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._database = DatabaseName("")
        self._key = AccountKey("")
        self._context: SessionContext | None = None
        self._transaction: Transaction | None = None
        self._current: CallerEvent | None = None  # being processed
        self._stop_stage = StopStage.SERVING
        self._has_announced_end = False
        self._notice: Result | None = None  # sent, and not yet the error of a request's reply
        self._is_disconnected = False
        self._last_input_at = clock.now()

    # Callbacks of the transport ----------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start processing requests."""
        self._transport = transport
        self._flow.open(transport)
        self._task = asyncio.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Decode and queue the caller's requests; pause reading if too many are queued."""
        events = self._codec.feed(data)
        self._pending += events
        self._pending_bytes += sum(_text_size(event) for event in events)
        self._last_input_at = self._clock.now()
        self._flow.update_queue(len(self._pending), self._pending_bytes)
        self._wake.set()

    def pause_writing(self) -> None:
        """Run no more requests of a caller who does not take the replies."""
        self._flow.pause_writing()

    def resume_writing(self) -> None:
        """Go on with the requests of a caller who takes replies again."""
        self._flow.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop processing: cancel a waiting statement and roll back an open transaction."""
        self._is_disconnected = True
        if self._context is not None:
            self._context.mark_disconnected()
        self._flow.resume_writing()
        self._wake.set()
        self._on_end(self)

    # Lifecycle ---------------------------------------------------------------------------------

    @property
    def is_busy(self) -> bool:
        """Whether a request is being processed or is queued."""
        return self._current is not None or bool(self._pending)

    def advance_stop(self, stage: StopStage) -> None:
        """Enter a stage of the host's stop."""
        self._stop_stage = stage
        self._wake.set()

    def end_idle_transaction(self) -> None:
        """Roll back an open transaction without a request, and announce the session's end."""
        if self._transaction is None or self.is_busy or self._has_announced_end:
            return
        result = make_shutdown_abort()
        self._transaction.abort(result)
        self._transaction.has_failed = True
        self._announce_end(result)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Reply to open requests and close the connection; log what the caller may miss."""
        if self._transport is not None and not self._is_disconnected:
            self._log_cut()
            self._give_up_requests()
            self._transport.close()

    def _give_up_requests(self) -> None:
        """Reply to the current request that its outcome is unknown, and don't run the others."""
        waiting, self._pending, self._pending_bytes = self._pending, deque(), 0
        if self._context is None:
            return
        if isinstance(self._current, Request):
            self._give_up(self._current)
        for event in waiting:
            if self._notice is not None:
                self._handle_after_notice(event)
            elif isinstance(event, Request):
                self._refuse_at_stop(event)

    def _give_up(self, request: Request) -> None:
        result = make_shutdown_cut()
        self._request_log.record_refusal(request.request_id, self._database, result)
        if isinstance(request.statement, Commit | Rollback):
            self._transaction = None
        elif self._transaction is not None:
            self._transaction.has_failed = True
        self._reply(ProxyFailure(result))

    def _log_cut(self) -> None:
        cut = SessionCut(
            len(self._pending) + (self._current is not None),
            self._transport.get_write_buffer_size(),
            has_unread_input(self._transport.get_extra_info("socket")),
            self._state(),
            self._clock.now() - self._last_input_at,
        )
        self._request_log.record_cut(self._database, cut)

    async def _serve(self) -> None:
        try:
            while not self._is_disconnected:
                if not self._pending:
                    self._wake.clear()
                    await self._wait_for_request()
                    continue
                self._current = event = self._pending.popleft()
                self._pending_bytes -= _text_size(event)
                self._flow.update_queue(len(self._pending), self._pending_bytes)
                is_open = await self._handle(event)
                self._current = None
                if not is_open or not await self._wait_until_replies_are_taken():
                    break
        except Exception:
            logger.exception("session_failed", extra={"database": self._database})
        finally:
            await self._close()

    async def _wait_until_replies_are_taken(self) -> bool:
        """Wait for a caller who does not read; return False if it takes nothing for too long.

        Meanwhile it holds no more than a caller who sends nothing.
        """
        if self._flow.can_write:
            return True
        if self._transaction is not None and self._transaction.is_pinned:
            if await self._flow.wait_until_writable(self._transaction_idle_timeout()):
                return True
            await self._transaction.expire()
        unsent_bytes = self._transport.get_write_buffer_size()
        while not await self._flow.wait_until_writable(UNREAD_REPLY_TIMEOUT):
            before, unsent_bytes = unsent_bytes, self._transport.get_write_buffer_size()
            if unsent_bytes >= before:
                result = Result.not_run(ResultCode.SLOW_READER, "the caller takes no replies")
                self._request_log.record_refusal("-", self._database, result)
                self._transport.abort()
                return False
        return True

    async def _wait_for_request(self) -> None:
        if self._may_end():
            if self._refuses_new_work() or await self._is_quiet():
                self._announce_end(make_shutdown_refusal())
            return
        if self._transaction is None or not self._transaction.is_pinned:
            await self._wake.wait()
            return
        limit = self._transaction_idle_timeout()
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._wake.wait()
        except TimeoutError:
            # After the process was suspended, a request that arrived in time is seen only now.
            if not self._wake.is_set():
                await self._transaction.expire()

    # End of a stopping host's sessions ---------------------------------------------------------

    def _may_end(self) -> bool:
        is_stopping = self._stop_stage is not StopStage.SERVING
        return is_stopping and self._transaction is None and self._notice is None

    def _refuses_new_work(self) -> bool:
        is_refusing = self._stop_stage is StopStage.REFUSING or self._has_announced_end
        return is_refusing and self._transaction is None

    async def _is_quiet(self) -> bool:
        try:
            async with asyncio.timeout(QUIET_PERIOD.total_seconds()):
                await self._wake.wait()
        except TimeoutError:
            pass
        # A request may have been decoded in the same iteration of the event loop as the timeout.
        return not self._wake.is_set()

    def _announce_end(self, result: Result) -> None:
        """Tell the caller to close the session.

        The host doesn't close it itself, as that would cut off a request that is on its way. Such a
        request takes the notice for its error, so the end is announced once more after its reply.
        """
        self._has_announced_end = True
        self._notice = result
        self._write(self._codec.encode_end_notice(result))

    def _handle_after_notice(self, event: CallerEvent) -> bool:
        """Reply to what the caller sent before it saw the notice; return whether to go on."""
        notice, self._notice = self._notice, None
        match event:
            case Request(request_id, Commit() | Rollback()):
                self._transaction = None
            case Request(request_id, _) | MalformedInput(request_id, _, False):
                pass
            case _:
                return False
        self._request_log.record_refusal(request_id, self._database, notice)
        self._write(self._codec.encode_notice_completion(self._state()))
        return True

    def _transaction_idle_timeout(self) -> timedelta:
        return self._fleet.configuration.transaction_idle_timeout

    async def _close(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            await transaction.roll_back()
        if self._transport is not None:
            self._transport.close()

    # Requests ----------------------------------------------------------------------------------

    async def _handle(self, event: CallerEvent) -> bool:
        """Process what the caller sent; return whether the session goes on."""
        if self._notice is not None:
            return self._handle_after_notice(event)
        match event:
            case Connect(database, client):
                await self._wait_for_configuration()
                return self._connect(database, client)
            case Terminate():
                return False
            case MalformedInput(request_id, reason, is_fatal, is_too_large):
                code = ResultCode.MESSAGE_TOO_LARGE if is_too_large else None
                result = Result.not_run(code or ResultCode.MALFORMED_MESSAGE, reason)
                self._request_log.record_refusal(request_id, self._database, result)
                if is_fatal or self._context is None:
                    self._write(self._codec.encode_refused(result))
                    return False
                self._reply(ProxyFailure(result))
                return True
            case Request() if self._context is None:
                result = Result.not_run(ResultCode.MALFORMED_MESSAGE, "no session is open yet")
                self._write(self._codec.encode_refused(result))
                return False
            case Request() if self._refuses_new_work():
                self._refuse_at_stop(event)
                return True
            case Request():
                await self._process_request(event)
                return True

    def _refuse_at_stop(self, request: Request) -> None:
        result = make_shutdown_refusal()
        self._request_log.record_refusal(request.request_id, self._database, result)
        self._reply(ProxyFailure(result))

    async def _wait_for_configuration(self) -> None:
        until = self._clock.now() + CONFIGURATION_TIMEOUT
        while self._fleet.configuration is None and self._clock.now() < until:
            await asyncio.sleep(CONFIGURATION_POLL_INTERVAL.total_seconds())

    def _connect(self, database: str, client: str) -> bool:
        if self._context is not None:
            result = Result.not_run(ResultCode.MALFORMED_MESSAGE, "the session is already open")
            self._write(self._codec.encode_refused(result))
            return False
        self._database = DatabaseName(database)
        self._key = AccountKey(client)
        refusal = self._unknown_database_result() if self._route() is None else self._identify()
        if isinstance(refusal, Result):
            self._request_log.record_refusal("-", self._database, refusal)
            self._write(self._codec.encode_refused(refusal))
            return False
        # Where client accounts exist, the caller's name is its key, which must not be logged.
        has_accounts = self._fleet.configuration.accounts is not None
        self._context = SessionContext("" if has_accounts else client)
        self._write(self._codec.encode_connected())
        return True

    def _identify(self) -> AccountId | Result | None:
        """Return the caller's client account, None if it needs none, or a refusal."""
        configuration, route = self._fleet.configuration, self._route()
        if configuration.accounts is None or route is None or route.is_public:
            return None
        account = configuration.accounts.account_by_key.get(self._key)
        if account is None:
            reason = f"no client account holds this key in configuration {configuration.version}"
            return Result.not_run(ResultCode.AUTHENTICATION_FAILED, reason)
        return account

    def _route(self) -> Route | None:
        configuration = self._fleet.configuration
        return None if configuration is None else configuration.routes.get(self._database)

    def _unknown_database_result(self) -> Result:
        configuration = self._fleet.configuration
        if configuration is None:
            return Result.not_run(
                ResultCode.NOT_READY, "the host has no configuration yet", STARTUP_RETRY_AFTER_MS
            )
        reason = f"no route for this database in configuration version {configuration.version}"
        return Result.not_run(ResultCode.UNKNOWN_SERVICE, reason)

    def _is_key_withdrawn(self) -> bool:
        """Return whether the account of the open transaction no longer holds the session's key."""
        accounts, account = self._fleet.configuration.accounts, self._context.account
        if accounts is None or account is None:
            return False
        return accounts.account_by_key.get(self._key) != account

    async def _process_request(self, request: Request) -> None:
        arrived = self._clock.now()
        try:
            reply = await self._execute(request, arrived)
        except Exception:
            reply = self._handle_internal_error()
        transaction = self._transaction
        if isinstance(request.statement, Commit | Rollback):
            self._transaction = None
        self._reply(reply)
        if isinstance(reply, LocalCompletion):
            return
        route = self._route()
        service = None if route is None else self._find_service(route.service)
        configuration = self._fleet.configuration
        self._request_log.record_reply(
            request,
            self._database,
            self._context.account or self._context.client,
            reply,
            self._clock.now() - arrived,
            transaction,
            service,
            0 if configuration is None else configuration.version,
        )

    def _handle_internal_error(self) -> Reply:
        """Log the current exception; end the transaction, as its state is not known."""
        logger.exception("session_failed", extra={"database": self._database})
        result = Result.unknown(ResultCode.INTERNAL, "internal error; see the log of this host")
        if self._transaction is not None:
            self._transaction.abort(result)
            self._transaction.has_failed = True
        return ProxyFailure(result)

    def _reply(self, reply: Reply) -> None:
        self._write(self._codec.encode_reply(reply, self._state()))

    def _state(self) -> TransactionState:
        if self._transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if self._transaction.has_failed else TransactionState.OPEN

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def _execute(self, request: Request, arrived: timedelta) -> Reply:
        transaction = self._transaction
        if transaction is not None and transaction.has_failed:
            return await self._end_failed_transaction(request, transaction)
        if transaction is None:
            account = self._identify()
            if isinstance(account, Result):
                return ProxyFailure(account)
            self._context.account = account
        elif self._is_key_withdrawn():
            await transaction.roll_back()
            self._transaction = None
            reason = "the key of this session was withdrawn; its transaction was rolled back"
            return ProxyFailure(Result.not_run(ResultCode.AUTHENTICATION_FAILED, reason))
        match request.statement:
            case SetValue(name, value):
                return self._set_value(name, value)
            case Prepare(name, mode, template):
                return self._prepare(name, mode, template)
            case Deallocate(name):
                return self._deallocate(name)
            case Begin(read_only):
                return self._begin(read_only)
            case Rollback():
                if transaction is None:
                    return _malformed_reply("no transaction is open")
                await transaction.roll_back()
                return LocalCompletion()
            case Commit():
                if transaction is None:
                    return _malformed_reply("no transaction is open")
                refusal = await self._admit_operation(transaction.route)
                return refusal or await transaction.run(request, None, None)
            case Access(mode):
                return await self._run_statement(request, mode, None, arrived)
            case Execute(name, _):
                template = self._context.prepared_statements.get(name)
                if template is None:
                    return self._unknown_statement_reply()
                mode = AccessMode.WRITE if template.is_write else AccessMode.READ
                return await self._run_statement(request, mode, template, arrived)

    async def _end_failed_transaction(self, request: Request, transaction: Transaction) -> Reply:
        match request.statement:
            case Rollback():
                await transaction.roll_back()
                return LocalCompletion()
            case Commit():
                await transaction.roll_back()
                reason = "the transaction had failed and was rolled back"
                return ProxyFailure(Result.not_run(ResultCode.TRANSACTION_LOST, reason))
            case _:
                return _malformed_reply("the transaction has failed; roll it back first")

    def _set_value(self, name: str, value: str) -> Reply:
        if name not in self._context.values and len(self._context.values) >= SESSION_VALUE_LIMIT:
            return _malformed_reply("the session has too many session values")
        self._context.values[name] = value
        return LocalCompletion()

    def _prepare(self, name: str, mode: AccessMode, template: str) -> Reply:
        if (
            name not in self._context.prepared_statements
            and len(self._context.prepared_statements) >= PREPARED_STATEMENT_LIMIT
        ):
            return _malformed_reply("the session has too many prepared statements")
        self._context.prepared_statements[name] = StatementTemplate(mode, template)
        return LocalCompletion()

    def _deallocate(self, name: str) -> Reply:
        if self._context.prepared_statements.pop(name, None) is None:
            return self._unknown_statement_reply()
        return LocalCompletion()

    def _unknown_statement_reply(self) -> Reply:
        if self._transaction is not None:
            self._transaction.has_failed = True
        reason = "the session has no prepared statement of this name"
        return ProxyFailure(Result.not_run(ResultCode.UNKNOWN_PREPARED_STATEMENT, reason))

    def _begin(self, read_only: bool) -> Reply:
        if self._transaction is not None:
            self._transaction.has_failed = True
            return _malformed_reply("a transaction is already open")
        found = self._find_route_and_service()
        if isinstance(found, Result):
            return ProxyFailure(found)
        route, service = found
        self._transaction = Transaction(service, route, self._context, read_only)
        return LocalCompletion()

    def _find_route_and_service(self) -> tuple[Route, ServiceRuntime] | Result:
        route = self._route()
        if route is None:
            return self._unknown_database_result()
        service = self._find_service(route.service)
        if service is None:
            return Result.not_run(
                ResultCode.NO_PRIMARY, "the service has no backend server", STARTUP_RETRY_AFTER_MS
            )
        return route, service

    async def _run_statement(
        self,
        request: Request,
        mode: AccessMode,
        template: StatementTemplate | None,
        arrived: timedelta,
    ) -> Reply:
        if self._transaction is not None:
            refusal = await self._admit_operation(self._transaction.route)
            return refusal or await self._transaction.run(request, mode, template)
        found = self._find_route_and_service()
        if isinstance(found, Result):
            return ProxyFailure(found)
        route, service = found
        refusal = await self._admit_operation(route)
        if refusal is not None:
            return refusal
        operation = AutocommitStatement(
            service, route, self._context, request, mode, template, arrived
        )
        return await operation.run()

    async def _admit_operation(self, route: Route) -> Reply | None:
        """Return the refusal of an operation beyond its account's quota, or None.

        A transaction is admitted with its first statement.
        """
        account, transaction = self._context.account, self._transaction
        if account is None or (transaction is not None and transaction.is_admitted):
            return None
        refusal = await self._admit(account, route.rank)
        if transaction is not None:
            transaction.is_admitted = refusal is None
            transaction.has_failed = refusal is not None
        return None if refusal is None else ProxyFailure(refusal)


def _text_size(event: CallerEvent) -> int:
    return len(event.text) if isinstance(event, Request) else 0


def _malformed_reply(reason: str) -> Reply:
    return ProxyFailure(Result.not_run(ResultCode.MALFORMED_MESSAGE, reason))
