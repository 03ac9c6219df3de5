import tempfile
import unittest
from pathlib import Path

from hickorywind.ids import Role
from hickorywind.results import ResultCode, UserError
from hickorywind.settings.load import load_settings

BASE = """\
host: adum-1
availability_zone: adum
region: ashanti
role: entry
controllers: [127.0.0.1:7000]
"""
ENTRY = "entry: {listen: '127.0.0.1:6432'}\n"


class LoadTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "settings.yaml"

    def load(self, text):
        self.path.write_text(text)
        return load_settings(self.path)

    def assert_rejected(self, text, *parts):
        with self.assertRaises(UserError) as caught:
            self.load(text)
        message = str(caught.exception)
        self.assertEqual(caught.exception.code, ResultCode.SETTINGS_INVALID)
        self.assertNotIn("\n", message)
        for part in (str(self.path), *parts):
            self.assertIn(part, message)

    def test_whole_file(self):
        settings = self.load(BASE + ENTRY + "log: {format: json, level: debug}\n")
        self.assertEqual(settings.role, Role.ENTRY)
        self.assertEqual(settings.entry.listen, "127.0.0.1:6432")
        self.assertEqual(settings.entry.drain_timeout_ms, 10_000)

    def test_wrong_keys_types_and_units(self):
        cases = {
            "unknown key": (BASE + ENTRY + "colour: red\n", ("colour", "not a known key")),
            "unknown inner key": (BASE + "entry: {listen: '127.0.0.1:1', x: 1}\n", ("entry.x",)),
            "missing key": ("host: a\n", ("availability_zone", "required")),
            "wrong type": (
                BASE + "entry: {listen: '127.0.0.1:1', drain_timeout_ms: soon}\n",
                ("entry.drain_timeout_ms", "int", "milliseconds"),
            ),
            "not positive": (
                BASE + "entry: {listen: '127.0.0.1:1', drain_timeout_ms: 0}\n",
                ("entry.drain_timeout_ms", "milliseconds"),
            ),
            "unknown role": (BASE.replace("role: entry", "role: king"), ("role",)),
            "no section of the role": (BASE, ("entry", "required for role entry")),
            "twice": (BASE + ENTRY + ENTRY, ("line 7", "'entry' appears twice")),
            "not YAML": ("a: [", ("line",)),
            "not a map": ("- 1\n", ("object",)),
            "level": (BASE + ENTRY + "log: {level: loud}\n", ("log.level", "info")),
        }
        for name, (text, parts) in cases.items():
            with self.subTest(name):
                self.assert_rejected(text, *parts)

    def test_addresses(self):
        for address in ("localhost:1", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "::1:5"):
            with self.subTest(address):
                self.assert_rejected(BASE + f"entry: {{listen: '{address}'}}\n", "entry.listen")
        self.assert_rejected(
            BASE + ENTRY + "pool: {listen: '0.0.0.0:7100'}\n", "pool.listen", "peers"
        )
        self.assert_rejected(
            BASE + ENTRY + "metrics_listen: 10.0.0.1:9100\n", "metrics_listen", "loopback"
        )
        self.assert_rejected(
            BASE + ENTRY + "controller: {listen: '127.0.0.1:1', seeds: [x]}\n",
            "controller.seeds[0]",
        )

    def test_files_that_cannot_be_read(self):
        with self.assertRaisesRegex(UserError, "No such file"):
            load_settings(self.path)
        self.path.write_bytes(b"\xff\xfe")
        with self.assertRaisesRegex(UserError, "UTF-8"):
            load_settings(self.path)
