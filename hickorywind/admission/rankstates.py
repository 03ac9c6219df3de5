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

_INITIAL_SERVICE_SECONDS = 0.005
_SMOOTHING = 0.1
_CREDIT_LIMIT_SECONDS = 1.0
_SHARE_WINDOW_SECONDS = 2.0
_SHARE_UPDATE_SECONDS = 0.05
_PERCENT = 100.0


@dataclass(slots=True)
class RankState:
    """Account for one rank.

    ``guaranteed_share`` is from 0 to 1. ``expected_service_seconds`` is the moving average of the
    service time. ``used_share`` is the share of all slots that the rank used lately.
    """

    rank: Rank
    guaranteed_share: float
    queue_limit: int
    queue_limit_bytes: int
    queue: RankQueue = field(default_factory=RankQueue)
    running: int = 0
    credit_seconds: float = 0.0
    expected_service_seconds: float = _INITIAL_SERVICE_SECONDS
    is_measured: bool = False
    used_share: float = 0.0
    used_seconds: float = 0.0

    @classmethod
    def from_policy(cls, policy: RankPolicy) -> RankState:
        """Build the state of the rank that a policy is for."""
        guaranteed_share = policy.floor_percent / _PERCENT
        return cls(policy.rank, guaranteed_share, policy.queue_limit, policy.queue_limit_bytes)

    def set_policy(self, policy: RankPolicy) -> None:
        """Put another guaranteed_share and other bounds in force."""
        self.guaranteed_share = policy.floor_percent / _PERCENT
        self.queue_limit = policy.queue_limit
        self.queue_limit_bytes = policy.queue_limit_bytes

    def charge(self, seconds: float) -> None:
        """Charge slot time; a negative time gives back what was charged too much.

        Slot time that nobody else wanted makes no debt beyond one service time.
        """
        credit = self.credit_seconds
        self.credit_seconds = max(credit - seconds, min(credit, -self.expected_service_seconds))

    def drop_credit_if_idle(self) -> None:
        """Take away unused credit where no more work waits."""
        if not self.queue.count and self.credit_seconds > 0:
            self.credit_seconds = 0.0

    def record_service_time(self, seconds: float) -> None:
        """Take in how long one request credit its slot."""
        if self.is_measured:
            self.expected_service_seconds += (seconds - self.expected_service_seconds) * _SMOOTHING
        else:
            self.expected_service_seconds = seconds
            self.is_measured = True


def _with_defaults(policies: Sequence[RankPolicy]) -> tuple[RankPolicy, ...]:
    """Order policies by urgency; a rank without one has no floor and the default bounds."""
    by_rank = {policy.rank: policy for policy in policies}
    return tuple(by_rank.get(rank, RankPolicy(rank, 0)) for rank in RANKS_BY_URGENCY)


class RankStates:
    """Hold the rank_states of all ranks, the most urgent first."""

    def __init__(self, policies: Sequence[RankPolicy], slots: int) -> None:
        all_policies = _with_defaults(policies)
        self.by_urgency = tuple(RankState.from_policy(policy) for policy in all_policies)
        self._pending_seconds = 0.0
        self.set_policies(all_policies, slots)

    def set_policies(self, policies: Sequence[RankPolicy], slots: int) -> None:
        """Put other floors and bounds in force; what waits stays."""
        for state, policy in zip(self.by_urgency, _with_defaults(policies), strict=True):
            state.set_policy(policy)
        self.queue_limit = max(state.queue_limit for state in self.by_urgency)
        self.queue_limit_bytes = max(state.queue_limit_bytes for state in self.by_urgency)
        self._slots = slots

    def for_rank(self, rank: Rank) -> RankState:
        """Return the state of a rank."""
        for state in self.by_urgency:
            if state.rank is rank:
                return state
        raise KeyError(rank)

    @property
    def waiting_count(self) -> int:
        """Return how many requests of all ranks wait."""
        return sum(state.queue.count for state in self.by_urgency)

    @property
    def waiting_bytes(self) -> int:
        """Return the size of the waiting requests of all ranks."""
        return sum(state.queue.size_bytes for state in self.by_urgency)

    def advance(self, elapsed_seconds: float) -> None:
        """Credit each rank with waiting work with its share of the slot time served to all."""
        running = 0
        for state in self.by_urgency:
            running += state.running
            state.used_seconds += state.running * elapsed_seconds
        served = elapsed_seconds * running
        for state in self.by_urgency:
            if state.queue.count:
                earned = state.credit_seconds + served * state.guaranteed_share
                state.credit_seconds = min(earned, _CREDIT_LIMIT_SECONDS)
        self._pending_seconds += elapsed_seconds
        if self._pending_seconds >= _SHARE_UPDATE_SECONDS:
            self._update_used_shares()

    def _update_used_shares(self) -> None:
        decay = math.exp(-self._pending_seconds / _SHARE_WINDOW_SECONDS)
        offered = self._pending_seconds * self._slots
        for state in self.by_urgency:
            state.used_share = state.used_share * decay + state.used_seconds / offered * (1 - decay)
            state.used_seconds = 0.0
        self._pending_seconds = 0.0

    def record_service_time(self, state: RankState, seconds: float) -> None:
        """Take in a service time; ranks never measured are expected to be like the slowest."""
        state.record_service_time(seconds)
        slowest = max(each.expected_service_seconds for each in self.by_urgency if each.is_measured)
        for each in self.by_urgency:
            if not each.is_measured:
                each.expected_service_seconds = slowest

    def with_most_credit(self) -> RankState | None:
        """Return the state with waiting work and most credit, or None where none is in credit."""
        best = None
        for state in self.by_urgency:
            if state.queue.count and state.credit_seconds > 0:
                if best is None or state.credit_seconds > best.credit_seconds:
                    best = state
        return best

    def expected_share(self, state: RankState) -> float:
        """Estimate the share of the slots that new work of a rank gets."""
        used = guaranteed = 0.0
        position = self.by_urgency.index(state)
        for other in self.by_urgency[:position]:
            used += other.used_share
        for other in self.by_urgency[position + 1 :]:
            if other.queue.count:
                guaranteed += other.guaranteed_share
        return max(state.guaranteed_share, 1.0 - used - guaranteed, 1 / _PERCENT)

    def expected_wait_seconds(self, state: RankState, ahead: int) -> float:
        """Estimate the wait behind ``ahead`` requests of the own rank and all more urgent ones."""
        own = state.expected_service_seconds * (ahead + 1)
        more_urgent = 0.0
        for other in self.by_urgency[: self.by_urgency.index(state)]:
            more_urgent += other.expected_service_seconds * other.queue.count
        wait_in_order = (own + more_urgent) / self._slots / self.expected_share(state)
        if state.guaranteed_share <= 0:
            return wait_in_order
        return min(wait_in_order, own / self._slots / state.guaranteed_share)
