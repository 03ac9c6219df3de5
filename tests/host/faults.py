"""Faults of a simulated cluster, and hypothesis strategies for schedules of them."""

import enum
from dataclasses import dataclass

from hypothesis import strategies

SERVER_COUNT = 3
HOST_COUNT = 3
MAX_DURATION_MS = 12_000
START_TIMES = strategies.integers(0, 5_000)
DURATIONS = strategies.integers(500, MAX_DURATION_MS)
CHANGE_START_TIMES = strategies.integers(1_000, 4_000)
CHANGE_DURATIONS = strategies.integers(100, 8_000)
TARGETS = strategies.integers(0, SERVER_COUNT - 1)


class FaultKind(enum.Enum):
    SERVER_CRASHES = "server crashes and comes back"
    PRIMARY_CRASHES = "primary crashes and comes back"
    SERVER_SILENT = "server accepts and says nothing"
    PRIMARY_SILENT = "primary accepts and says nothing"
    PRIMARY_SLOW = "primary answers late"
    SERVER_NOT_RECEIVING = "replica receives nothing"
    PRIMARY_NOT_DEMOTED = "primary does not hear that it was replaced"
    PRIMARY_LEAVING = "primary is to be replaced by plan"
    HOST_PAUSED = "host is paused"
    HOST_KILLED = "host is killed and started again"
    HOST_STORE_REFUSED = "store refuses one host"
    HOST_STORE_SILENT = "store does not answer one host"
    HOST_OUTBOUND_LOST = "what a host sends to others is lost"
    HOST_INBOUND_LOST = "what others send to a host is lost"
    HOST_ISOLATED = "host reaches servers and callers, neither the store nor other hosts"
    STORE_DOWN = "store answers nobody"
    STORE_SLOW = "store takes its time for each answer"
    STORE_ANSWER_LOST = "answer to a write to the store is lost"
    LEASE_REVOKED = "lease of a host is taken away"
    PROMOTION_ANSWER_LOST = "promotion takes effect, its answer is lost"
    PROMOTION_DELAYED = "promotion takes effect late, its answer is lost"


PRIMARY_CHANGE_FAULTS = (FaultKind.PRIMARY_CRASHES, FaultKind.PRIMARY_LEAVING)
HOST_FAULTS = (
    FaultKind.HOST_PAUSED,
    FaultKind.HOST_ISOLATED,
    FaultKind.HOST_STORE_REFUSED,
    FaultKind.HOST_OUTBOUND_LOST,
    FaultKind.HOST_INBOUND_LOST,
    FaultKind.HOST_KILLED,
)


@dataclass(frozen=True)
class Fault:
    """Fault that starts at ``at_ms``, lasts ``duration_ms`` and affects one host or server.

    ``target`` is the number of the host or server.
    """

    kind: FaultKind
    at_ms: int
    duration_ms: int
    target: int


def faults(kinds=tuple(FaultKind)):
    """Return a strategy for one fault of the given kinds."""
    return strategies.builds(Fault, strategies.sampled_from(kinds), START_TIMES, DURATIONS, TARGETS)


def primary_changes():
    """Return a strategy for faults that make the hosts replace a primary.

    In three of four cases the old primary is not demoted by the platform.
    """
    not_demoted = Fault(FaultKind.PRIMARY_NOT_DEMOTED, 0, MAX_DURATION_MS, 0)
    preceding = strategies.sampled_from([(not_demoted,), (not_demoted,), (not_demoted,), ()])
    change = strategies.builds(
        Fault,
        strategies.sampled_from(PRIMARY_CHANGE_FAULTS),
        CHANGE_START_TIMES,
        CHANGE_DURATIONS,
        strategies.just(0),
    )
    return strategies.tuples(preceding, change).map(lambda pair: [*pair[0], pair[1]])


def schedules():
    """Return a strategy for a primary change, one host fault and up to three other faults."""
    return strategies.builds(
        lambda change, host, others: [*change, host, *others],
        primary_changes(),
        faults(HOST_FAULTS),
        strategies.lists(faults(), max_size=3),
    )
