"""Test cases that run against a whole cluster."""

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
    """Assign ports and write the settings of a Stepclean cluster without starting it."""
    return Cluster.from_script(
        EXAMPLES / "stepclean.py", folder, hosts_per_zone, faults, random.Random()
    )


class _SiteTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case with access to the backend servers of ``cluster``, which a subclass starts."""

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
        """Wait for a primary and return the status of the one with the highest term."""
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
    """Test case that starts a new cluster for each test and checks that it stops cleanly."""

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
    """Test case whose tests share one cluster; each test must restore its initial state."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        folder = tempfile.TemporaryDirectory(prefix="hickorywind-test-")
        cls.addClassCleanup(folder.cleanup)
        cls.cluster = lay_out_site(Path(folder.name), cls.hosts_per_zone, cls.faults)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()
        wait_until_served(cls.cluster)
