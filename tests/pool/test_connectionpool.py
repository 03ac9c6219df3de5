import asyncio
import unittest
from unittest import mock

from hickorywind.ids import Address
from hickorywind.pool.backendconnection import ConnectionFailedError, Login
from hickorywind.pool.connectionpool import ConnectionPool, connection_share
from hickorywind.util.clock import ManualClock, milliseconds

LOGIN = Login(Address("127.0.0.1", 1), "u", "d")


class FakeConnection:
    def __init__(self) -> None:
        self.is_reusable = True
        self.is_disconnected = False
        self.closed = False

    def abort(self) -> None:
        self.closed = True

    def terminate(self) -> None:
        self.closed = True


class ConnectionPoolTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.connections = ConnectionPool(LOGIN, 6, self.clock)
        self.opening_count = self.max_opening_count = self.opened_count = 0
        self.fails = False
        patch = mock.patch("hickorywind.pool.connectionpool.BackendConnection.open", self.open)
        patch.start()
        self.addCleanup(patch.stop)

    async def open(self, login):
        self.opening_count += 1
        self.max_opening_count = max(self.max_opening_count, self.opening_count)
        await asyncio.sleep(0.005)
        self.opening_count -= 1
        self.opened_count += 1
        if self.fails:
            raise ConnectionFailedError("no")
        return FakeConnection()

    async def test_burst_opens_few_connections_at_once_and_never_more_than_the_limit(self) -> None:
        async def use() -> None:
            connection = await self.connections.acquire()
            self.assertLessEqual(self.connections.open_count, 6)
            await asyncio.sleep(0.005)
            self.connections.release(connection)

        await asyncio.gather(*(use() for _ in range(60)))
        self.assertLessEqual(self.max_opening_count, 4)
        self.assertLessEqual(self.opened_count, 6)

    async def test_connection_that_is_not_reusable_is_closed_on_release(self) -> None:
        connection = await self.connections.acquire()
        connection.is_reusable = False
        self.connections.release(connection)
        self.assertTrue(connection.closed)
        self.assertIsNot(await self.connections.acquire(), connection)

    async def test_connection_closed_by_the_backend_server_is_not_reused(self) -> None:
        connection = await self.connections.acquire()
        self.connections.release(connection)
        connection.is_disconnected = True
        self.assertIsNot(await self.connections.acquire(), connection)

    async def test_failed_open_frees_its_slot_for_waiting_requests(self) -> None:
        self.fails = True
        results = await asyncio.gather(
            *(self.connections.acquire() for _ in range(20)), return_exceptions=True
        )
        self.assertTrue(all(isinstance(result, ConnectionFailedError) for result in results))
        self.assertEqual(self.connections.open_count, 0)

    async def test_idle_connections_are_closed_after_the_idle_timeout(self) -> None:
        connection = await self.connections.acquire()
        self.connections.release(connection)
        self.clock.advance(milliseconds(59_000))
        self.connections.close_idle()
        self.assertFalse(connection.closed)
        self.clock.advance(milliseconds(1_000))
        self.connections.close_idle()
        self.assertTrue(connection.closed)

    def test_shares_of_two_homes_stay_below_the_limit(self) -> None:
        for limit in range(4, 200):
            self.assertLess(2 * connection_share(limit), limit)
