import logging
import os
import unittest
from datetime import timedelta

from hickorywind.observability.boundedlog import BURST_SECONDS, BoundedLogHandler
from hickorywind.util.clock import ManualClock


class BoundedLogHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.clock = ManualClock()
        self.dropped = 0
        self.handler = BoundedLogHandler(self.writer, 1_000, self.clock, self.count)
        self.handler.setFormatter(logging.Formatter("%(message)s"))

    def count(self):
        self.dropped += 1

    def emit(self, text):
        self.handler.emit(logging.makeLogRecord({"msg": text}))

    def read(self):
        try:
            return os.read(self.reader, 1_000_000).decode()
        except BlockingIOError:
            return ""

    def test_lines_within_the_limit_are_written(self):
        self.emit("event=a")
        self.assertEqual(self.read(), "event=a\n")

    def test_lines_beyond_the_limit_are_dropped_and_counted(self):
        for _ in range(200):
            self.emit("x" * 99)
        written = self.read()
        self.assertEqual(len(written), 1_000 * BURST_SECONDS)
        self.assertEqual(self.dropped, 150)
        self.clock.advance(timedelta(seconds=1))
        self.emit("event=b")
        self.assertEqual(self.read(), "event=log_lines_dropped count=150\nevent=b\n")

    def test_full_pipe_never_blocks(self):
        handler = BoundedLogHandler(self.writer, 10**9, self.clock, self.count)
        handler.setFormatter(logging.Formatter("%(message)s"))
        for _ in range(2_000):
            handler.emit(logging.makeLogRecord({"msg": "y" * 1_000}))
        self.assertGreater(self.dropped, 100)
