"""Plan of the faults of one run, drawn from its seed."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

MIN_FAULT_S = 0.3
MAX_FAULT_S = 7.0  # longer than a permit is in force, so that fencing completes
MAX_PAUSE_IN_SERIES_S = 1.2  # short enough that the faults of a series overlap
SERIES_INTERVAL_S = 3.5  # average time between the starts of two series
STOPS_SEED_INTERVAL = 4  # each fourth seed plays ``Theme.STOPS``
_MAX_SERIES_LENGTH = 4
_MAX_STOP_INTERVAL_S = 2.0  # between the stops of a series, each of which takes up to six seconds
_REPLICATION_FAULT_INTERVAL_S = 5.0  # average time between two faults of ``REPLICATION_KINDS``
_SERVER_FAULT_INTERVAL_S = 2.5  # average time between two faults of ``SERVER_KINDS``
_HARSH_SHARE = 0.5  # of the seeds that don't play ``Theme.STOPS``, for each such property
_SLOTS = 3  # so few that statements of 8 to 40 ms queue
_LAGGING_CHANGE_INTERVAL_S = 10.0  # average time between two planned changes beside such a lag
_STALLED_CHANGE_INTERVAL_S = 8.0  # average time between two changes of a stalled primary
_STALL_LEAD_S = (-0.5, 1.5)  # before the primary leaves
_STALL_S = (0.5, 4.0)
_QUICK_CHANGE_INTERVAL_S = 8.0  # average time between two such pairs of changes
_QUICK_CRASH_S = (1.5, 5.0)  # after the primary before is leaving
_QUICK_DOWN_S = (0.3, 3.0)
_REFUSAL_INTERVAL_S = 5.0  # average time between the starts of two series with refused links
_REFUSAL_S = (1.0, MAX_FAULT_S)
_PRIMARY_REFUSAL_S = (3.0, MAX_FAULT_S)  # so long that another server takes its place
_CUT_OFF_S = (4.0, MAX_FAULT_S)
_OTHER_HOSTS_SHARE = 0.3  # of the series, in which other hosts are cut off than before
_CUT_OFF_LEAD_S = (0.0, 0.8)  # before connections are refused
_LAG_LEAD_S = (0.1, 1.5)  # before the primary leaves
_STARVATION_LEAD_S = 1.0  # before a stop
_RELEASE_INTERVAL_S = 8.0  # average time between two releases
_FIRST_RELEASE_S = (1.0, 6.0)
# As many services as the ports of a run suffice for.
_MAX_SERVICES = 3
_MAX_SERVICES_BY_HOSTS = {7: 2, 8: 1}
_MAX_CONNECTIONS = (90, 24, 8)  # of each server; the lowest makes many hosts share their reads
_IDLE_CALLERS = (4, 20, 60, 100)  # for each host
_FIRST_FAULT_S = 0.5
# A change that is judged follows one beside a short silence after a host counts as in touch again.
_SILENCE_LEAD_S = (0.0, 0.02)  # after a change, before hosts send their next watches
_SILENCE_S = (0.05, 0.12)  # so short that it meets the renewals of few hosts
_CALM_S = (5.5, 7.0)


class LinkEnd(Enum):
    """What the harmed links of a host lead to."""

    STORE = "store"
    SERVERS = "backend servers"
    PEERS = "other hosts"
    ALL = "everything"


class FaultKind(Enum):
    """Kind of fault that the soak injects from outside the host processes."""

    HOST_STOPPED = "host gets SIGTERM and is started again"
    HOST_PAUSED = "host is paused by SIGSTOP"
    HOST_KILLED = "host is killed by SIGKILL and started again"
    LINK_DELAYED = "links of a host are slow"
    LINK_RESET = "connections on links of a host are reset"
    LINK_CUT_OUTWARD = "links of a host pass nothing outward"
    LINK_CUT_INWARD = "links of a host pass nothing inward"
    LINK_SILENT = "links of a host pass nothing"
    STORE_SILENT = "store answers nobody and runs what it got later"
    STORE_BLINKS = "store is silent for a moment just after a change"
    STORE_SLOW = "store answers late"
    STORE_BUSY = "store refuses calls with 429 or 503"
    STORE_ANSWER_LOST = "store runs calls and their answers are lost"
    STORE_HISTORY_LOST = "store discards the history of changes"
    CONFIGURATION_CHANGED = "operators change routes and time limits"
    PRIMARY_CRASHES = "primary crashes and comes back"
    PRIMARY_LEAVES = "primary leaves by plan and a new server takes its address"
    PRIMARY_CUT_OFF = "all hosts, or all but one, do not reach the primary"
    PRIMARY_SILENT = "primary accepts and says nothing"
    PRIMARY_SLOW = "primary answers late"
    FORMER_PRIMARY_NOT_TOLD = "replaced primary learns late that it was replaced"
    SERVER_CRASHES = "server crashes and comes back"
    SERVER_LAGS = "replica receives nothing"
    ANSWERS_LOST = "servers run statements and close without the answer"
    ANSWERS_MALFORMED = "servers send answers that break the protocol"
    PROMOTION_ANSWER_LOST = "promotion takes effect and its answer is lost"
    MALFORMED_INPUT = "malformed messages to a host and in the store"
    HOST_STARVED = "host gets little processor time"
    HOST_RELOADED = "host gets SIGHUP after its settings file was changed"
    STATEMENTS_REFUSED = "servers refuse statements of any kind with BUSY, singly or for a moment"
    ANSWERS_SPLIT = "answers arrive in parts"
    ANSWERS_CUT = "servers close connections before, within or after an answer"
    IDLE_CONNECTIONS_CLOSED = "servers close idle connections"
    CONNECTIONS_LIMITED = "server refuses new connections"
    REPLICAS_APPLY_LATE = "replicas apply late what they received"
    SERVERS_RELEASED = "servers of all services leave by plan at once, also primaries"
    HOST_CUT_OFF = "host and others, and host and store, do not reach each other"
    HOST_REFUSES = "connections of most hosts to a running host are refused"
    STORE_REFUSES = "connections of most hosts to the store are refused"
    SERVER_REFUSES = "connections of most hosts to a running server are refused"
    PRIMARY_REFUSES = "connections of most hosts to a running primary are refused"


PLANNED_KINDS = (
    FaultKind.HOST_STOPPED,
    FaultKind.CONFIGURATION_CHANGED,
    FaultKind.PRIMARY_LEAVES,
    FaultKind.MALFORMED_INPUT,
)
LINK_KINDS = (
    FaultKind.LINK_DELAYED,
    FaultKind.LINK_RESET,
    FaultKind.LINK_CUT_OUTWARD,
    FaultKind.LINK_CUT_INWARD,
    FaultKind.LINK_SILENT,
)
STORE_KINDS = (
    FaultKind.STORE_SILENT,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_BUSY,
    FaultKind.STORE_ANSWER_LOST,
)
CHANGE_KINDS = (
    FaultKind.PRIMARY_CRASHES,
    FaultKind.PRIMARY_LEAVES,
    FaultKind.PRIMARY_CUT_OFF,
    FaultKind.PRIMARY_SILENT,
)
STALL_KINDS = (FaultKind.PRIMARY_SILENT, FaultKind.PRIMARY_CUT_OFF, FaultKind.PRIMARY_SLOW)
SILENCE_KINDS = (FaultKind.STORE_BLINKS,)  # only with ``Theme.SILENCES``
HARMED_HOST_KINDS = (
    FaultKind.HOST_STOPPED,
    FaultKind.HOST_PAUSED,
    FaultKind.HOST_KILLED,
    *LINK_KINDS,
)
STOP_KINDS = (FaultKind.HOST_STARVED, FaultKind.HOST_RELOADED)  # beside planned stops
# Beside each series of other faults; drawn apart from them.
ANSWER_KINDS = (FaultKind.STATEMENTS_REFUSED, FaultKind.ANSWERS_SPLIT)
SERVER_KINDS = (
    *ANSWER_KINDS,
    FaultKind.ANSWERS_CUT,
    FaultKind.IDLE_CONNECTIONS_CLOSED,
    FaultKind.CONNECTIONS_LIMITED,
)
REPLICATION_KINDS = (FaultKind.REPLICAS_APPLY_LATE,)  # drawn apart from the others, too
RELEASE_KINDS = (FaultKind.SERVERS_RELEASED,)  # beside several services
# Drawn apart from the others, too. All but the first refuse new connections and reset open ones.
REFUSAL_KINDS = (
    FaultKind.HOST_CUT_OFF,
    FaultKind.HOST_REFUSES,
    FaultKind.STORE_REFUSES,
    FaultKind.SERVER_REFUSES,
    FaultKind.PRIMARY_REFUSES,
)
# Kinds of planned work that end servers.
LEAVING_KINDS = (FaultKind.PRIMARY_LEAVES, *RELEASE_KINDS)
# Concern one host.
HOST_KINDS = (
    *HARMED_HOST_KINDS,
    *STOP_KINDS,
    FaultKind.HOST_CUT_OFF,
    FaultKind.HOST_REFUSES,
)
# Faults that have neither end nor effect on what a host can reach.
HARMLESS_KINDS = (
    FaultKind.CONFIGURATION_CHANGED,
    FaultKind.MALFORMED_INPUT,
    FaultKind.STORE_HISTORY_LOST,
    FaultKind.HOST_RELOADED,
    *ANSWER_KINDS,
    FaultKind.REPLICAS_APPLY_LATE,
)


@dataclass(frozen=True)
class Fault:
    """Fault that starts ``at_s`` into the run and lasts ``for_s``.

    ``host``, ``server`` and ``service`` are numbers; ``link_end`` selects the links of that host.
    If connections are refused, ``spared`` hosts are not concerned, and where the store or a server
    refuses them, ``host`` keeps those that are open.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    host: int = 0
    server: int = 0
    link_end: LinkEnd = LinkEnd.ALL
    service: int = 0
    spared: tuple[int, ...] = ()

    @property
    def until_s(self) -> float:
        """Return when the fault ends."""
        return self.at_s + self.for_s


