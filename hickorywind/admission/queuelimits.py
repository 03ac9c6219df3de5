"""Limits on the number and the size of the requests that wait for one backend server."""

from __future__ import annotations

from hickorywind.admission.rankstates import RankState, RankStates
from hickorywind.admission.requests import WaitingRequest


def is_full_for(rank_states: RankStates, state: RankState, request: WaitingRequest) -> bool:
    """Return whether a request must be refused, because evicting others can't make space for it."""
    size_bytes = state.queue.size_bytes + request.size_bytes
    if state.queue.count >= state.queue_limit or size_bytes > state.queue_limit_bytes:
        return True
    return (
        requires_eviction(rank_states, state, request) and find_victim(rank_states, state) is None
    )


def requires_eviction(rank_states: RankStates, state: RankState, request: WaitingRequest) -> bool:
    """Return whether queueing a request would exceed the limits that all ranks share.

    A rank whose queue uses less than its guaranteed share of the limits never requires eviction.
    """
    queue = state.queue
    rank_bytes = queue.size_bytes + request.size_bytes
    is_within_share = rank_bytes <= state.guaranteed_share * rank_states.queue_limit_bytes
    if is_within_share and queue.count < state.guaranteed_share * rank_states.queue_limit:
        return False
    if rank_states.waiting_count >= rank_states.queue_limit:
        return True
    return rank_states.waiting_bytes + request.size_bytes > rank_states.queue_limit_bytes


def find_victim(rank_states: RankStates, state: RankState) -> WaitingRequest | None:
    """Return the request to evict for a new one of the rank ``state``, or None.

    It is the newest request of the least urgent rank that holds more than its guaranteed share
    of the waiting requests. Only ranks less urgent than that of the new request are considered.
    """
    total = rank_states.waiting_count
    for other in reversed(rank_states.by_urgency):
        if other is state:
            return None
        if other.queue.count > total * other.guaranteed_share:
            return other.queue.newest()
    return None
