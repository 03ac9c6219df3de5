import asyncio
import unittest
from unittest import mock

from hickorywind.ids import Address
from hickorywind.pool.backendconnection import ConnectionFailedError, Login
from hickorywind.pool.connections import Connections, connection_share
from hickorywind.util.clock import ManualClock, milliseconds

LOGIN = Login(Address("127.0.0.1", 1), "u", "d")


class FakeConnection:
    def __init__(self) -> None:
        self.is_reusable = True
        self.is_lost = False
        self.closed = False

    def abort(self) -> None:
        self.closed = True

    def terminate(self) -> None:
        self.closed = True


class ConnectionsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.connections = Connections(LOGIN, 6, self.clock)
        self.opening = self.most_opening = self.opened = 0
        self.fails = False
        patch = mock.patch("hickorywind.pool.connections.BackendConnection.open", self.open)
        patch.start()
        self.addCleanup(patch.stop)

    async def open(self, login):
        self.opening += 1
        self.most_opening = max(self.most_opening, self.opening)
        await asyncio.sleep(0.005)
        self.opening -= 1
        self.opened += 1
        if self.fails:
            raise ConnectionFailedError("no")
        return FakeConnection()

    async def test_storm_opens_few_at_once_and_never_more_than_the_share(self) -> None:
        async def use() -> None:
            connection = await self.connections.acquire()
            self.assertLessEqual(self.connections.count, 6)
            await asyncio.sleep(0.005)
            self.connections.release(connection)

        await asyncio.gather(*(use() for _ in range(60)))
        self.assertLessEqual(self.most_opening, 4)
        self.assertLessEqual(self.opened, 6)

    async def test_connection_in_doubt_is_closed_and_not_lent_again(self) -> None:
        connection = await self.connections.acquire()
        connection.is_reusable = False
        self.connections.release(connection)
        self.assertTrue(connection.closed)
        self.assertIsNot(await self.connections.acquire(), connection)

    async def test_connection_closed_by_the_other_side_is_not_lent(self) -> None:
        connection = await self.connections.acquire()
        self.connections.release(connection)
        connection.is_lost = True
        self.assertIsNot(await self.connections.acquire(), connection)

    async def test_failed_open_leaves_its_place_to_those_who_wait(self) -> None:
        self.fails = True
        results = await asyncio.gather(
            *(self.connections.acquire() for _ in range(20)), return_exceptions=True
        )
        self.assertTrue(all(isinstance(result, ConnectionFailedError) for result in results))
        self.assertEqual(self.connections.count, 0)

    async def test_idle_connections_are_closed_after_a_while(self) -> None:
        connection = await self.connections.acquire()
        self.connections.release(connection)
        self.clock.advance(milliseconds(59_000))
        self.connections.close_idle()
        self.assertFalse(connection.closed)
        self.clock.advance(milliseconds(1_000))
        self.connections.close_idle()
        self.assertTrue(connection.closed)

    def test_two_homes_fit_side_by_side(self) -> None:
        for limit in range(4, 200):
            self.assertLess(2 * connection_share(limit), limit)
