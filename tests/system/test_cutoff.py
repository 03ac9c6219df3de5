import asyncio
from datetime import timedelta

from hickorywind.ids import InstanceRole
from hickorywind_bench.appendworkload import AppendWorkload, run_append_workload
from hickorywind_bench.checker import check_history
from hickorywind_bench.faults import cut_replication, send_relay_commands
from standins.cluster import BackendBehavior
from tests.system.site import SharedSiteTest

SEED = 20261206
FAILOVER_SECONDS = 10
CUT_SECONDS = 3
REJOIN_SECONDS = 10


class CutOffPrimaryTest(SharedSiteTest):
    """A primary is cut off from its replicas while callers and pools still reach it."""

    faults = BackendBehavior(replication_relays=True)

    async def test_reconnecting_sessions_read_their_writes_and_no_write_is_lost(self):
        workload = AppendWorkload(
            service=self.service.name,
            entries=self.cluster.entries,
            session_count=10,
            key_count=5,
            duration=timedelta(seconds=14),
            seed=SEED,
        )
        running = asyncio.create_task(run_append_workload(workload))
        await asyncio.sleep(1.5)
        before = await self.primary()
        await cut_replication(self.cluster, self.service, before.backend)
        async with asyncio.timeout(FAILOVER_SECONDS):
            while (await self.primary()).term == before.term:
                await asyncio.sleep(0.05)
        self.assertNotEqual((await self.primary()).backend, before.backend)
        await asyncio.sleep(CUT_SECONDS)
        await self.heal(before.backend)
        await self.wait_until_rejoined(before.backend)
        record = await running
        violations = check_history(record.history)
        self.assertEqual([str(violation) for violation in violations[:5]], [])
        self.assertGreater(len(record.answered_at), 50, record.refusals)
        print(
            f"primary cut off: {len(record.answered_at)} writes acknowledged,"
            f" {len(record.history.reads)} reads, refusals {record.refusals}"
        )

    async def heal(self, backend):
        others = [item.backend for item in self.service.instances if item.backend != backend]
        names = [f"{backend}->{other}" for other in others]
        names += [f"{other}->{backend}" for other in others]
        await send_relay_commands(self.cluster, [f"heal {name}" for name in names])

    async def wait_until_rejoined(self, backend):
        """Wait until the old primary is a replica and has the new primary's committed log."""
        async with asyncio.timeout(REJOIN_SECONDS):
            while True:
                status = await self.status(backend)
                primary = await self.primary()
                if status and status.role is InstanceRole.REPLICA:
                    if status.committed.contains(primary.committed):
                        return
                await asyncio.sleep(0.05)
