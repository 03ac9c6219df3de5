"""Byte counts of loopback TCP connections, from kernel counters read with ``ss`` (iproute2).

The counters cover payload and segments; header bytes are added per segment.
"""

from __future__ import annotations

import re
import subprocess
from collections.abc import Iterable
from dataclasses import dataclass

HEADER_BYTES = 52  # IPv4 and TCP with timestamps
_FIELD = re.compile(r"\b(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


@dataclass(frozen=True)
class Traffic:
    """Totals that the listening sides of some ports sent and received since connecting."""

    payload_bytes: int
    segments: int
    connections: int

    @property
    def total_bytes(self) -> int:
        """Return payload and headers, both directions."""
        return self.payload_bytes + self.segments * HEADER_BYTES

    def since(self, earlier: Traffic) -> Traffic:
        """Return the increase since ``earlier``; valid only if no connection closed in between."""
        return Traffic(
            self.payload_bytes - earlier.payload_bytes,
            self.segments - earlier.segments,
            self.connections,
        )


def read_traffic(ports: Iterable[int]) -> Traffic:
    """Read the counters of all connections accepted at the given ports."""
    port_filter = " or ".join(f"sport = :{port}" for port in ports)
    command = ("ss", "-tinOH", f"( {port_filter} )")
    text = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    payload = segments = 0
    for name, value in _FIELD.findall(text):
        if name.startswith("bytes"):
            payload += int(value)
        else:
            segments += int(value)
    return Traffic(payload, segments, len(text.splitlines()))
