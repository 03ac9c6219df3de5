"""Calls that several tasks share."""

import asyncio
import unittest

from hickorywind.util.tasks import JoinedCall


class JoinedCallTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.begun = 0
        self.answers = asyncio.Queue()
        self.call = JoinedCall(self.answer)

    async def answer(self):
        self.begun += 1
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def start(self, count):
        tasks = [asyncio.create_task(self.call.run()) for _ in range(count)]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return tasks

    async def test_those_that_ask_at_once_share_a_call(self):
        tasks = await self.start(20)
        self.answers.put_nowait("first")
        self.assertEqual(set(await asyncio.gather(*tasks)), {"first"})
        self.assertEqual(self.begun, 1)

    async def test_answer_to_a_call_that_had_begun_is_not_given_to_those_that_ask_later(self):
        (early,) = await self.start(1)
        late = await self.start(20)
        self.answers.put_nowait("old")
        self.assertEqual(await early, "old")
        self.answers.put_nowait("new")
        self.assertEqual(set(await asyncio.gather(*late)), {"new"})
        self.assertEqual(self.begun, 2)

    async def test_error_reaches_all_that_wait_and_not_the_next_call(self):
        failing = await self.start(3)
        self.answers.put_nowait(OSError("no answer"))
        errors = await asyncio.gather(*failing, return_exceptions=True)
        self.assertEqual([type(error) for error in errors], [OSError] * 3)
        self.answers.put_nowait("answer")
        self.assertEqual(await self.call.run(), "answer")

    async def test_task_that_is_cancelled_does_not_end_the_call_of_others(self):
        first, second = await self.start(2)
        first.cancel()
        self.answers.put_nowait("answer")
        self.assertEqual(await second, "answer")
