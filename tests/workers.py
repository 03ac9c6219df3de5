"""Run test classes side by side in several processes and merge what they find.

A process claims ports of its own (``tests.ports``, ``standins.ports``), so that sites don't meet.
"""

import io
import multiprocessing
import unittest
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, field

from tests.results import TimingResult

# The folders whose classes take longest come first, so that no long one is left for the end.
_LONGEST_FOLDERS = ("tests.system", "tests.controller", "tests.host", "tests.membership")


@dataclass
class RunResults:
    """Hold what a run found: ids that passed, texts of failures by id, and seconds by id."""

    passed: list[str] = field(default_factory=list)
    failures: dict[str, str] = field(default_factory=dict)
    durations: list[tuple[float, str]] = field(default_factory=list)

    @classmethod
    def from_result(cls, result: TimingResult) -> "RunResults":
        """Take over what unittest noted."""
        failures = {test.id(): text for test, text in result.failures + result.errors}
        for test in result.unexpectedSuccesses:
            failures[test.id()] = "expected to fail, but passed"
        return cls(result.passed, failures, result.durations)

    def add(self, other: "RunResults") -> None:
        """Merge the findings of another unit."""
        self.passed += other.passed
        self.failures |= other.failures
        self.durations += other.durations


def list_classes(suite: unittest.TestSuite) -> list[str]:
    """Return the names of the test classes of a suite, the slow folders first."""
    names = dict.fromkeys(_class_name(test) for test in _flatten(suite))
    return sorted(names, key=_folder_rank)


def run_in_parallel(names: list[str], job_count: int) -> RunResults:
    """Run test classes in several processes; print a line for each that is done."""
    results = RunResults()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(job_count, mp_context=context) as pool:
        units = {pool.submit(run_unit, name): name for name in names}
        for unit in as_completed(units):
            unit_results = _collect(units[unit], unit)
            results.add(unit_results)
            verdict = f"{len(unit_results.failures)} FAILED" if unit_results.failures else "ok"
            print(f"{units[unit]}: {len(unit_results.passed)} passed, {verdict}", flush=True)
    for name, text in sorted(results.failures.items()):
        print(f"{'=' * 70}\n{name}\n{'-' * 70}\n{text}")
    return results


def _collect(name: str, unit: Future[RunResults]) -> RunResults:
    try:
        return unit.result()
    except BrokenProcessPool as error:
        return RunResults(failures={name: f"its process ended: {error}"})


def run_unit(name: str) -> RunResults:
    """Run one test class, or what could not be loaded under its name, in this process."""
    suite = unittest.TestLoader().loadTestsFromName(name)
    runner = unittest.TextTestRunner(resultclass=TimingResult, stream=io.StringIO())
    return RunResults.from_result(runner.run(suite))


def _flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _flatten(test)
        else:
            yield test


def _class_name(test: unittest.TestCase) -> str:
    if type(test).__module__ == "unittest.loader":
        # A module that can't be imported stands as one failed test that bears its name.
        return test.id().removeprefix("unittest.loader._FailedTest.")
    return f"{type(test).__module__}.{type(test).__qualname__}"


def _folder_rank(name: str) -> int:
    for rank, folder in enumerate(_LONGEST_FOLDERS):
        if name.startswith(folder + "."):
            return rank
    return len(_LONGEST_FOLDERS)
