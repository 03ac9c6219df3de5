"""Figures read from the metrics of a site's entries."""

from __future__ import annotations

import urllib.error
import urllib.request
from collections import Counter

from prometheus_client.parser import text_string_to_metric_families

from hickorywind.ids import Address, Role, ServiceName
from standins.cluster import Cluster

_READS = "hickorywind_reads_total"
_TIMEOUT_SECONDS = 3


def read_metrics(address: Address) -> str:
    """Return a process's metrics as text, or an empty string if it doesn't answer."""
    try:
        with urllib.request.urlopen(f"http://{address}/metrics", timeout=_TIMEOUT_SECONDS) as page:
            return page.read().decode()
    except (urllib.error.URLError, OSError):
        return ""


def read_replica_share(cluster: Cluster, service: ServiceName) -> float:
    """Return the share of a service's answered reads that replicas served, or 0 without reads."""
    reads: Counter[str] = Counter()
    for host in cluster.hosts:
        text = read_metrics(host.metrics[Role.ENTRY])
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name == _READS and sample.labels["service"] == service:
                    reads[sample.labels["source"]] += int(sample.value)
    return reads["replica"] / reads.total() if reads.total() else 0.0
