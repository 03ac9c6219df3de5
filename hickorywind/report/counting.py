"""Counts of good and bad requests of an objective over time, from samples of counters."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hickorywind.configuration.model import Configuration, Objective
from hickorywind.ids import ServiceName
from hickorywind.report.samples import RankCounts, Sample
from hickorywind.results import ResultCode

# Errors of the caller: they count neither as good nor as bad.
_CALLER_ERROR_CODES = range(1_000, 2_000)
_EXCLUDED_CODES = frozenset({ResultCode.CANCELLED})


@dataclass(frozen=True)
class ServiceObjective:
    """Objective of one database service."""

    service: ServiceName
    objective: Objective

    def __str__(self) -> str:
        goal = self.objective
        return f"{self.service} {goal.rank.value} {goal.target_percent:g}% in {goal.latency_ms} ms"


def list_objectives(configuration: Configuration) -> tuple[ServiceObjective, ...]:
    """Return the objectives of all services."""
    return tuple(
        ServiceObjective(service.name, objective)
        for service in configuration.services
        for objective in service.objectives
    )


@dataclass(frozen=True)
class Counts:
    """Number of requests that count towards an objective, and of the good ones among them."""

    total: float = 0.0
    good: float = 0.0

    @property
    def bad(self) -> float:
        """Return the number of requests that were refused, late or of unknown outcome."""
        return max(self.total - self.good, 0.0)

    def __add__(self, other: Counts) -> Counts:
        return Counts(self.total + other.total, self.good + other.good)

    def since(self, earlier: Counts) -> Counts:
        """Return the increase since ``earlier``.

        Counters that decreased were reset by a restart of the process, so their whole value counts.
        """
        if self.total < earlier.total or self.good < earlier.good:
            return self
        return Counts(self.total - earlier.total, self.good - earlier.good)


@dataclass(frozen=True)
class Increase:
    """Requests of a process that ended between two samples, the later one at ``at_seconds``."""

    at_seconds: float
    counts: Counts


def count_requests(sample: Sample, service_objective: ServiceObjective) -> Counts:
    """Return the counts of an objective since the sampled process started."""
    totals = Counts()
    for ranks in sample.ranks:
        if (
            ranks.service == service_objective.service
            and ranks.rank is service_objective.objective.rank
        ):
            totals += Counts(_count_total(ranks), _count_good(ranks, service_objective.objective))
    return totals


def _count_total(ranks: RankCounts) -> float:
    return sum(entry.count for entry in ranks.ended if _concerns_objective(entry.code))


def _concerns_objective(code: int) -> bool:
    return code not in _CALLER_ERROR_CODES and code not in _EXCLUDED_CODES


def _count_good(ranks: RankCounts, objective: Objective) -> float:
    within = [entry.count for entry in ranks.in_time if entry.bound_ms <= objective.latency_ms]
    return max(within, default=0.0)


def list_increases(
    samples: Sequence[Sample], service_objective: ServiceObjective
) -> tuple[Increase, ...]:
    """Return the increases between consecutive samples of each process, in order of time."""
    latest: dict[str, Counts] = {}
    increases = []
    for sample in sorted(samples, key=lambda sample: sample.at_seconds):
        counts = count_requests(sample, service_objective)
        if sample.source in latest:
            increases.append(Increase(sample.at_seconds, counts.since(latest[sample.source])))
        latest[sample.source] = counts
    return tuple(increases)


def sum_increases(
    increases: Iterable[Increase], after_seconds: float, until_seconds: float
) -> Counts:
    """Return the sum of the increases after ``after_seconds`` and up to ``until_seconds``."""
    totals = Counts()
    for increase in increases:
        if after_seconds < increase.at_seconds <= until_seconds:
            totals += increase.counts
    return totals
