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
from standins.cluster import BackendBehavior, Cluster
from standins.demo import wait_until_served

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"


def lay_out_site(folder: Path, hosts_per_zone: int, faults: BackendBehavior) -> Cluster:
    """Lay out a site of the shape of Stepclean; start nothing yet."""
    return Cluster.from_script(
        EXAMPLES / "stepclean.py", folder, hosts_per_zone, faults, random.Random()
    )


class _SiteTestCase(unittest.IsolatedAsyncioTestCase):
    """Watch the backend servers of ``cluster``, which a subclass brings up."""

    hosts_per_zone = 1
    faults = BackendBehavior()
    cluster: Cluster

    @property
    def service(self):
        return self.cluster.configuration.services[0]

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


class SiteTest(_SiteTestCase):
    """Run each test against a site of its own, stopped cleanly at the end."""

    must_stop_cleanly = True

    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="hickorywind-test-")
        self.addCleanup(folder.cleanup)
        self.cluster = lay_out_site(Path(folder.name), self.hosts_per_zone, self.faults)
        self.addCleanup(self._stop)
        self.cluster.start()
        wait_until_served(self.cluster)

    def _stop(self):
        try:
            self.cluster.stop()
        except Exception:
            if self.must_stop_cleanly:
                raise


class SharedSiteTest(_SiteTestCase):
    """Run all tests of a class against one site; each leaves it as it found it."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        folder = tempfile.TemporaryDirectory(prefix="hickorywind-test-")
        cls.addClassCleanup(folder.cleanup)
        cls.cluster = lay_out_site(Path(folder.name), cls.hosts_per_zone, cls.faults)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()
        wait_until_served(cls.cluster)
