import tempfile
import unittest

from tests.report.test_explanation import LINES
from tests.ui.commandrunner import run_tool


class ExplainTest(unittest.TestCase):
    def explain(self, request_id, *texts):
        files = []
        for text in texts:
            file = tempfile.NamedTemporaryFile("w", suffix=".log")
            self.addCleanup(file.close)
            file.write(text)
            file.flush()
            files.append(file.name)
        result = run_tool("explain", request_id, *files)
        return result.code, result.out, result.err

    def test_story_across_files(self):
        code, out, _ = self.explain("q7", "\n".join(LINES[:3]), "\n".join(LINES[3:]))
        self.assertEqual(code, 0)
        self.assertTrue(out.strip().splitlines()[-1].startswith("cause: [4001]"), out)

    def test_wrong_id_is_one_line(self):
        code, _, err = self.explain("zz", "\n".join(LINES))
        self.assertNotEqual(code, 0)
        self.assertEqual(len(err.strip().splitlines()), 1)
        self.assertIn("no line names request zz", err)

    def test_missing_file(self):
        result = run_tool("explain", "q", "/nonexistent.log")
        self.assertNotEqual(result.code, 0)
        self.assertIn("/nonexistent.log", result.err)
