"""Identity of a host process towards its peers."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.ids import Address, AvailabilityZone, HostId, Incarnation


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Identity of one run of a host.

    ``incarnation`` tells it from others of the host; peers connect to ``address``.
    """

    host: HostId
    incarnation: Incarnation
    zone: AvailabilityZone
    address: Address
