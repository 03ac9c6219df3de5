import asyncio
import unittest

from standins.backend.replication import ChangeSignal, wait_with_timeout


class WaitTest(unittest.IsolatedAsyncioTestCase):
    async def test_cancellation_is_not_lost_when_it_coincides_with_the_event(self):
        for steps_between in range(5):
            signal = ChangeSignal()
            done = asyncio.Event()

            async def loop_forever(signal=signal, done=done):
                while not done.is_set():
                    await wait_with_timeout(signal.current(), 60)

            task = asyncio.create_task(loop_forever())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            signal.notify()
            for _ in range(steps_between):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait({task}, timeout=0.2)
            kept = task.cancelled()
            done.set()
            signal.notify()
            await asyncio.wait({task}, timeout=1)
            self.assertTrue(kept, f"cancel lost {steps_between} steps after the event")
