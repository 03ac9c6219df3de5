"""Bring up a whole site for a test and watch its primaries."""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from hickorywind.groups.client import GroupClient
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import InstanceRole, ServiceName
from standins.cluster import Cluster, Faults
from standins.demo import wait_until_served

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"


class SiteTest(unittest.IsolatedAsyncioTestCase):
    """Run each test against a site of its own, stopped cleanly at the end."""

    hosts_per_zone = 1
    faults = Faults()
    must_stop_cleanly = True

    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="hickorywind-test-")
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster.from_script(
            EXAMPLES / "stepclean.py",
            Path(folder.name),
            self.hosts_per_zone,
            self.faults,
            random.Random(),
        )
        self.addCleanup(self._stop)
        self.cluster.start()
        wait_until_served(self.cluster)
        self.service = self.cluster.configuration.services[0]

    def _stop(self):
        try:
            self.cluster.stop()
        except Exception:
            if self.must_stop_cleanly:
                raise

    async def status(self, backend) -> BackendStatus | None:
        instance = next(item for item in self.service.instances if item.backend == backend)
        client = GroupClient(instance.endpoint, timedelta(seconds=1), "hickorywind_control", None)
        try:
            answer = await client.status()
        finally:
            client.close()
        return answer if isinstance(answer, BackendStatus) else None

    async def primary(self, service: ServiceName | None = None) -> BackendStatus:
        """Wait for the primary of the newest term and return its status."""
        for _ in range(200):
            found = [await self.status(item.backend) for item in self.service.instances]
            primaries = [s for s in found if s and s.role is InstanceRole.PRIMARY]
            if primaries:
                return max(primaries, key=lambda status: status.term)
            await asyncio.sleep(0.1)
        raise AssertionError("no primary")

    def backend(self, name):
        return self.cluster.process(f"backend/{name}")
