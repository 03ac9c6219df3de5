"""Compare the table of events in docs/logs.md with the calls of loggers in the source."""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCUMENT = ROOT / "docs" / "logs.md"
LEVELS = {"debug", "info", "warning", "error", "exception", "log"}


def is_logger_call(node):
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == "logger"
        and node.func.attr in LEVELS
    )


def events_in_source():
    """Return the names of all events."""
    events = set()
    for path in (ROOT / "hickorywind").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if is_logger_call(node):
                texts = [arg.value for arg in node.args if isinstance(arg, ast.Constant)]
                events |= {text for text in texts if isinstance(text, str)}
    return events


class LogTableTest(unittest.TestCase):
    def test_every_event_is_in_the_table_and_no_other(self):
        table = DOCUMENT.read_text().split("## Events\n", 1)[1]
        documented = set(re.findall(r"^\| `(\w+)` \|", table, re.MULTILINE))
        found = events_in_source()
        self.assertIn("config_in_force", found)
        self.assertEqual(documented, found)

    def test_events_are_plain_names(self):
        for event in events_in_source():
            with self.subTest(event):
                self.assertRegex(event, r"^[a-z][a-z0-9_]*$")
