"""Fault injection settings and call counters of the stand-in store."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec

CONTROL_PREFIX = b"/_standin/"
FAULTS_KEY = b"/_standin/faults"
CALLS_KEY = b"/_standin/calls"


class LostAnswer(Enum):
    """Behaviour towards a client whose write took effect but whose answer is lost."""

    UNAVAILABLE = "unavailable"
    HANG = "hang"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults, written as JSON to ``FAULTS_KEY``.

    The answers to the next ``lose_answers`` writes are lost after the writes take effect.
    """

    delay_ms: float = 0
    outage: bool = False
    lose_answers: int = 0
    lost_answer: LostAnswer = LostAnswer.UNAVAILABLE


class CallCounts:
    """Number of calls by kind, including refused ones."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, kind: str) -> None:
        """Count one call of a kind."""
        self._counts[kind] += 1

    def to_json(self, open_watches: int) -> bytes:
        """Return the counts and the number of open watches as JSON."""
        return msgspec.json.encode({**self._counts, "watches_open": open_watches})
