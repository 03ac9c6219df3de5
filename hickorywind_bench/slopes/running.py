"""Context manager that runs a demonstration site."""

from __future__ import annotations

import contextlib
import logging
import os
import random
import tempfile
from collections.abc import Iterator
from pathlib import Path

from hickorywind.ids import Role
from hickorywind_bench.running import EXAMPLES
from standins.cluster import Cluster, ClusterError
from standins.demo import wait_until_served

logger = logging.getLogger(__name__)

_RAISED_CALLER_LIMIT = 20_000


@contextlib.contextmanager
def running_site(hosts_per_zone: int = 1, many_callers: bool = False) -> Iterator[Cluster]:
    """Run the Stepclean example; ``many_callers`` raises the connection limit per entry."""
    with tempfile.TemporaryDirectory(prefix="hickorywind-slopes-") as folder:
        script = EXAMPLES / "stepclean.py"
        rng = random.Random(os.getpid())
        cluster = Cluster.from_script(script, Path(folder), hosts_per_zone, rng=rng)
        if many_callers:
            _raise_caller_limit(cluster)
        try:
            cluster.start()
            wait_until_served(cluster)
            yield cluster
        finally:
            _stop(cluster)


def _raise_caller_limit(cluster: Cluster) -> None:
    text = cluster.document_path.read_text()
    old = "caller_connections_per_entry: 2000"
    assert old in text, "the example's limit has changed"
    new = f"caller_connections_per_entry: {_RAISED_CALLER_LIMIT}"
    cluster.document_path.write_text(text.replace(old, new))


def _stop(cluster: Cluster) -> None:
    try:
        cluster.stop()
    except ClusterError as error:
        logger.error("site_not_stopped", extra={"detail": str(error)})


def process_id(cluster: Cluster, role: Role, host_index: int = 0) -> int:
    """Return the process id of the daemon of one role on one host."""
    host = cluster.hosts[host_index].host
    return cluster.process(f"{role.value}/{host}").process_id
