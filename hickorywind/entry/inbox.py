"""Reordering of the messages of one answer into their sequence."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import RequestId
from hickorywind.protocol.messages import AnswerEnd, AnswerPart, CancelResult


@dataclass(frozen=True)
class LinkLost:
    """Event: the pool of the request is lost or has restarted."""

    reason: str


@dataclass(frozen=True)
class CancelRequested:
    """Event: the request is cancelled.

    ``outcome_timeout`` limits the wait for its outcome; None stands for the request's deadline.
    """

    outcome_timeout: timedelta | None = None


@dataclass(frozen=True)
class PartsMissing:
    """Event: the end of the answer arrived before some of its parts."""


InboxEvent = AnswerPart | AnswerEnd | CancelResult | LinkLost | CancelRequested | PartsMissing


class RequestInbox:
    """Queue of the events of one request; answer parts come out in sequence and only once.

    The end of the answer comes out after all parts. While parts are missing it is held back and
    ``is_incomplete`` is true.
    """

    def __init__(self, request_id: RequestId) -> None:
        self.request_id = request_id
        self._ready: asyncio.Queue[InboxEvent] = asyncio.Queue()
        self._out_of_order: dict[int, AnswerPart] = {}
        self._next_sequence = 0
        self._end: AnswerEnd | None = None

    @property
    def is_incomplete(self) -> bool:
        """Return whether the end of the answer has arrived but some of its parts have not."""
        return self._end is not None and self._next_sequence < self._end.part_count

    def put(self, event: InboxEvent) -> None:
        """Add an event; messages may arrive in any order, and duplicates are dropped."""
        match event:
            case AnswerPart():
                self._put_part(event)
            case AnswerEnd():
                self._put_end(event)
            case _:
                self._ready.put_nowait(event)

    def _put_part(self, part: AnswerPart) -> None:
        if part.sequence < self._next_sequence:
            return
        self._out_of_order[part.sequence] = part
        while self._next_sequence in self._out_of_order:
            self._ready.put_nowait(self._out_of_order.pop(self._next_sequence))
            self._next_sequence += 1
        self._deliver_end_if_complete()

    def _put_end(self, end: AnswerEnd) -> None:
        if self._end is None:
            self._end = end
            self._deliver_end_if_complete()
            if self.is_incomplete:
                self._ready.put_nowait(PartsMissing())

    def _deliver_end_if_complete(self) -> None:
        if self._end is not None and self._next_sequence == self._end.part_count:
            self._ready.put_nowait(self._end)

    def get_ready(self) -> InboxEvent | None:
        """Return the next event in sequence, or None if none is available."""
        return None if self._ready.empty() else self._ready.get_nowait()

    async def get(self) -> InboxEvent:
        """Wait for the next event in sequence and return it."""
        return await self._ready.get()
