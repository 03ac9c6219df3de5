"""Queue of the waiting requests of one rank, fair between sessions."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Hashable, Iterator

from hickorywind.admission.requests import WaitingRequest
from hickorywind.ids import SessionId


class RankQueue:
    """Queue that serves sessions round-robin and the requests of one session in arrival order."""

    def __init__(self) -> None:
        self._sessions: OrderedDict[SessionId, deque[WaitingRequest]] = OrderedDict()
        self._requests: dict[Hashable, WaitingRequest] = {}
        self.count = 0
        self.size_bytes = 0

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(tuple(self._requests.values()))

    def __contains__(self, key: Hashable) -> bool:
        return key in self._requests

    def push(self, request: WaitingRequest) -> None:
        """Append a request to the queue of its session."""
        self._requests[request.key] = request
        self.count += 1
        self.size_bytes += request.size_bytes
        self._sessions.setdefault(request.session, deque()).append(request)

    def pop(self) -> WaitingRequest:
        """Remove and return the next request in round-robin order; raise KeyError if empty."""
        session, waiting = self._sessions.popitem(last=False)
        request = waiting.popleft()
        if waiting:
            self._sessions[session] = waiting
        self._discard(request)
        return request

    def remove(self, key: Hashable) -> WaitingRequest | None:
        """Remove and return the request with a key; return None if it is not in the queue."""
        request = self._requests.get(key)
        if request is None:
            return None
        waiting = self._sessions[request.session]
        waiting.remove(request)
        if not waiting:
            del self._sessions[request.session]
        self._discard(request)
        return request

    def newest(self) -> WaitingRequest | None:
        """Return the request that arrived last, or None if the queue is empty."""
        key = next(reversed(self._requests), None)
        return None if key is None else self._requests[key]

    def count_of_session(self, session: SessionId) -> int:
        """Return the number of waiting requests of one session."""
        return len(self._sessions.get(session, ()))

    def count_ahead_of(self, session: SessionId) -> int:
        """Return an upper bound on the requests served before a new one of ``session``."""
        turns = self.count_of_session(session) + 1
        return min(self.count, turns * len(self._sessions))

    def _discard(self, request: WaitingRequest) -> None:
        del self._requests[request.key]
        self.count -= 1
        self.size_bytes -= request.size_bytes
