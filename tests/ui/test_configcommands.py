import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hickorywind.configuration.printing import parse_document
from tests.ui.commandrunner import run_tool

EXAMPLES = Path(__file__).parents[2] / "examples"
NAMES = ("stepclean", "association")


class CleanEnvironmentCase(unittest.TestCase):
    def setUp(self):
        kept = {key: value for key, value in os.environ.items() if "HICKORYWIND" not in key}
        patcher = mock.patch.dict("os.environ", kept, clear=True)
        patcher.start()
        self.addCleanup(patcher.stop)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def write(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return path


class ExamplesTest(CleanEnvironmentCase):
    def test_printed_documents_equal_the_example_files(self):
        for name in NAMES:
            with self.subTest(name):
                result = run_tool("config", "print", EXAMPLES / f"{name}.py")
                self.assertEqual(result.err, "")
                self.assertEqual(result.out, (EXAMPLES / f"{name}.yaml").read_text())
                self.assertEqual(run_tool("config", "check", EXAMPLES / f"{name}.yaml").code, 0)

    def test_base_port(self):
        os.environ["HICKORYWIND_EXAMPLE_BASE_PORT"] = "31000"
        result = run_tool("config", "print", EXAMPLES / "stepclean.py")
        addresses = {
            instance.backend: instance.address
            for service in parse_document(result.out).services
            for instance in service.instances
        }
        self.assertEqual(len(addresses), 9)
        self.assertEqual(addresses["sign-offs-adum"], "127.0.0.1:31000")
        self.assertEqual(addresses["service-history-tema"], "127.0.0.1:31022")


class PrintTest(CleanEnvironmentCase):
    def test_script_errors_are_one_line_with_the_line_number(self):
        cases = {
            "x = 1\nraise ValueError('two\\nlines')\n": "line 2: ValueError: two lines",
            "x = 1\n\nx x\n": "line 3",
            "import sys\nsys.exit(3)\n": "line 2: SystemExit",
            "x = 1\n": "'configuration'",
            "from hickorywind.configuration.builder import ConfigurationBuilder\n"
            "configuration = ConfigurationBuilder('X').build()\n": "zones",
        }
        for text, part in cases.items():
            with self.subTest(part):
                result = run_tool("config", "print", self.write("script.py", text))
                self.assertEqual((result.code, result.out), (1, ""))
                self.assertEqual(len(result.err.splitlines()), 1)
                self.assertIn(part, result.err)
                self.assertIn("7001", result.err)

    def test_script_may_print_and_import_modules_of_its_folder(self):
        self.write("neighbour.py", f"PATH = {str(EXAMPLES / 'stepclean.py')!r}\n")
        text = (
            "import runpy\nfrom neighbour import PATH\nprint('busy')\n"
            "configuration = runpy.run_path(PATH)['configuration']\n"
        )
        result = run_tool("config", "print", self.write("script.py", text))
        self.assertEqual((result.code, result.err), (0, "busy\n"))
        self.assertEqual(result.out, (EXAMPLES / "stepclean.yaml").read_text())


class CheckTest(CleanEnvironmentCase):
    def test_every_problem_with_its_result_code(self):
        text = (EXAMPLES / "stepclean.yaml").read_text()
        path = self.write("bad.yaml", text.replace("slots: 3", "slots: 0").replace("99.9", "100"))
        result = run_tool("config", "check", path)
        self.assertEqual(result.code, 1)
        self.assertEqual(len(result.out.splitlines()), 10)
        self.assertTrue(all(line.startswith("7001 services[") for line in result.out.splitlines()))
        result = run_tool("config", "check", path, "--output", "json")
        self.assertEqual(len(json.loads(result.out)), 10)

    def test_malformed_document_names_file_and_key(self):
        path = self.write("bad.yaml", "name: X\nzones: 3\nservices: []\n")
        result = run_tool("config", "check", path)
        self.assertEqual((result.code, result.out), (1, ""))
        self.assertIn(f"7001 {path}: zones: Expected array, got int", result.err)


class DiffTest(CleanEnvironmentCase):
    def test_against_a_file(self):
        document = EXAMPLES / "stepclean.yaml"
        result = run_tool("config", "diff", document, "--against", document)
        self.assertEqual((result.code, result.out), (0, f"against {document}\nno changes\n"))
        path = self.write("new.yaml", document.read_text().replace("99.9", "99.8"))
        result = run_tool("config", "diff", path, "--against", document, "--output", "json")
        (change,) = json.loads(result.out)["changes"]
        self.assertEqual(change["path"], "services[sign-offs].objectives[urgent].target_percent")
        self.assertEqual((change["before"], change["after"]), ("99.9", "99.8"))
