import asyncio
import unittest
from contextlib import AsyncExitStack, asynccontextmanager

from hickorywind.ids import AccessMode, Address, AvailabilityZone, BackendId, HostId, Incarnation
from hickorywind.protocol.records import MemberRecord, MemberState
from tests.pool.harness import EntryStub, PoolUnderTest, eventually, running_pool

NEW_HOME = MemberRecord(
    HostId("pool-2"),
    AvailabilityZone("z"),
    Incarnation(1),
    MemberState.ALIVE,
    Address("127.0.0.1", 1),
    pool=Address("127.0.0.1", 1),
)
RELEASE_LIMIT_SECONDS = 6.0


def count_control_sessions(server):
    return sum(1 for session in server.instance.sessions.values() if session.is_control)


AT_REPLICA = {"backend": BackendId("b1"), "mode": AccessMode.READ, "max_staleness_ms": 0}


@asynccontextmanager
async def replica_reading_pool():
    """Yield the pool of a group while a second pool serves bounded-staleness reads at a replica.

    For these reads the second pool also keeps control connections to the primary.
    """
    async with running_pool(count=3) as (pool, entry), AsyncExitStack() as stack:
        await entry.run("CREATE TABLE t (id int primary key, v text)")
        reader = PoolUnderTest(pool.group, pool.directory)
        await reader.start()
        stack.push_async_callback(reader.close)
        reading_entry = EntryStub(reader.address)
        await reading_entry.start()
        stack.push_async_callback(reading_entry.close)
        read = await reading_entry.run("SELECT count(*) FROM t", **AT_REPLICA)
        if not read.result.is_ok:
            raise AssertionError(read.result)
        yield pool


class HandoverTest(unittest.IsolatedAsyncioTestCase):
    async def test_former_home_closes_its_control_connections_to_the_primary(self) -> None:
        """A backend server accepts few control connections, and a change of primary needs them."""
        async with replica_reading_pool() as pool:
            self.assertGreater(count_control_sessions(pool.group.servers[0]), 0)
            pool.directory.merge((NEW_HOME,))
            async with asyncio.timeout(RELEASE_LIMIT_SECONDS):
                await eventually(lambda: not any(map(count_control_sessions, pool.group.servers)))

    async def test_home_keeps_its_control_connections_to_the_primary_between_reads(self) -> None:
        async with replica_reading_pool() as pool:
            count = count_control_sessions(pool.group.servers[0])
            await asyncio.sleep(RELEASE_LIMIT_SECONDS / 2)
            self.assertEqual(count_control_sessions(pool.group.servers[0]), count)
