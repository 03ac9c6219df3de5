import asyncio
import random
from datetime import timedelta

from hickorywind_bench.appendworkload import AppendWorkload, run_append_workload
from hickorywind_bench.checker import check_history
from standins.cluster import BackendBehavior
from tests.system.site import SiteTest

SEED = 20261204
DURATION = timedelta(seconds=8)


class HistoryTest(SiteTest):
    """Histories of roaming sessions stay consistent while parts of the cluster fail."""

    hosts_per_zone = 2
    faults = BackendBehavior(replication_relays=True)
    must_stop_cleanly = False

    def workload(self, duration=DURATION):
        return AppendWorkload(
            service=self.service.name,
            entries=self.cluster.entries,
            session_count=12,
            key_count=6,
            duration=duration,
            seed=SEED,
        )

    async def run_with(self, *faults):
        """Run the workload with faults injected concurrently and check its history."""
        running = asyncio.create_task(run_append_workload(self.workload()))
        await asyncio.sleep(1)
        await asyncio.gather(*(fault() for fault in faults))
        record = await running
        violations = check_history(record.history)
        self.assertEqual([str(violation) for violation in violations[:5]], [])
        self.assertGreater(len(record.answered_at), 50, record.refusals)
        return record

    async def kill_primary(self):
        status = await self.primary()
        self.backend(status.backend).kill()

    async def freeze_primary(self):
        process = self.backend((await self.primary()).backend)
        process.freeze()
        await asyncio.sleep(3)
        process.thaw()

    async def kill_entry(self):
        self.cluster.process(f"entry/{self.cluster.hosts[0].host}").kill()

    async def freeze_pools(self):
        rng = random.Random(SEED)
        for _ in range(3):
            host = rng.choice(self.cluster.hosts)
            process = self.cluster.process(f"pool/{host.host}")
            process.freeze()
            await asyncio.sleep(1)
            process.thaw()

    async def kill_pools(self):
        for host in self.cluster.hosts[::2]:
            process = self.cluster.process(f"pool/{host.host}")
            process.kill()
            await asyncio.sleep(1)
            process.start()

    async def stop_store(self):
        process = self.cluster.process("store")
        process.freeze()
        await asyncio.sleep(5)
        process.thaw()

    async def test_without_faults(self):
        await self.run_with()

    async def test_primary_killed(self):
        await self.run_with(self.kill_primary)

    async def test_primary_frozen_and_resumed(self):
        await self.run_with(self.freeze_primary)

    async def test_primary_killed_while_store_is_down(self):
        await self.run_with(self.stop_store, self.kill_primary)

    async def test_entry_killed(self):
        await self.run_with(self.kill_entry)

    async def test_pools_killed_one_after_another(self):
        await self.run_with(self.kill_pools)

    async def test_pools_frozen_one_after_another(self):
        await self.run_with(self.freeze_pools)

    async def test_pools_killed_and_primary_frozen(self):
        await self.run_with(self.kill_pools, self.freeze_primary)