class Theme(Enum):
    """Choice of the kinds of faults of one run."""

    PLANNED = "planned work only"
    MIXED = "all kinds"
    HAND_OVER = "changes of primary beside harmed hosts"
    STOPS = "planned stops of many hosts with many callers"
    # Played only on request:
    REFUSALS = "refused connections beside hosts that are cut off"
    SILENCES = "moments of silence of the store just after changes"


_DRAWN_THEMES = (Theme.PLANNED, Theme.MIXED, Theme.HAND_OVER)
REQUESTED_THEMES = (Theme.REFUSALS, Theme.SILENCES)  # without other series
# No changes of stalled primaries, and none in quick succession.
_WITHOUT_CHANGES = (Theme.PLANNED, *REQUESTED_THEMES)
_KINDS_BY_THEME = {
    Theme.PLANNED: PLANNED_KINDS,
    Theme.MIXED: tuple(
        kind
        for kind in FaultKind
        if kind
        not in (
            *STOP_KINDS,
            *SERVER_KINDS,
            *REPLICATION_KINDS,
            *RELEASE_KINDS,
            *REFUSAL_KINDS,
            *SILENCE_KINDS,
        )
    ),
    Theme.HAND_OVER: (
        *CHANGE_KINDS,
        FaultKind.PROMOTION_ANSWER_LOST,
        *HARMED_HOST_KINDS,
        *STORE_KINDS,
    ),
}


