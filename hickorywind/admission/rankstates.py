"""Queue and slot-time accounting of each rank, which guarantee it a minimum share of the slots.

While a rank has waiting requests it earns its guaranteed share of all slot time in use, and the
slot time of its own requests is charged against that credit. A rank with positive credit is served
before more urgent ones, so it gets its share under any load. A rank without waiting requests earns
nothing and leaves its share to the others.
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
    """Queue, limits and slot-time credit of one rank.

    ``guaranteed_share`` is its minimum share of slot time, from 0 to 1.
    ``expected_service_seconds`` is the moving average of the service time. ``used_share`` is the
    share of all slot time that the rank used recently.
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
        """Create the state of the rank that a policy configures."""
        guaranteed_share = policy.floor_percent / _PERCENT
        return cls(policy.rank, guaranteed_share, policy.queue_limit, policy.queue_limit_bytes)

    def set_policy(self, policy: RankPolicy) -> None:
        """Apply the guaranteed share and the queue limits of a policy."""
        self.guaranteed_share = policy.floor_percent / _PERCENT
        self.queue_limit = policy.queue_limit
        self.queue_limit_bytes = policy.queue_limit_bytes

    def charge(self, seconds: float) -> None:
        """Subtract slot time from the credit; a negative time refunds an excess charge.

        Debt is limited to one expected service time, so that a rank need not repay slot time that
        no other rank wanted.
        """
        credit = self.credit_seconds
        self.credit_seconds = max(credit - seconds, min(credit, -self.expected_service_seconds))

    def drop_credit_if_idle(self) -> None:
        """Reset positive credit to zero if no request of the rank waits."""
        if not self.queue.count and self.credit_seconds > 0:
            self.credit_seconds = 0.0

    def record_service_time(self, seconds: float) -> None:
        """Update the expected service time with the time that one request held its slot."""
        if self.is_measured:
            self.expected_service_seconds += (seconds - self.expected_service_seconds) * _SMOOTHING
        else:
            self.expected_service_seconds = seconds
            self.is_measured = True


def _with_defaults(policies: Sequence[RankPolicy]) -> tuple[RankPolicy, ...]:
    """Return the policies by urgency; a rank without one gets no share and default limits."""
    by_rank = {policy.rank: policy for policy in policies}
    return tuple(by_rank.get(rank, RankPolicy(rank, 0)) for rank in RANKS_BY_URGENCY)


class RankStates:
    """States of all ranks of one backend server, the most urgent first."""

    def __init__(self, policies: Sequence[RankPolicy], slots: int) -> None:
        all_policies = _with_defaults(policies)
        self.by_urgency = tuple(RankState.from_policy(policy) for policy in all_policies)
        self._pending_seconds = 0.0
        self.set_policies(all_policies, slots)

    def set_policies(self, policies: Sequence[RankPolicy], slots: int) -> None:
        """Apply changed guaranteed shares, queue limits and slots; waiting requests stay queued."""
        for state, policy in zip(self.by_urgency, _with_defaults(policies), strict=True):
            state.set_policy(policy)
        self.queue_limit = max(state.queue_limit for state in self.by_urgency)
        self.queue_limit_bytes = max(state.queue_limit_bytes for state in self.by_urgency)
        self._slots = slots

    def for_rank(self, rank: Rank) -> RankState:
        """Return the state of a rank; raise ``KeyError`` for an unknown one."""
        for state in self.by_urgency:
            if state.rank is rank:
                return state
        raise KeyError(rank)

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests of all ranks."""
        return sum(state.queue.count for state in self.by_urgency)

    @property
    def waiting_bytes(self) -> int:
        """Return the total size of the waiting requests of all ranks in bytes."""
        return sum(state.queue.size_bytes for state in self.by_urgency)

    def advance(self, elapsed_seconds: float) -> None:
        """Credit each rank that has waiting requests with its share of the slot time in use."""
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
        """Record a service time of a rank; ranks without any are expected to match the slowest."""
        state.record_service_time(seconds)
        slowest = max(each.expected_service_seconds for each in self.by_urgency if each.is_measured)
        for each in self.by_urgency:
            if not each.is_measured:
                each.expected_service_seconds = slowest

    def with_most_credit(self) -> RankState | None:
        """Return the rank with waiting requests and the most credit; None if none has credit."""
        best = None
        for state in self.by_urgency:
            if state.queue.count and state.credit_seconds > 0:
                if best is None or state.credit_seconds > best.credit_seconds:
                    best = state
        return best

    def expected_share(self, state: RankState) -> float:
        """Estimate the share of the slots that a new request of a rank can use."""
        used = guaranteed = 0.0
        position = self.by_urgency.index(state)
        for other in self.by_urgency[:position]:
            used += other.used_share
        for other in self.by_urgency[position + 1 :]:
            if other.queue.count:
                guaranteed += other.guaranteed_share
        return max(state.guaranteed_share, 1.0 - used - guaranteed, 1 / _PERCENT)

    def expected_wait_seconds(self, state: RankState, ahead: int) -> float:
        """Estimate the wait behind ``ahead`` requests of the same rank and all more urgent ones."""
        own = state.expected_service_seconds * (ahead + 1)
        more_urgent = 0.0
        for other in self.by_urgency[: self.by_urgency.index(state)]:
            more_urgent += other.expected_service_seconds * other.queue.count
        wait_in_order = (own + more_urgent) / self._slots / self.expected_share(state)
        if state.guaranteed_share <= 0:
            return wait_in_order
        return min(wait_in_order, own / self._slots / state.guaranteed_share)
