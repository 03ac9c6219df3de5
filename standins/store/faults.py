"""Decide which calls of the stand-in store are delayed, refused or lose their answers."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec

CONTROL_PREFIX = b"/_standin/"
FAULTS_KEY = b"/_standin/faults"
CALLS_KEY = b"/_standin/calls"


class LostAnswer(Enum):
    """Choose what a caller sees whose write took effect but whose answer is lost."""

    UNAVAILABLE = "unavailable"
    HANG = "hang"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the faults in force; written as JSON to ``FAULTS_KEY``.

    ``lose_answers`` is the number of next writes that take effect and then lose their answer.
    """

    delay_ms: float = 0
    outage: bool = False
    lose_answers: int = 0
    lost_answer: LostAnswer = LostAnswer.UNAVAILABLE


class CallCounts:
    """Count the calls by kind, refused ones included."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, kind: str) -> None:
        """Count one call."""
        self._counts[kind] += 1

    def to_json(self, open_watches: int) -> bytes:
        """Render the counts and the number of open watches."""
        return msgspec.json.encode({**self._counts, "watches_open": open_watches})