@dataclass(frozen=True)
class Plan:
    """Faults of one run in the order of their starts."""

    seed: int
    host_count: int
    theme: Theme
    faults: tuple[Fault, ...]
    idle_callers: int = 0  # for each host, beside the busy ones
    max_connections: int = max(_MAX_CONNECTIONS)  # of each server
    slots: int = 0  # of each server; 0: no limit
    runs_received_later: bool = False  # also what came while a server was silent or its sender left
    takes_orders_late: bool = False  # orders to promote take effect late, twice and out of order
    services: int = 1

    def describe_harshness(self) -> str:
        """Return what the platform does that it may, but that most runs don't see."""
        words = [f"{self.slots} slots"] if self.slots else ["no limit of slots"]
        words += ["servers run later what they received"] if self.runs_received_later else []
        words += [f"{self.services} services"] if self.services > 1 else []
        words += ["orders take effect late"] if self.takes_orders_late else []
        return ", ".join(words)

    @classmethod
    def from_seed(
        cls,
        seed: int,
        duration_s: float,
        host_count: int,
        server_count: int = 3,
        requested: Theme | None = None,
    ) -> Plan:
        """Draw a plan whose faults start within ``duration_s``.

        A ``requested`` theme is one of ``REQUESTED_THEMES``; no other series disturb its own.
        """
        rng = random.Random(seed)
        theme = rng.choice(_DRAWN_THEMES)
        if seed % STOPS_SEED_INTERVAL == STOPS_SEED_INTERVAL - 1:
            theme = Theme.STOPS
        theme = requested or theme
        services = _draw_services(seed, theme, host_count)
        service_rng = random.Random(f"service of each series {seed}")
        faults: list[Fault] = []
        start_s = _FIRST_FAULT_S
        while start_s < duration_s and requested is None:
            if theme is Theme.STOPS:
                faults += _draw_stops(rng, start_s, host_count)
            else:
                series = _draw_series(rng, theme, start_s, host_count, server_count)
                faults += _meet_one_service(series, service_rng, services)
            start_s += rng.expovariate(1 / SERIES_INTERVAL_S)
        for fault in _draw_server_faults(seed, theme, duration_s, server_count):
            faults += _meet_one_service((fault,), service_rng, services)
        for fault in _draw_replication_faults(seed, duration_s):
            faults += _meet_one_service((fault,), service_rng, services)
        for series in (
            *_draw_lagging_changes(seed, theme, duration_s, server_count),
            *_draw_stalled_changes(seed, theme, duration_s),
            *_draw_quick_changes(seed, theme, duration_s),
        ):
            faults += _meet_one_service(series, service_rng, services)
        if requested is None:
            faults += _draw_releases(seed, services, duration_s)
        if theme is Theme.SILENCES:
            faults += _meet_one_service(_draw_silences(seed, duration_s), service_rng, services)
        for series in _draw_refusals(seed, theme, duration_s, host_count, server_count):
            faults += _meet_one_service(series, service_rng, services)
        kept = [fault for fault in faults if fault.at_s < duration_s]
        idle_callers = rng.choice(_IDLE_CALLERS) if theme is Theme.STOPS else min(_IDLE_CALLERS)
        faults = sorted(kept, key=lambda fault: fault.at_s)
        max_connections = max(_MAX_CONNECTIONS)
        if idle_callers == min(_IDLE_CALLERS):
            max_connections = random.Random(f"connections {seed}").choice(_MAX_CONNECTIONS)
        return cls(
            seed,
            host_count,
            theme,
            tuple(faults),
            idle_callers,
            max_connections,
            slots=_SLOTS if _is_harsh(seed, theme, "slots") else 0,
            runs_received_later=_is_harsh(seed, theme, "received later"),
            takes_orders_late=_is_harsh(seed, theme, "late orders"),
            services=services,
        )

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> Plan:
        """Return the plan in a report, so that it can be played again after the drawing changed."""
        faults = tuple(
            Fault(
                **{
                    **fault,
                    "kind": FaultKind[fault["kind"]],
                    "link_end": LinkEnd[fault["link_end"]],
                    "spared": tuple(fault.get("spared", ())),
                }
            )
            for fault in document["faults"]
        )
        return cls(
            document["seed"],
            document["hosts"],
            Theme(document["theme"]),
            faults,
            document.get("idle_callers", 0),
            document.get("max_connections", max(_MAX_CONNECTIONS)),
            document.get("slots", 0),
            document.get("runs_received_later", False),
            document.get("takes_orders_late", False),
            document.get("services", 1),
        )


