"""Hold, for each rank, its queue and the accounts of the slot time it was served and is owed.

While a rank has waiting work it earns its floor's share of all slot time served. What it is served
is charged against that. A rank in credit goes ahead of more urgent ones, which keeps its floor in
any flood; a rank without waiting work earns nothing, which gives its share away.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from hickorywind.admission.rankqueue import RankQueue
from hickorywind.configuration.model import RankPolicy
from hickorywind.ids import RANKS_BY_URGENCY, Rank

_FIRST_GUESS_SECONDS = 0.005
_SMOOTHING = 0.1
_CREDIT_LIMIT_SECONDS = 1.0
_USE_WINDOW_SECONDS = 2.0
_FOLD_SECONDS = 0.05
_PERCENT = 100.0


@dataclass(slots=True)
class Lane:
    """Account for one rank.

    ``floor`` is a share from 0 to 1. ``expected_seconds`` is the moving average of the service
    time. ``used_share`` is the share of all slots that the rank used lately.
    """

    rank: Rank
    floor: float
    limit: int
    limit_bytes: int
    queue: RankQueue = field(default_factory=RankQueue)
    running: int = 0
    credit_seconds: float = 0.0
    expected_seconds: float = _FIRST_GUESS_SECONDS
    is_measured: bool = False
    used_share: float = 0.0
    used_seconds: float = 0.0

    @classmethod
    def from_policy(cls, policy: RankPolicy) -> Lane:
        """Build the lane of the rank that a policy is for."""
        floor = policy.floor_percent / _PERCENT
        return cls(policy.rank, floor, policy.queue_limit, policy.queue_limit_bytes)

    def set_policy(self, policy: RankPolicy) -> None:
        """Put another floor and other bounds in force."""
        self.floor = policy.floor_percent / _PERCENT
        self.limit = policy.queue_limit
        self.limit_bytes = policy.queue_limit_bytes

    def charge(self, seconds: float) -> None:
        """Charge slot time; a negative time gives back what was charged too much.

        Slot time that nobody else wanted makes no debt beyond one service time.
        """
        held = self.credit_seconds
        self.credit_seconds = max(held - seconds, min(held, -self.expected_seconds))

    def forfeit_if_idle(self) -> None:
        """Take away unused credit where no more work waits."""
        if not self.queue.count and self.credit_seconds > 0:
            self.credit_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Take in how long one request held its slot."""
        if self.is_measured:
            self.expected_seconds += (seconds - self.expected_seconds) * _SMOOTHING
        else:
            self.expected_seconds = seconds
            self.is_measured = True


def _complete(policies: Sequence[RankPolicy]) -> tuple[RankPolicy, ...]:
    """Order policies by urgency; a rank without one has no floor and the default bounds."""
    named = {policy.rank: policy for policy in policies}
    return tuple(named.get(rank, RankPolicy(rank, 0)) for rank in RANKS_BY_URGENCY)


class Lanes:
    """Hold the lanes of all ranks, the most urgent first."""

    def __init__(self, policies: Sequence[RankPolicy], slots: int) -> None:
        complete = _complete(policies)
        self.by_urgency = tuple(Lane.from_policy(policy) for policy in complete)
        self._unfolded_seconds = 0.0
        self.set_policies(complete, slots)

    def set_policies(self, policies: Sequence[RankPolicy], slots: int) -> None:
        """Put other floors and bounds in force; what waits stays."""
        for lane, policy in zip(self.by_urgency, _complete(policies), strict=True):
            lane.set_policy(policy)
        self.limit = max(lane.limit for lane in self.by_urgency)
        self.limit_bytes = max(lane.limit_bytes for lane in self.by_urgency)
        self._slots = slots

    def of(self, rank: Rank) -> Lane:
        """Return the lane of a rank."""
        for lane in self.by_urgency:
            if lane.rank is rank:
                return lane
        raise KeyError(rank)

    @property
    def waiting_count(self) -> int:
        """Return how many requests of all ranks wait."""
        return sum(lane.queue.count for lane in self.by_urgency)

    @property
    def waiting_bytes(self) -> int:
        """Return the size of the waiting requests of all ranks."""
        return sum(lane.queue.size_bytes for lane in self.by_urgency)

    def advance(self, elapsed_seconds: float) -> None:
        """Credit each rank with waiting work with its share of the slot time served to all."""
        running = 0
        for lane in self.by_urgency:
            running += lane.running
            lane.used_seconds += lane.running * elapsed_seconds
        served = elapsed_seconds * running
        for lane in self.by_urgency:
            if lane.queue.count:
                earned = lane.credit_seconds + served * lane.floor
                lane.credit_seconds = min(earned, _CREDIT_LIMIT_SECONDS)
        self._unfolded_seconds += elapsed_seconds
        if self._unfolded_seconds >= _FOLD_SECONDS:
            self._fold()

    def _fold(self) -> None:
        kept = math.exp(-self._unfolded_seconds / _USE_WINDOW_SECONDS)
        offered = self._unfolded_seconds * self._slots
        for lane in self.by_urgency:
            lane.used_share = lane.used_share * kept + lane.used_seconds / offered * (1 - kept)
            lane.used_seconds = 0.0
        self._unfolded_seconds = 0.0

    def observe(self, lane: Lane, seconds: float) -> None:
        """Take in a service time; ranks never measured are expected to be like the slowest."""
        lane.observe(seconds)
        slowest = max(each.expected_seconds for each in self.by_urgency if each.is_measured)
        for each in self.by_urgency:
            if not each.is_measured:
                each.expected_seconds = slowest

    def most_owed(self) -> Lane | None:
        """Return the lane with waiting work and most credit, or None where none is in credit."""
        best = None
        for lane in self.by_urgency:
            if lane.queue.count and lane.credit_seconds > 0:
                if best is None or lane.credit_seconds > best.credit_seconds:
                    best = lane
        return best

    def share_for(self, lane: Lane) -> float:
        """Estimate the share of the slots that new work of a rank gets."""
        used = owed = 0.0
        position = self.by_urgency.index(lane)
        for other in self.by_urgency[:position]:
            used += other.used_share
        for other in self.by_urgency[position + 1 :]:
            if other.queue.count:
                owed += other.floor
        return max(lane.floor, 1.0 - used - owed, 1 / _PERCENT)

    def expected_wait_seconds(self, lane: Lane, ahead: int) -> float:
        """Estimate the wait behind ``ahead`` requests of the own rank and all more urgent ones."""
        own = lane.expected_seconds * (ahead + 1)
        more_urgent = 0.0
        for other in self.by_urgency[: self.by_urgency.index(lane)]:
            more_urgent += other.expected_seconds * other.queue.count
        by_order = (own + more_urgent) / self._slots / self.share_for(lane)
        if lane.floor <= 0:
            return by_order
        return min(by_order, own / self._slots / lane.floor)
