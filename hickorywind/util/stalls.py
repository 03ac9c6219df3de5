"""Detection of stalls of this process, such as a suspended machine."""

from __future__ import annotations

from datetime import timedelta

from hickorywind.util.clock import Clock, Instant

STALL_THRESHOLD = timedelta(milliseconds=500)  # without a turn; a loaded event loop turns sooner
# After a stall, in which messages are read that arrived during it.
RECOVERY_TIME = timedelta(milliseconds=200)


class StallDetector:
    """Tells whether messages read now may have waited during a stall of this process."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_turn = clock.now()
        self._recent_until: Instant = timedelta(0)

    def record_turn(self) -> None:
        """Record that the event loop turned; called several times a second."""
        now = self._clock.now()
        if now > self._last_turn + STALL_THRESHOLD:
            self._recent_until = now + RECOVERY_TIME
        self._last_turn = now

    def is_recent(self) -> bool:
        """Return whether the process was stalled a moment ago."""
        self.record_turn()
        return self._clock.now() < self._recent_until