def _meet_one_service(
    series: Iterable[Fault], rng: random.Random, services: int
) -> Iterator[Fault]:
    service = rng.randrange(services)
    return (replace(fault, service=service) for fault in series)


def _draw_series(
    rng: random.Random, theme: Theme, start_s: float, host_count: int, server_count: int
) -> Iterator[Fault]:
    host = rng.randrange(host_count)  # most faults of a series meet one host
    kinds = list(rng.choices(_KINDS_BY_THEME[theme], k=rng.randint(1, _MAX_SERIES_LENGTH)))
    if theme is Theme.HAND_OVER:
        # A host that may act for the old primary, and an old primary that lets it.
        kinds[:1] = [rng.choice(HARMED_HOST_KINDS), FaultKind.FORMER_PRIMARY_NOT_TOLD]
        kinds.append(rng.choice(CHANGE_KINDS))
    for kind in kinds:
        yield Fault(
            kind=kind,
            at_s=round(start_s, 2),
            for_s=round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 2),
            host=host if rng.random() < 0.7 else rng.randrange(host_count),
            server=rng.randrange(server_count),
            link_end=rng.choice(list(LinkEnd)),
        )
        start_s += rng.uniform(0, MAX_PAUSE_IN_SERIES_S)


def _draw_server_faults(
    seed: int, theme: Theme, duration_s: float, server_count: int
) -> Iterator[Fault]:
    """Harm statements and answers beside the other faults, which stay the same for a seed."""
    rng = random.Random(f"servers {seed}")
    is_planned = theme in (Theme.PLANNED, Theme.STOPS, *REQUESTED_THEMES)
    at_s = rng.uniform(0, SERIES_INTERVAL_S)
    while at_s < duration_s:
        yield Fault(
            kind=rng.choice(ANSWER_KINDS if is_planned else SERVER_KINDS),
            at_s=round(at_s, 2),
            for_s=round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 2),
            server=rng.randrange(server_count),
        )
        at_s += rng.expovariate(1 / _SERVER_FAULT_INTERVAL_S)


