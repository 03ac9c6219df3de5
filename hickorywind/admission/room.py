"""Bound the waiting requests of one backend server in count and bytes."""

from __future__ import annotations

from hickorywind.admission.lanes import Lane, Lanes
from hickorywind.admission.requests import WaitingRequest


def is_full_for(lanes: Lanes, lane: Lane, request: WaitingRequest) -> bool:
    """Tell whether a request has to be refused, also after less urgent ones have made room."""
    size_bytes = lane.queue.size_bytes + request.size_bytes
    if lane.queue.count >= lane.limit or size_bytes > lane.limit_bytes:
        return True
    return needs_room(lanes, lane, request) and find_victim(lanes, lane) is None


def needs_room(lanes: Lanes, lane: Lane, request: WaitingRequest) -> bool:
    """Tell whether all ranks together hold so much that one has to go.

    A rank that holds less than its floor's share of the room may always add to it.
    """
    queue = lane.queue
    own_bytes = queue.size_bytes + request.size_bytes
    is_small = own_bytes <= lane.floor * lanes.limit_bytes
    if is_small and queue.count < lane.floor * lanes.limit:
        return False
    if lanes.waiting_count >= lanes.limit:
        return True
    return lanes.waiting_bytes + request.size_bytes > lanes.limit_bytes


def find_victim(lanes: Lanes, lane: Lane) -> WaitingRequest | None:
    """Pick the youngest request of the least urgent rank that is over its floor's share."""
    total = lanes.waiting_count
    for other in reversed(lanes.by_urgency):
        if other is lane:
            return None
        if other.queue.count > total * other.floor:
            return other.queue.youngest()
    return None
