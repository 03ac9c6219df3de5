import asyncio
import socket
import unittest.mock
from datetime import timedelta

from pygwire.messages import Parse, Query

from hickorywind.protocol.messages import EndTransaction, TransactionState
from tests.entry.fakepool import FakePool, command_complete, ready_for_query
from tests.entry.test_server import STARTUP, WRITE, RawTestCase

SHUTTING_DOWN = b"M[5002]"
NOT_RUN = b"code=5002 outcome=not_run retry=yes"


async def never_answer(pool, peer, execute):
    pass


class DrainTimeoutTest(RawTestCase):
    """What callers are told that are still busy at the end of the drain timeout."""

    async def open_session(self, *data: bytes):
        reader, writer = await self.open_raw(STARTUP)
        await reader.readuntil(ready_for_query(TransactionState.IDLE))
        for piece in data:
            writer.write(piece)
        return reader, writer

    async def begin(self):
        reader, writer = await self.open_session(Query("BEGIN").to_wire())
        await reader.readuntil(ready_for_query(TransactionState.ACTIVE))
        return reader, writer

    async def drain(self) -> None:
        await self.components.server.drain(timedelta(milliseconds=300))

    async def test_commit_that_crosses_the_end_of_its_transaction_is_not_run(self):
        reader, writer = await self.begin()
        draining = asyncio.create_task(self.drain())
        error = await reader.readuntil(SHUTTING_DOWN)
        writer.write(Query("COMMIT").to_wire())
        error += await self.read_all(reader)
        self.assertIn(NOT_RUN, error)
        await draining
        self.assertEqual(len(self.primary_pool.executed), 1)
        await self.wait_for(lambda: self.primary_pool.messages_of(EndTransaction))

    async def test_connection_that_cannot_be_accepted_does_not_end_the_drain(self):
        reader, _ = await self.open_session()
        errors = [ConnectionAbortedError(), BlockingIOError()]
        with unittest.mock.patch.object(socket.socket, "accept", side_effect=errors):
            draining = asyncio.create_task(self.drain())
            await asyncio.sleep(0.1)
        await draining
        self.assertIn(NOT_RUN, await self.read_all(reader))

    async def test_half_a_batch_is_refused(self):
        reader, _ = await self.open_session(Parse("", "SELECT 1").to_wire())
        await asyncio.sleep(0.05)
        await self.drain()
        self.assertIn(NOT_RUN, await self.read_all(reader))

    async def end_running_write(self) -> bytes:
        reader, _ = await self.open_session(Query(WRITE).to_wire())
        await self.wait_for(lambda: self.primary_pool.executed)
        await self.drain()
        return await self.read_all(reader)

    async def test_request_without_an_answer_is_unknown(self):
        self.primary_pool.handler = never_answer
        answer = await self.end_running_write()
        self.assertIn(b"code=2008 outcome=unknown", answer)
        self.assertIn(SHUTTING_DOWN, answer)

    async def test_request_that_its_pool_has_not_started_is_not_run(self):
        self.primary_pool.handler = never_answer
        self.primary_pool.cancel_handler = FakePool.confirm_cancel
        self.assertIn(NOT_RUN, await self.end_running_write())

    async def test_commit_that_succeeds_after_its_cancel_is_reported_as_committed(self):
        reader, writer = await self.begin()
        held = []

        async def hold(pool, peer, execute):
            held.append((peer, execute))

        async def answer_held(pool, peer, cancel):
            await pool.answer_normally(*held[0])

        self.primary_pool.handler = hold
        self.primary_pool.cancel_handler = answer_held
        writer.write(Query("COMMIT").to_wire())
        await self.wait_for(lambda: held)
        await self.drain()
        answer = await self.read_all(reader)
        self.assertTrue(answer.startswith(command_complete("COMMIT")))
        self.assertIn(NOT_RUN, answer)


class StartupDuringDrainTest(RawTestCase):
    users = {"crew": "brush"}

    async def test_connections_that_have_not_logged_in_are_told(self):
        silent, _ = await self.open_raw()
        without_password, _ = await self.open_raw(STARTUP)
        await asyncio.sleep(0.05)
        async with asyncio.timeout(4):
            await self.components.server.drain(timedelta(seconds=10))
        for reader in (silent, without_password):
            self.assertIn(NOT_RUN, await self.read_all(reader))