def _draw_replication_faults(seed: int, duration_s: float) -> Iterator[Fault]:
    rng = random.Random(f"replication {seed}")
    at_s = rng.uniform(0, _REPLICATION_FAULT_INTERVAL_S)
    while at_s < duration_s:
        kind, for_s = rng.choice(REPLICATION_KINDS), rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        yield Fault(kind, round(at_s, 2), round(for_s, 2))
        at_s += rng.expovariate(1 / _REPLICATION_FAULT_INTERVAL_S)


def _is_harsh(seed: int, theme: Theme, name: str) -> bool:
    """Return whether a seed has a property that is drawn apart from all others."""
    return theme is not Theme.STOPS and random.Random(f"{name} {seed}").random() < _HARSH_SHARE


def _draw_services(seed: int, theme: Theme, host_count: int) -> int:
    count = random.Random(f"count of services {seed}").randint(2, _MAX_SERVICES)
    if not _is_harsh(seed, theme, "services"):
        return 1
    return min(count, _MAX_SERVICES_BY_HOSTS.get(host_count, _MAX_SERVICES))


def _draw_releases(seed: int, services: int, duration_s: float) -> Iterator[Fault]:
    """Release primaries and replicas of all services at once; ``server`` counts the replicas."""
    rng = random.Random(f"releases {seed}")
    at_s = rng.uniform(*_FIRST_RELEASE_S)
    while services > 1 and at_s < duration_s:
        kind, for_s = rng.choice(RELEASE_KINDS), rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        yield Fault(kind, round(at_s, 2), round(for_s, 2), server=rng.randrange(2))
        at_s += rng.expovariate(1 / _RELEASE_INTERVAL_S)


