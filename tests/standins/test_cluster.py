import random
import re
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from standins.cluster import BackendBehavior, Cluster

EXAMPLE = Path(__file__).resolve().parent.parent.parent / "examples" / "stepclean.py"
# This seed once produced overlapping ports of the example and of the cluster's processes.
SEED = 63
LISTENS = re.compile(r"(?:listen|control): '?127\.0\.0\.1:(\d+)")


class PortTest(unittest.TestCase):
    def test_no_two_processes_listen_at_the_same_port(self):
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster.from_script(
                EXAMPLE,
                Path(folder),
                2,
                BackendBehavior(replication_relays=True),
                random.Random(SEED),
            )
            ports = Counter([cluster.store_address.port])
            for path in Path(folder).glob("backend-*.yaml"):
                ports.update(int(port) for port in LISTENS.findall(path.read_text()))
            ports.update(
                int(port) for port in LISTENS.findall(Path(folder, "relay.yaml").read_text())
            )
            for host in cluster.hosts:
                ports.update((host.entry.port, host.pool.port, host.controller.port))
                ports.update(address.port for address in host.metrics.values())
        self.assertEqual([port for port, count in ports.items() if count > 1], [])
