"""The table of log events in docs/logs.md lists exactly the events logged in the source."""

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
    """Return the names of all log events in the source of hickorywind."""
    events = set()
    for path in (ROOT / "hickorywind").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if is_logger_call(node):
                texts = [arg.value for arg in node.args if isinstance(arg, ast.Constant)]
                events |= {text for text in texts if isinstance(text, str)}
    return events


class LogTableTest(unittest.TestCase):
    def test_table_lists_exactly_the_events_in_the_source(self):
        table = DOCUMENT.read_text().split("## Events\n", 1)[1]
        documented = set(re.findall(r"^\| `(\w+)` \|", table, re.MULTILINE))
        found = events_in_source()
        self.assertIn("config_in_force", found)
        self.assertEqual(documented, found)

    def test_event_names_are_lower_case_identifiers(self):
        for event in events_in_source():
            with self.subTest(event):
                self.assertRegex(event, r"^[a-z][a-z0-9_]*$")
