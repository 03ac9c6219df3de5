"""Remember how long each test took and which passed."""

import time
import unittest


class TimingResult(unittest.TextTestResult):
    """Remember how long each test took and which passed."""

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.passed: list[str] = []
        self.durations: list[tuple[float, str]] = []

    def startTest(self, test) -> None:  # noqa: N802
        self._started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test) -> None:  # noqa: N802
        self.durations.append((time.monotonic() - self._started, test.id()))
        super().stopTest(test)

    def addSuccess(self, test) -> None:  # noqa: N802
        super().addSuccess(test)
        self.passed.append(test.id())
