"""Answer of one request, sent in parts under credit-based flow control."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from hickorywind.ids import LogPosition, RequestId, TransactionId
from hickorywind.postgres.frames import Frame
from hickorywind.protocol.messages import (
    AnswerEnd,
    AnswerPart,
    CancelResult,
    Message,
    TransactionState,
)
from hickorywind.results import Result

_PART_BYTES = 65_536
_INITIAL_CREDIT_BYTES = 1_048_576


class AnswerStream:
    """Stream that joins the frames of an answer into parts and sends them to the entry.

    The last part is buffered until ``end``. After the end of the answer, further frames are
    dropped. ``send`` is called with each message for the entry.
    """

    def __init__(self, request_id: RequestId, send: Callable[[Message], None]) -> None:
        self._request_id = request_id
        self._send = send
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._credit_bytes = _INITIAL_CREDIT_BYTES
        self._credit_added = asyncio.Event()
        self._part_count = 0
        self.has_ended = False

    def add_credit(self, credit_bytes: int) -> None:
        """Allow ``credit_bytes`` more bytes to be sent."""
        self._credit_bytes += credit_bytes
        self._credit_added.set()

    async def write(self, frames: Iterable[Frame]) -> None:
        """Buffer frames and send full parts; wait if the credit is used up."""
        for frame in frames:
            if self._buffer and self._buffered_bytes + len(frame.data) > _PART_BYTES:
                await self._send_part_with_credit()
            self._buffer.append(frame.data)
            self._buffered_bytes += len(frame.data)

    async def _send_part_with_credit(self) -> None:
        while self._credit_bytes <= 0 and not self.has_ended:
            self._credit_added.clear()
            await self._credit_added.wait()
        self._send_part()

    def _send_part(self) -> None:
        if not self.has_ended and self._buffer:
            part = AnswerPart(self._request_id, self._part_count, b"".join(self._buffer))
            self._part_count += 1
            self._credit_bytes -= self._buffered_bytes
            self._send(part)
        self._buffer.clear()
        self._buffered_bytes = 0

    def discard_buffered(self) -> None:
        """Drop the frames that were not sent yet."""
        self._buffer.clear()
        self._buffered_bytes = 0

    def end(
        self,
        result: Result,
        state: TransactionState = TransactionState.IDLE,
        transaction_id: TransactionId | None = None,
        position: LogPosition | None = None,
        queued_ms: float = 0.0,
        service_ms: float = 0.0,
    ) -> bool:
        """Send the end of the answer, after the buffered frames if the result is OK.

        Return False if the answer has already ended.
        """
        if self.has_ended:
            return False
        if result.is_ok:
            self._send_part()
        else:
            self.discard_buffered()
        self._send(
            AnswerEnd(
                self._request_id,
                self._part_count,
                result,
                state,
                transaction_id,
                position,
                queued_ms,
                service_ms,
            )
        )
        self.has_ended = True
        self._credit_added.set()
        return True

    def send_cancel_result(self, result: Result) -> None:
        """Send the entry the result of its cancel request."""
        self._send(CancelResult(self._request_id, result))
