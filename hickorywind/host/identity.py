"""Describe this host to the others."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.ids import Address, AvailabilityZone, HostId, Incarnation


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Name one life of a host; ``address`` is where other hosts reach it."""

    host: HostId
    incarnation: Incarnation
    zone: AvailabilityZone
    address: Address
