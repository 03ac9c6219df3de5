"""Promises that the soak checks, and the faults beside which each of them holds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from functools import partial

from hickorywind.results import Outcome
from hickorywind_bench.checker import Guarantee, check_history
from hickorywind_bench.history import Append, History
from soak.changes import count_rolled_back
from soak.freshness import FreshnessChecker
from soak.plan import HARMLESS_KINDS, HOST_KINDS, LEAVING_KINDS, PLANNED_KINDS, Fault, FaultKind
from soak.platform import LEAVING_S, SoakGroup
from soak.servers import StatementRun
from soak.statements import (
    OWN_REQUEST_ID,
    ServerStatement,
    StatementChecker,
    StatementPromise,
    remove_position,
)

CONTACT_S = 5.0  # a host is in touch after this time without a fault (contact_ms)
LOSS_SLACK_S = 0.2  # a request may cross the close of its connection (loss_slack_ms)
GRACE_S = 6.0  # from SIGTERM until the platform kills a host (grace_s)
CONFIG_APPLY_S = 4.0  # a configuration is in force by then (config_apply_ms)
LEAVING_SLACK_S = 0.5  # a statement may be on its way
END_NOTICE_S = 1.0  # the soak notices the end of a process by then
STALL_TICK_S = 0.01
STALL_S = 0.08  # well below ``LOSS_SLACK_S``
MAX_DETAILS = 20  # violations of one promise that a report shows


class Promise(Enum):
    """Promise of the pages beyond those of ``Guarantee``."""

    ONE_PRIMARY_ACKNOWLEDGES = "a replaced primary acknowledges no write"
    PLANNED_CHANGE_KEEPS_ALL = "a planned change loses no acknowledged commit"
    ONE_PROMOTER = "fencing tokens rise, one holder each"
    ACCEPTED_IS_ANSWERED = "a request that was accepted is answered around planned work"
    READ_IS_ANSWERED = "a request that a process has read is answered unless it is killed"
    STOP_CROSSES_NO_REQUEST = "a stop crosses no request of a caller that follows announcements"
    TRANSACTIONS_HAVE_TIME = "an open transaction has half of the grace time to end"
    STOPS_WITHIN_GRACE = "a stopped host ends within its grace"
    STAYS_UP = "no process ends by itself"
    LEFT_SERVER_UNUSED = "a server that left is not used"
    REMOVED_ROUTE_REFUSED = "a removed route is refused, an added one is served"
    SESSION_STATE_KEPT = "a session sees its own values"
    SIGNED_ANSWER = "a success carries the signature of its own request"
    PROTOCOL_KEPT = "each request gets one answer, and only an error comes without a request"
    LOG_HOLDS_ACKNOWLEDGED = "a statement runs on a log with the commits acknowledged before it"
    SERVICE_RETURNS = "service returns after the last fault"


class CutKind(Enum):
    """How a request ended that got no complete answer."""

    READ = "all that was sent was read before the close"
    UNREAD = "the request crossed the close"
    LATE = "the caller gave up"
    STALLED = "the request crossed the close after the soak stood still"
    UNREAD_CONNECT = "the opening of a session crossed the close"


@dataclass(frozen=True)
class CutRequest:
    """Request, or opening of a session, without a complete answer."""

    host: str
    request_id: str
    connected_s: float
    sent_s: float
    ended_s: float
    reason: str
    kind: CutKind

    def count_from(self, started_s: float) -> CutRequest:
        """Return the request with times that count from the start of the run."""
        return replace(
            self,
            connected_s=self.connected_s - started_s,
            sent_s=self.sent_s - started_s,
            ended_s=self.ended_s - started_s,
        )

    def describe(self) -> str:
        """Return the request, how long before its connection ended it was sent, and the reason."""
        age_s = self.ended_s - self.sent_s
        return f"{self.request_id} at {self.host}, sent {age_s:.3f} s before: {self.reason}"


@dataclass(frozen=True)
class Finding:
    """Violation of a promise at a time of the run."""

    at_s: float
    promise: str
    detail: str


@dataclass
class _Disturbance:
    fault: Fault
    host: str | None  # None: concerns every host
    from_s: float
    until_s: float = float("inf")


class Disturbances:
    """Record of the faults that were in force, by the time of the run."""

    def __init__(self) -> None:
        self._all: list[_Disturbance] = []

    def begin(self, fault: Fault, host: str, now_s: float) -> _Disturbance:
        """Record that a fault begins; ``host`` matters only for faults of one host."""
        concerned = host if fault.kind in HOST_KINDS else None
        begun = _Disturbance(fault, concerned, now_s)
        self._all.append(begun)
        return begun

    def is_calm(
        self, host: str | None, since_s: float, ignored: tuple[FaultKind, ...] = ()
    ) -> bool:
        """Return whether no fault concerned a host (None: any host) after ``since_s``."""
        return not any(
            each.until_s >= since_s
            and each.fault.kind not in HARMLESS_KINDS
            and each.fault.kind not in ignored
            and (host is None or each.host in (None, host))
            for each in self._all
        )

    def had_pause(self, host: str, since_s: float) -> bool:
        """Return whether a host was paused at some time since ``since_s``."""
        return any(
            each.host == host
            and each.fault.kind is FaultKind.HOST_PAUSED
            and each.until_s >= since_s
            for each in self._all
        )


class StallMonitor:
    """Record of the times at which the soak itself did not run, so that its clock can't judge."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._last_tick_s = 0.0
        self._stalls: list[tuple[float, float]] = []  # from and until

    def tick(self, now_s: float) -> None:
        """Record that the soak runs; to be called every ``STALL_TICK_S``."""
        if self._last_tick_s:
            self.longest_s = max(self.longest_s, now_s - self._last_tick_s)
            if now_s - self._last_tick_s > STALL_S:
                self._stalls.append((self._last_tick_s, now_s))
        self._last_tick_s = now_s

    def has_stalled(self, since_s: float, now_s: float) -> bool:
        """Return whether the soak stood still at some time since ``since_s``."""
        last_stall_s = self._stalls[-1][1] if self._stalls else float("-inf")
        return last_stall_s >= since_s or now_s - self._last_tick_s > STALL_S

    def stalled_s(self, since_s: float, now_s: float) -> float:
        """Return how long the soak stood still since ``since_s``."""
        stalls = [*self._stalls]
        if self._last_tick_s and now_s - self._last_tick_s > STALL_S:
            stalls.append((self._last_tick_s, now_s))
        return sum(max(0.0, until_s - max(from_s, since_s)) for from_s, until_s in stalls)


