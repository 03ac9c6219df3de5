import io
import json
import logging
import shlex
import unittest
from unittest import mock

from hickorywind.ids import HostId, Rank, Role
from hickorywind.observability import logs
from hickorywind.observability.logs import (
    REDACTED,
    EventFields,
    JsonEventFormatter,
    KeyValueFormatter,
    configure_logging,
    render_value,
)
from hickorywind.settings.schema import LogSettings

FIELDS = EventFields(Role.POOL, HostId("adum-1"))


def make_record(event="request_ended", extra=None, exc_info=None):
    logger = logging.getLogger("hickorywind.test")
    return logger.makeRecord(
        logger.name, logging.INFO, "f", 1, event, (), exc_info, None, extra or {}
    )


class KeyValueTest(unittest.TestCase):
    def line(self, **extra):
        return KeyValueFormatter(FIELDS).format(make_record(extra=extra))

    def test_keys_are_ordered_and_values_formatted(self):
        line = self.line(rank=Rank.URGENT, wait_ms=1.5, ok=True, floor=None)
        self.assertRegex(line, r"^event=request_ended level=info ts=\d{4}-\S+Z host=adum-1 ")
        self.assertTrue(line.endswith("rank=urgent wait_ms=1.5 ok=true floor=none"), line)

    def test_values_cannot_break_a_line_or_forge_a_pair(self):
        for text in ("a\nlevel=error", "a\r\n", "a\u2028b", "a\x00b", 'say "x" level=error', ""):
            with self.subTest(text=text):
                line = self.line(reason=text)
                self.assertEqual(len(line.splitlines()), 1)
                pairs = [part for part in shlex.split(line) if part.startswith("level=")]
                self.assertEqual(pairs, ["level=info"])
        self.assertEqual(render_value("a\nb"), '"a\\nb"')

    def test_plain_pairs_are_checked_as_a_whole_and_not_by_character(self):
        pairs = {f"key{number}": "front-adum-1" for number in range(10)}
        with mock.patch.object(logs, "_needs_no_quotes", wraps=logs._needs_no_quotes) as check:
            pair_count = len(self.line(**pairs).split())
        self.assertEqual(check.call_count, 2 * pair_count)

    def test_special_characters_in_keys_are_replaced(self):
        self.assertIn("a_b_c=1", self.line(**{"a b=c": 1}))

    def test_extra_keys_do_not_overwrite_standard_keys(self):
        self.assertIn("host=adum-1", self.line(host="other"))
        self.assertIn("extra_host=other", self.line(host="other"))

    def test_secrets_are_redacted(self):
        line = self.line(password="p1", session_token="p2", inner={"Secret_Key": "p3", "x": 1})
        for value in ("p1", "p2", "p3"):
            self.assertNotIn(value, line)
        self.assertIn(f"password={REDACTED}", line)

    def test_traceback_stays_on_one_line(self):
        try:
            raise ValueError("bad\nthing")
        except ValueError as error:
            record = make_record(exc_info=(type(error), error, error.__traceback__))
        line = KeyValueFormatter(FIELDS).format(record)
        self.assertEqual(len(line.splitlines()), 1)
        self.assertIn("ValueError", line)


class JsonTest(unittest.TestCase):
    def test_same_keys_as_the_key_value_line(self):
        record = make_record(extra={"rank": Rank.URGENT, "password": "p", "wait_ms": 1.5})
        fields = json.loads(JsonEventFormatter(FIELDS).format(record))
        self.assertEqual(fields, FIELDS.collect(record))
        self.assertEqual(fields["password"], REDACTED)


class ConfigureTest(unittest.TestCase):
    def test_events_are_written_from_the_configured_level_on(self):
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.handlers.__setitem__, slice(None), handlers)
        stream = io.StringIO()
        configure_logging(LogSettings(level="warning"), Role.ENTRY, HostId("h"), stream)
        logging.getLogger("hickorywind.x").info("quiet")
        logging.getLogger("hickorywind.x").warning("loud", extra={"code": 7})
        self.assertEqual(len(stream.getvalue().splitlines()), 1)
        self.assertIn("event=loud level=warning", stream.getvalue())