def _draw_lagging_changes(
    seed: int, theme: Theme, duration_s: float, server_count: int
) -> Iterator[list[Fault]]:
    """Let primaries leave by plan while no replica receives anything."""
    if theme in REQUESTED_THEMES or not _is_harsh(seed, theme, "lagging changes"):
        return
    rng = random.Random(f"lagging changes {seed}")
    rng.random()
    at_s = rng.uniform(0, duration_s / 2)
    while at_s < duration_s:
        for_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        lag = _make_fault(FaultKind.SERVER_LAGS, at_s, for_s, 0)
        leaves_s, away_s = at_s + rng.uniform(*_LAG_LEAD_S), rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        yield [
            *(replace(lag, server=server) for server in range(server_count)),
            _make_fault(FaultKind.PRIMARY_LEAVES, leaves_s, away_s, 0),
        ]
        at_s += rng.expovariate(1 / _LAGGING_CHANGE_INTERVAL_S)


def _draw_stalled_changes(seed: int, theme: Theme, duration_s: float) -> Iterator[list[Fault]]:
    """Let primaries leave by plan while they stall, and learn late that they were replaced."""
    if theme in _WITHOUT_CHANGES or not _is_harsh(seed, theme, "received later"):
        return
    rng = random.Random(f"stalled changes {seed}")
    at_s = rng.uniform(_STALL_LEAD_S[1], duration_s / 2)
    while at_s < duration_s:
        away_s, stalls_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S), at_s - rng.uniform(*_STALL_LEAD_S)
        told_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        yield [
            _make_fault(FaultKind.PRIMARY_LEAVES, at_s, away_s, 0),
            _make_fault(rng.choice(STALL_KINDS), stalls_s, rng.uniform(*_STALL_S), 0),
            _make_fault(FaultKind.FORMER_PRIMARY_NOT_TOLD, at_s, told_s, 0),
        ]
        at_s += rng.expovariate(1 / _STALLED_CHANGE_INTERVAL_S)


def _draw_quick_changes(seed: int, theme: Theme, duration_s: float) -> Iterator[list[Fault]]:
    """Let new primaries crash for a moment while an order for them may still take effect."""
    if theme in _WITHOUT_CHANGES or not _is_harsh(seed, theme, "late orders"):
        return
    rng = random.Random(f"quick changes {seed}")
    at_s = rng.uniform(0, duration_s / 2)
    while at_s < duration_s:
        away_s, crash_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S), at_s + rng.uniform(*_QUICK_CRASH_S)
        yield [
            _make_fault(FaultKind.PRIMARY_LEAVES, at_s, away_s, 0),
            _make_fault(FaultKind.PRIMARY_CRASHES, crash_s, rng.uniform(*_QUICK_DOWN_S), 0),
        ]
        at_s += rng.expovariate(1 / _QUICK_CHANGE_INTERVAL_S)


def _draw_silences(seed: int, duration_s: float) -> Iterator[Fault]:
    """Let the store lose the watches after one change, and make the next one in calm."""
    rng = random.Random(f"silences {seed}")
    at_s = rng.uniform(_FIRST_FAULT_S, _CALM_S[0])
    while at_s < duration_s:
        # A leaving server and the one in its place both change their registrations.
        kind = rng.choice((FaultKind.CONFIGURATION_CHANGED, FaultKind.PRIMARY_LEAVES))
        for_s = rng.uniform(MIN_FAULT_S, 2 * MIN_FAULT_S)
        yield _make_fault(kind, at_s, for_s, 0)
        changed_s = at_s + (for_s if kind is FaultKind.PRIMARY_LEAVES else 0.0)
        silent_s = changed_s + rng.uniform(*_SILENCE_LEAD_S)
        yield _make_fault(FaultKind.STORE_BLINKS, silent_s, rng.uniform(*_SILENCE_S), 0)
        at_s = silent_s + rng.uniform(*_CALM_S)
        yield _make_fault(kind, at_s, rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 0)
        at_s += rng.uniform(*_CALM_S)