class PromiseChecker:
    """Checker of what callers, backend servers and the platform see."""

    def __init__(self, disturbances: Disturbances, *groups: SoakGroup) -> None:
        self.history = History()
        self.findings: list[Finding] = []
        self.stray_count = 0
        self.state_counts: Counter[str] = Counter()
        self.cuts: list[CutRequest] = []
        self.stalls = StallMonitor()
        self.now_s: Callable[[], float] = lambda: 0.0
        self.started_s = 0.0
        self.stopping_since_s: Callable[[str], float | None] = lambda host: None
        self._disturbances = disturbances
        self._groups = groups
        self._hosts_by_request: dict[str, list[str]] = {}
        self._holders: dict[str, dict[int, str]] = {}  # by service and token
        self._killed_s: dict[str, list[float]] = {}
        self.statements = StatementChecker(self.report)
        self.freshness = FreshnessChecker(
            lambda detail: self.report(Promise.LOG_HOLDS_ACKNOWLEDGED, detail),
            lambda element: any(element in group.rolled_back for group in groups),
        )
        for group in groups:
            group.on_statement = self.handle_statement
            group.on_server_statement = self._handle_server_statement
            group.on_half_line = self.statements.count_half_line
            group.on_promotion = partial(self.handle_promotion, group.service)

    def report(self, promise: Promise | StatementPromise | Guarantee, detail: str) -> None:
        """Record a violation."""
        at_s = round(self.now_s() - self.started_s, 3)
        self.findings.append(Finding(at_s, promise.value, detail))

    def handle_statement(self, run: StatementRun) -> None:
        """Check the arrival of a caller's statement at a backend server."""
        self._hosts_by_request.setdefault(run.request_id, []).append(run.host)
        # Only single statements and the first of a transaction are new work.
        if run.leaving_since_s is None or run.continues_transaction:
            return
        # What a host sent in time waited in the relays while the soak stood still.
        stalled_s = self.stalls.stalled_s(run.leaving_since_s, self.now_s())
        late_s = self.now_s() - run.leaving_since_s - LEAVING_S - stalled_s
        ignored = (*LEAVING_KINDS, FaultKind.HOST_STOPPED, FaultKind.HOST_KILLED)
        calm_since = run.leaving_since_s - CONTACT_S
        if late_s > LEAVING_SLACK_S and self._disturbances.is_calm(run.host, calm_since, ignored):
            detail = f"{run.request_id} from {run.host} at {run.backend}, {late_s:.2f} s late"
            self.report(Promise.LEFT_SERVER_UNUSED, detail)

    def _handle_server_statement(self, statement: ServerStatement) -> None:
        self.statements.handle_statement(statement)
        if not statement.error_code:
            origin = f"from {statement.host} at {statement.backend}"
            text = remove_position(statement.text)
            if statement.is_at_former_primary and statement.request_id != OWN_REQUEST_ID:
                origin += ", a former primary,"
                self._count_former_use(statement, text)
            self.freshness.handle_statement(statement.request_id, text, origin, statement.log)

    def _count_former_use(self, statement: ServerStatement, text: str) -> None:
        if statement.is_write:
            self.state_counts[f"writes at a former primary from {statement.host}"] += 1
        elif text.startswith(("READ ", "EXECUTE ")):
            is_bound = self.freshness.needs_newest_log(statement.request_id)
            kind = "reads that need the newest log" if is_bound else "other reads"
            self.state_counts[f"{kind} at a former primary from {statement.host}"] += 1

    def handle_promotion(self, service: str, holder: str, token: int) -> None:
        """Check the fencing token of an order to promote a server of a service."""
        holders = self._holders.setdefault(service, {})
        if token < max(holders, default=token):
            self.report(Promise.ONE_PROMOTER, f"{holder} promotes with {token} after a higher one")
        if holders.setdefault(token, holder) != holder:
            self.report(Promise.ONE_PROMOTER, f"{holder} and {holders[token]} use {token}")

    def handle_kill(self, host: str) -> None:
        """Record that a process ended in another way than by a planned stop."""
        self._killed_s.setdefault(host, []).append(self.now_s())

    def handle_cut_request(self, cut: CutRequest) -> None:
        """Check a request that got no complete answer."""
        # The caller may not have read yet what the host had sent it before.
        since_s = cut.sent_s - LOSS_SLACK_S
        if cut.kind is CutKind.UNREAD and self.stalls.has_stalled(since_s, cut.ended_s):
            cut = replace(cut, kind=CutKind.STALLED)
        self.cuts.append(cut)
        was_passed_on = cut.request_id in self._hosts_by_request
        # While the soak stood still, the close of the connection may have waited to be read.
        is_timed = not self.stalls.has_stalled(cut.sent_s, cut.ended_s)
        is_due = was_passed_on or (is_timed and cut.ended_s - cut.sent_s > LOSS_SLACK_S)
        calm_since = cut.sent_s - CONTACT_S
        planned = (*PLANNED_KINDS, *LEAVING_KINDS)
        if is_due and self._disturbances.is_calm(None, calm_since, planned):
            passed_on = ", passed on" if was_passed_on else ""
            self.report(Promise.ACCEPTED_IS_ANSWERED, f"{cut.describe()}{passed_on}")

    def handle_ended_transaction(self, host: str) -> None:
        """Check the announcement of a session's end while a transaction is open."""
        since_s = self.stopping_since_s(host)
        if since_s is not None and self.now_s() - since_s < GRACE_S / 2:
            detail = f"{host} ends one {self.now_s() - since_s:.3f} s after SIGTERM"
            self.report(Promise.TRANSACTIONS_HAVE_TIME, detail)

    def handle_optional_route(
        self, host: str, is_there: bool, changed_s: float, sent_s: float, answer: str
    ) -> None:
        """Check an answer for the route that is added and removed."""
        ignored = (FaultKind.HOST_STOPPED, FaultKind.HOST_KILLED, *LEAVING_KINDS)
        if sent_s < changed_s + CONFIG_APPLY_S:
            return
        if not self._disturbances.is_calm(host, changed_s - CONTACT_S, ignored):
            return
        if answer.startswith("ERROR NODB") if is_there else answer.startswith(("ROW", "COMPLETE")):
            state = "added" if is_there else "removed"
            detail = f"{host} answers {answer!r} {sent_s - changed_s:.2f} s after it was {state}"
            self.report(Promise.REMOVED_ROUTE_REFUSED, detail)

    def finish(self) -> None:
        """Check the history against the logs of the servers."""
        self._check_runs()
        self._check_changes()
        self._check_cuts()
        excused = {each for group in self._groups for each in group.rolled_back} | {
            element for group in self._groups for _, element in group.commits_of_former_primary
        }
        final = {
            key: tuple(text.split(","))
            for group in self._groups
            for key, text in group.primary.data.items()
        }
        judged = History(
            [each for each in self.history.appends if each.element not in excused],
            [
                replace(each, elements=tuple(e for e in each.elements if e not in excused))
                for each in self.history.reads
            ],
            final,
        )
        for violation in check_history(judged):
            self.report(violation.guarantee, violation.detail)

    def _check_changes(self) -> None:
        acknowledged = {
            each.element for each in self.history.appends if each.outcome is Outcome.RAN
        }
        changes = [change for group in self._groups for change in group.changes]
        for group in self._groups:
            self.state_counts += group.state_counts
        self.state_counts += count_rolled_back(changes, acknowledged)
        self._count_former_writes()
        for change in changes:
            for element in sorted(change.lost & acknowledged if change.could_keep_all else ()):
                at_s = round(change.at_s - self.started_s, 3)
                detail = f"{element} in the {change.describe()}"
                promise = Promise.PLANNED_CHANGE_KEEPS_ALL.value
                self.findings.append(Finding(at_s, promise, detail))

    def _count_former_writes(self) -> None:
        outcomes = {each.element: each.outcome for each in self.history.appends}
        counts = self.state_counts
        for write in (write for group in self._groups for write in group.former_writes):
            counts["statements that write at a former primary"] += 1
            if write.elements:
                sender = "was there" if write.is_answered else "had left"
                counts[f"commits at a former primary, whose sender {sender}"] += 1
            for element in write.elements:
                outcome = outcomes.get(element)
                told = outcome.value if outcome is not None else "nothing, the caller left"
                counts[f"commits at a former primary, caller told {told}"] += 1

    def _check_cuts(self) -> None:
        """Check the requests whose connections ended, except those of killed processes.

        A process that wakes up at the end of its grace time can't announce its end any more.
        """
        for cut in self.cuts:
            # Callers that open a session know nothing of the stop.
            if self._was_killed(cut) or cut.kind not in (CutKind.READ, CutKind.UNREAD):
                continue
            promise = Promise.READ_IS_ANSWERED
            if cut.kind is CutKind.UNREAD:
                if self._disturbances.had_pause(cut.host, cut.sent_s - GRACE_S):
                    continue
                promise = Promise.STOP_CROSSES_NO_REQUEST
            at_s = round(cut.ended_s - self.started_s, 3)
            self.findings.append(Finding(at_s, promise.value, cut.describe()))

    def _was_killed(self, cut: CutRequest) -> bool:
        killed_s, until_s = self._killed_s.get(cut.host, []), cut.ended_s + END_NOTICE_S
        return any(cut.connected_s <= each <= until_s for each in killed_s)

    def _check_runs(self) -> None:
        groups = self._groups
        strays = Counter(e for group in groups for _, e in group.commits_of_former_primary)
        runs = strays + Counter(e for group in groups for _, e in group.commits)
        self.stray_count = strays.total()
        for append in self.history.appends:
            count = runs[append.element]
            if append.outcome is Outcome.NOT_RUN and count:
                self.report(Guarantee.NOT_RUN_HOLDS, self._describe(append, count))
            if count > 1:
                self.report(Guarantee.AT_MOST_ONCE, self._describe(append, count))
            if append.outcome is Outcome.RAN and strays[append.element]:
                detail = f"{self._describe(append, count)}{self._describe_stray(append.element)}"
                self.report(Promise.ONE_PRIMARY_ACKNOWLEDGES, detail)

    def _describe_stray(self, element: str) -> str:
        """Return where a write ran that its server ran too late, and after which change."""
        for group in self._groups:
            for write in (each for each in group.former_writes if element in each.elements):
                changes = [each for each in group.changes if each.at_s <= write.at_s]
                since = "".join(
                    f", {write.at_s - each.at_s:.3f} s after the {each.describe()}"
                    for each in changes[-1:]
                )
                return f", at {write.backend} {write.at_s - self.started_s:.3f}{since}"
        return ""

    def _describe(self, append: Append, count: int) -> str:
        sent_s = append.invoked_at.total_seconds() - self.started_s
        ended_s = append.completed_at.total_seconds() - self.started_s
        return (
            f"{append.element} of session {append.session}, sent {sent_s:.3f}, "
            f"{append.outcome.value} {ended_s:.3f}, ran {count} times"
        )
