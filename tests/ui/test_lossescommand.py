import json
import tempfile
import unittest

from tests.report.test_losses import failure
from tests.ui.commandrunner import run_tool


class LossesCommandTest(unittest.TestCase):
    def setUp(self):
        file = tempfile.NamedTemporaryFile("w", suffix=".log")
        self.addCleanup(file.close)
        file.write("\n".join([failure(1), failure(2), "garbage"]))
        file.flush()
        self.path = file.name

    def test_table_names_each_group_and_what_was_not_read(self):
        result = run_tool("losses", "--by", "second", self.path)
        self.assertEqual(result.code, 0)
        lines = result.out.strip().splitlines()
        self.assertEqual(lines[0].split(), ["second", "requests", "mean", "wait", "ms"])
        self.assertEqual(lines[1].split(), ["10:00:01", "1", "20"])
        self.assertIn("1 could not be read", lines[-1])

    def test_json_has_the_rows(self):
        result = run_tool("losses", "--output", "json", self.path)
        self.assertEqual(json.loads(result.out)["rows"][0]["requests"], 2)

    def test_missing_file_is_one_line(self):
        result = run_tool("losses", "/nonexistent.log")
        self.assertNotEqual(result.code, 0)
        self.assertIn("/nonexistent.log", result.err)
