"""Parallel run of test classes in several processes.

Each process reserves its own ports (``tests.ports``, ``standins.ports``) to avoid conflicts.
"""

import io
import multiprocessing
import unittest
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, field

from tests.results import TimingResult

# Folders with the slowest test classes, which start first to shorten the whole run.
_LONGEST_FOLDERS = ("tests.system", "tests.controller", "tests.host", "tests.membership")


@dataclass
class RunResults:
    """Results of a run: ids of passed tests, failure texts by test id, and (seconds, id) pairs."""

    passed: list[str] = field(default_factory=list)
    failures: dict[str, str] = field(default_factory=dict)
    durations: list[tuple[float, str]] = field(default_factory=list)

    @classmethod
    def from_result(cls, result: TimingResult) -> "RunResults":
        """Convert the result of a unittest run."""
        failures = {test.id(): text for test, text in result.failures + result.errors}
        for test in result.unexpectedSuccesses:
            failures[test.id()] = "expected to fail, but passed"
        return cls(result.passed, failures, result.durations)

    def add(self, other: "RunResults") -> None:
        """Merge the results of another run."""
        self.passed += other.passed
        self.failures |= other.failures
        self.durations += other.durations


def list_classes(suite: unittest.TestSuite) -> list[str]:
    """Return the names of the test classes in a suite, those of slow folders first."""
    names = dict.fromkeys(_class_name(test) for test in _flatten(suite))
    return sorted(names, key=_folder_rank)


def run_in_parallel(names: list[str], job_count: int) -> RunResults:
    """Run test classes in several processes; print a line as each class ends."""
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
        return RunResults(failures={name: f"the test process ended: {error}"})


def run_unit(name: str) -> RunResults:
    """Run one test class, or the load error reported under its name, in this process."""
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
        # unittest represents a module that cannot be imported by one failed test with its name.
        return test.id().removeprefix("unittest.loader._FailedTest.")
    return f"{type(test).__module__}.{type(test).__qualname__}"


def _folder_rank(name: str) -> int:
    for rank, folder in enumerate(_LONGEST_FOLDERS):
        if name.startswith(folder + "."):
            return rank
    return len(_LONGEST_FOLDERS)
