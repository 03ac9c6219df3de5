"""Reaction of the controllers of a whole site to the failure of processes and of the store."""

import asyncio
import re
import time

from hickorywind.controller.role import JOIN_TIMEOUT
from hickorywind.ids import HostId, Role
from hickorywind.membership.directory import Directory
from hickorywind.membership.prober import ACK_TIMEOUT, INDIRECT_ACK_TIMEOUT, SUSPICION_TIMEOUT
from hickorywind.protocol.channel import Link
from hickorywind.protocol.messages import StatusReply, StatusRequest
from hickorywind.protocol.records import MemberState
from standins.store.control import Faults as StoreFaults
from standins.store.control import set_faults
from tests.system.site import SiteTest

PROMOTED = re.compile(r"event=backend_promoted .* backend=(\S+) term=(\d+)")


async def request_status(address):
    """Return a controller's status, or None if it does not answer within a second."""
    link = Link(address)
    try:
        async with asyncio.timeout(1):
            while not await link.send(StatusRequest()):
                await asyncio.sleep(0.02)
            message = await link.receive()
    except TimeoutError:
        return None
    finally:
        link.close()
    return message if isinstance(message, StatusReply) else None


STATUS_ATTEMPTS = 5
SHORTEST_DETECTION = ACK_TIMEOUT + INDIRECT_ACK_TIMEOUT + SUSPICION_TIMEOUT


class ControllerSiteTest(SiteTest):
    hosts_per_zone = 1

    async def directory(self, host):
        """Return the directory of a host's controller, with retries since an answer may be late."""
        for _ in range(STATUS_ATTEMPTS):
            reply = await request_status(host.controller)
            if reply is not None:
                result = Directory()
                result.merge(reply.records)
                return result
        self.fail(f"the controller of {host.host} did not answer {STATUS_ATTEMPTS} times")

    async def wait_for(self, host, condition, limit_s):
        """Wait until a host's directory meets a condition and return the seconds it took."""
        begin = time.monotonic()
        while time.monotonic() - begin < limit_s:
            if condition(await self.directory(host)):
                return time.monotonic() - begin
            await asyncio.sleep(0.05)
        self.fail("condition not met in time")

    def controller(self, host):
        return self.cluster.process(f"controller/{host.host}")

    def promotions(self):
        """Return the backend server and term of each promotion that a controller carried out."""
        logs = [self.controller(host).log_path.read_text() for host in self.cluster.hosts]
        return sorted((name, int(term)) for log in logs for name, term in PROMOTED.findall(log))

    async def test_one_new_primary_after_a_kill_with_the_store_down(self):
        await set_faults(self.cluster.store_address, StoreFaults(outage=True))
        host = self.cluster.hosts[1]
        name = self.service.name
        before = await self.primary()
        earlier = self.promotions()
        old = before.backend
        self.backend(old).kill()
        took = await self.wait_for(
            host, lambda known: known.group(name) and known.group(name).primary != old, 10
        )
        self.assertLess(took, 5)
        after = await self.primary()
        # Not the next term: an attempt that is refused or times out uses one up.
        self.assertGreater(after.term, before.term)
        self.backend(old).start()
        await asyncio.sleep(3)
        self.assertEqual((await self.primary()).term, after.term)
        self.assertEqual(self.promotions(), sorted([*earlier, (after.backend, after.term)]))

    async def test_restarted_hosts_keep_the_configuration_while_the_store_is_down(self):
        first, second, _ = self.cluster.hosts
        revision = (await self.directory(first)).revision
        self.assertGreater(revision, 0)
        await set_faults(self.cluster.store_address, StoreFaults(outage=True))
        for host in (first, second):
            self.controller(host).kill()
            self.controller(host).start()
            await self.wait_for(host, lambda known: known.revision == revision, 10)

    async def test_all_controllers_restarted_at_once_learn_from_entries_and_pools(self):
        first = self.cluster.hosts[0]
        before = await self.directory(first)
        await set_faults(self.cluster.store_address, StoreFaults(outage=True))
        for host in self.cluster.hosts:
            self.controller(host).kill()
        for host in self.cluster.hosts:
            self.controller(host).start()
        for host in self.cluster.hosts:
            await self.wait_for(
                host,
                lambda known: known.revision == before.revision
                and known.group(self.service.name) == before.group(self.service.name),
                10,
            )

    async def test_killed_pool_is_withdrawn_and_killed_host_is_marked_dead(self):
        first, second, third = self.cluster.hosts
        self.cluster.process(f"pool/{first.host}").kill()
        took = await self.wait_for(
            second, lambda known: known.member(HostId(first.host)).pool is None, 10
        )
        self.assertLess(took, 4)
        for role in Role:
            self.cluster.process(f"{role.value}/{third.host}").kill()
        took = await self.wait_for(
            second,
            lambda known: known.member(HostId(third.host)).state is MemberState.DEAD,
            15,
        )
        self.assertLess(took, 8)

    async def test_frozen_controllers_neither_block_nor_repeat_a_promotion(self):
        *frozen, host = self.cluster.hosts
        for other in frozen:
            self.controller(other).freeze()
        name = self.service.name
        old = (await self.primary()).backend
        self.backend(old).kill()
        took = await self.wait_for(
            host, lambda known: known.group(name) and known.group(name).primary != old, 10
        )
        self.assertLess(took, 5)
        term = (await self.primary()).term
        for other in frozen:
            self.controller(other).thaw()
        await asyncio.sleep(4)
        self.assertEqual((await self.primary()).term, term)
        for other in self.cluster.hosts:
            await self.wait_for(
                other,
                lambda known: {member.state for member in known.members} == {MemberState.ALIVE},
                10,
            )

    async def seconds_until_status(self, host):
        """Return the time until a controller that is starting answers for the first time."""
        begin = time.monotonic()
        while await request_status(host.controller) is None:
            self.assertLess(time.monotonic() - begin, 20)
        return time.monotonic() - begin

    async def test_restart_of_a_controller_moves_no_home(self):
        first, second, _ = self.cluster.hosts
        before = (await self.directory(second)).member(HostId(first.host))
        self.assertIsNotNone(before.pool)
        self.controller(first).kill()
        self.controller(first).start()
        starting = asyncio.create_task(self.seconds_until_status(first))
        states = []
        end = time.monotonic() + 5
        while time.monotonic() < end:
            known = (await self.directory(second)).member(HostId(first.host))
            self.assertEqual(known.pool, before.pool)
            states.append(known.state)
            await asyncio.sleep(0.03)
        # A process that the machine starts so late is rightly declared dead before it joins.
        if await starting < (SHORTEST_DETECTION - JOIN_TIMEOUT).total_seconds():
            self.assertLessEqual(set(states), {MemberState.ALIVE, MemberState.SUSPECT})
        await self.wait_for(
            second,
            lambda known: known.member(HostId(first.host)).incarnation > before.incarnation
            and known.member(HostId(first.host)).state is MemberState.ALIVE,
            10,
        )
