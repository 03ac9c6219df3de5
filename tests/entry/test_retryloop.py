import random
import unittest
from dataclasses import dataclass, field

from hickorywind.configuration.model import Service
from hickorywind.entry.attempt import CancelSignal
from hickorywind.entry.request import FinishedRequest, Request
from hickorywind.entry.retryloop import RetryLoop
from hickorywind.ids import AccessMode, Address, BackendId, HostId, Rank, ServiceName, SessionId
from hickorywind.postgres.answers import AnswerRewriter
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.routing.retry import RetryBudget, RetryPolicy
from hickorywind.routing.session import NoFloor
from hickorywind.routing.targets import Distance, Target
from hickorywind.util.clock import ManualClock, milliseconds

POOL = Address("127.0.0.1", 1)
TARGETS = tuple(
    Target(BackendId(name), HostId("h"), POOL, Distance.SAME_ZONE) for name in ("r1", "r2")
)
STALE = Result.not_run(ResultCode.TOO_STALE, "old")
OK = Result.ok()


async def write(data: bytes) -> None:
    raise AssertionError("nothing is written here")


@dataclass
class ScriptedAttemptRunner:
    """AttemptRunner that returns scripted results; each attempt advances the clock by 10 ms."""

    clock: ManualClock
    deadline: object
    script: list[Result]
    attempts: list[tuple[str, int | None]] = field(default_factory=list)
    retries: int = 0

    def choose_targets(self, request):
        return TARGETS

    def has_deadline_passed(self, request):
        return self.clock.now() >= self.deadline

    def count_retry(self, request):
        self.retries += 1

    async def run_attempt(self, request, target, max_staleness_ms):
        self.clock.advance(milliseconds(10))
        self.attempts.append((target.backend, max_staleness_ms))
        result = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        return FinishedRequest(result)


class RetryLoopTest(unittest.IsolatedAsyncioTestCase):
    async def run_script(self, script, repeatable=True, timeout_ms=1000, fallback_ms=None):
        clock = ManualClock()
        deadline = clock.now() + milliseconds(timeout_ms)
        request = Request(
            Service(ServiceName("s"), (), ()),
            SessionId("x"),
            Rank.STANDARD,
            AccessMode.READ,
            b"",
            (),
            NoFloor(),
            deadline,
            repeatable,
            500,
            fallback_ms,
            None,
            lambda: AnswerRewriter(()),
            write,
            CancelSignal(),
        )
        runner = ScriptedAttemptRunner(clock, deadline, list(script))
        policy = RetryPolicy(clock, random.Random(1), RetryBudget(10), deadline, repeatable)
        finished = await RetryLoop(runner, request, policy).run()
        return finished, runner

    async def test_every_target_is_tried_before_the_staleness_limit_is_relaxed(self):
        finished, runner = await self.run_script([STALE, STALE, OK], fallback_ms=5000)
        self.assertTrue(finished.result.is_ok)
        self.assertEqual(runner.attempts, [("r1", 500), ("r2", 500), ("r1", 5000)])

    async def test_without_a_fallback_the_staleness_limit_is_never_relaxed(self):
        finished, runner = await self.run_script([STALE], timeout_ms=100)
        self.assertEqual({age for _, age in runner.attempts}, {500})
        self.assertIs(finished.result.outcome, Outcome.NOT_RUN)
        self.assertGreater(len(runner.attempts), 2)

    async def test_no_attempt_starts_after_the_deadline(self):
        _, runner = await self.run_script([STALE], timeout_ms=45)
        self.assertLessEqual(len(runner.attempts), 5)

    async def test_unknown_outcome_of_any_attempt_is_kept(self):
        lost = Result.unknown(ResultCode.POOL_LOST, "")
        full = Result.not_run(ResultCode.QUEUE_FULL, "", 5)
        for script in ([lost, full], [lost, STALE, full], [STALE, lost, full]):
            finished, _ = await self.run_script(script)
            self.assertIs(finished.result.outcome, Outcome.UNKNOWN)
            self.assertFalse(finished.result.retry_allowed)

    async def test_non_repeatable_request_that_may_have_run_is_not_retried(self):
        lost = Result.unknown(ResultCode.POOL_LOST, "")
        finished, runner = await self.run_script([lost, OK], repeatable=False)
        self.assertEqual(len(runner.attempts), 1)
        self.assertEqual(finished.result, lost)
