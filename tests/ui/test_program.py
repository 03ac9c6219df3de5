import argparse
import unittest
from unittest import mock

from hickorywind.ui.program import build_parser
from tests.ui.commandrunner import run_tool


def walk(parser, words=()):
    yield words, parser
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for name, inner in action.choices.items():
                yield from walk(inner, (*words, name))


class ProgramTest(unittest.TestCase):
    def test_every_command_has_help_with_an_example(self):
        commands = [words for words, _ in walk(build_parser())]
        self.assertIn(("config", "apply"), commands)
        for words in commands:
            with self.subTest(words):
                result = run_tool(*words, "--help")
                self.assertEqual(result.code, 0)
                self.assertIn("example:\n  hickorywind", result.out)

    def test_wrong_usage(self):
        for arguments in ((), ("nope",), ("config", "check"), ("status", "--controller", "x")):
            with self.subTest(arguments):
                self.assertEqual(run_tool(*arguments).code, 2)

    def test_missing_address_is_wrong_usage_in_one_line(self):
        with mock.patch.dict("os.environ", clear=True):
            for arguments in (("status",), ("config", "show")):
                result = run_tool(*arguments)
                self.assertEqual(result.code, 2)
                self.assertEqual(len(result.err.splitlines()), 1, result.err)

    def test_internal_error_logs_its_traceback(self):
        with mock.patch("hickorywind.ui.configcommands.find_problems", side_effect=KeyError("x")):
            with self.assertLogs("hickorywind.ui.program", "ERROR") as logged:
                result = run_tool("config", "check", "examples/stepclean.yaml")
        self.assertEqual(result.code, 70)
        self.assertIn("KeyError", logged.output[0])
