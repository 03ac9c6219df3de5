import re
import unittest
from pathlib import Path

from hickorywind.results import Outcome, Result, ResultCode, sqlstate_for

ROOT = Path(__file__).parents[1]
DOCUMENT = ROOT / "docs" / "result-codes.md"
_TABLE_ROW = re.compile(
    r"^\| (\d+) \| `(\w+)` \| ([^|]+) \| ([^|]+) \| (\w+) \| (\w{5}) \|$", re.MULTILINE
)
_FACTORY_CALL = re.compile(r"Result\.(not_run|unknown)\(\s*ResultCode\.([A-Z_]+)")
_CONSTRUCTOR_CALL = re.compile(r"\bResult\(\s*ResultCode\.([A-Z_]+),\s*Outcome\.([A-Z_]+)")
_RETRIES = {"yes", "elsewhere", "checked", "no"}


def table_rows():
    """Return the rows of the table: number, name, meaning, outcomes, retry, SQLSTATE."""
    return _TABLE_ROW.findall(DOCUMENT.read_text())


def outcomes_in_source():
    """Return the pairs of code and outcome that the source builds results from."""
    pairs = set()
    for path in (ROOT / "hickorywind").rglob("*.py"):
        text = path.read_text()
        pairs |= {(name, outcome) for outcome, name in _FACTORY_CALL.findall(text)}
        pairs |= {
            (name, Outcome[outcome].value) for name, outcome in _CONSTRUCTOR_CALL.findall(text)
        }
    return pairs


class TableTest(unittest.TestCase):
    def test_every_code_with_its_sqlstate_in_order(self):
        documented = [(int(number), name, state) for number, name, *_, state in table_rows()]
        defined = [(int(code), code.name, sqlstate_for(code)) for code in ResultCode]
        self.assertEqual(documented, defined)

    def test_outcomes_and_retry_columns_hold_known_values(self):
        known = {outcome.value for outcome in Outcome}
        for _, name, _, outcomes, retry, _ in table_rows():
            with self.subTest(name):
                self.assertLessEqual(set(outcomes.split(", ")), known)
                self.assertIn(retry, _RETRIES)

    def test_documented_outcomes_cover_those_of_the_source(self):
        documented = {
            (name, outcome)
            for _, name, _, outcomes, _, _ in table_rows()
            for outcome in outcomes.split(", ")
        }
        found = outcomes_in_source()
        self.assertIn(("QUEUE_FULL", "not_run"), found)
        self.assertEqual(found - documented, set())

    def test_requests_that_may_have_run_are_never_documented_as_safe_to_retry(self):
        for _, name, _, outcomes, retry, _ in table_rows():
            # A request to a controller runs no caller's statement, so it is safe to repeat.
            if "unknown" in outcomes and name != "CONTROLLER_UNREACHABLE":
                with self.subTest(name):
                    self.assertIn(retry, {"checked", "no"})


class ResultTest(unittest.TestCase):
    def test_not_run_allows_a_retry_only_with_a_delay(self):
        self.assertTrue(Result.not_run(ResultCode.QUEUE_FULL, "full", 0).retry_allowed)
        self.assertFalse(Result.not_run(ResultCode.BAD_HINT, "bad").retry_allowed)

    def test_unknown_never_allows_a_retry(self):
        self.assertFalse(Result.unknown(ResultCode.POOL_LOST, "lost").retry_allowed)

    def test_only_two_results_are_ok(self):
        ok = [code for code in ResultCode if Result(code, Outcome.RAN, "").is_ok]
        self.assertEqual(ok, [ResultCode.OK, ResultCode.ALREADY_RAN])