def _draw_refusals(
    seed: int, theme: Theme, duration_s: float, host_count: int, server_count: int
) -> Iterator[list[Fault]]:
    """Cut hosts off or pause them, and let primary, server, store or host refuse the others."""
    is_drawn = theme not in _WITHOUT_CHANGES and _is_harsh(seed, theme, "refusals")
    if theme is not Theme.REFUSALS and not is_drawn:
        return
    rng = random.Random(f"refusals {seed}")
    at_s = rng.uniform(_FIRST_FAULT_S, duration_s / 3)
    max_count = max(1, (host_count - 1) // 2)  # most hosts agree on a change of primary
    cut_off = rng.sample(range(host_count), rng.randint(1, max_count))
    while at_s < duration_s:
        harm = rng.choice((FaultKind.HOST_CUT_OFF,) * 3 + (FaultKind.HOST_PAUSED,))
        yield [
            *(_make_fault(harm, at_s, rng.uniform(*_CUT_OFF_S), host) for host in cut_off),
            *_draw_refusing(rng, at_s, cut_off, host_count, server_count),
        ]
        at_s += rng.expovariate(1 / _REFUSAL_INTERVAL_S)
        if rng.random() < _OTHER_HOSTS_SHARE:
            cut_off = rng.sample(range(host_count), rng.randint(1, max_count))


def _draw_refusing(
    rng: random.Random, at_s: float, cut_off: list[int], host_count: int, server_count: int
) -> Iterator[Fault]:
    """Refuse connections beside hosts that are cut off; some of these reach their targets on."""
    kinds = [FaultKind.PRIMARY_REFUSES] if rng.random() < 0.8 else []
    if not kinds or rng.random() < 0.3:
        kinds += rng.sample(REFUSAL_KINDS[1:-1], rng.randint(1, 2))
    for kind in kinds:
        others = [host for host in range(host_count) if host not in cut_off]
        # A host that reaches both the others and the primary prevents a change.
        spared = rng.choice(([], cut_off))
        if rng.random() < (0.1 if kind is FaultKind.PRIMARY_REFUSES else 0.4):
            spared = [rng.randrange(host_count)]
        length_s = _PRIMARY_REFUSAL_S if kind is FaultKind.PRIMARY_REFUSES else _REFUSAL_S
        yield Fault(
            kind,
            round(at_s + rng.uniform(*_CUT_OFF_LEAD_S), 2),
            round(rng.uniform(*length_s), 2),
            rng.choice(others if kind is FaultKind.HOST_REFUSES else cut_off),
            rng.randrange(server_count),
            spared=tuple(sorted(spared)),
        )
    if FaultKind.PRIMARY_REFUSES in kinds:
        told_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        yield _make_fault(FaultKind.FORMER_PRIMARY_NOT_TOLD, at_s, told_s, 0)


def _draw_stops(rng: random.Random, start_s: float, host_count: int) -> Iterator[Fault]:
    """Stop some hosts or all, at once or in turn, beside SIGHUP and changes of configuration."""
    hosts = rng.sample(range(host_count), rng.randint(1, host_count))
    interval_s = rng.choice((0.0, rng.uniform(0, _MAX_STOP_INTERVAL_S)))
    for host in hosts:
        if rng.random() < 0.5:
            lead_s = rng.uniform(0, min(_STARVATION_LEAD_S, start_s))
            length_s = lead_s + rng.uniform(3, MAX_FAULT_S)
            yield _make_fault(FaultKind.HOST_STARVED, start_s - lead_s, length_s, host)
        down_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        yield _make_fault(FaultKind.HOST_STOPPED, start_s, down_s, host)
        if rng.random() < 0.3:
            kind = rng.choice((FaultKind.HOST_RELOADED, FaultKind.CONFIGURATION_CHANGED))
            at_s = start_s + rng.uniform(0, MAX_FAULT_S)
            yield _make_fault(kind, at_s, MIN_FAULT_S, rng.randrange(host_count))
        start_s += interval_s


def _make_fault(kind: FaultKind, at_s: float, for_s: float, host: int) -> Fault:
    return Fault(kind, round(at_s, 2), round(for_s, 2), host)
