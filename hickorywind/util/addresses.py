"""Validation of addresses in settings and commands."""

from __future__ import annotations

import ipaddress

from hickorywind.ids import Address

_PORT_MAX = 65_535


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT`` with an IPv4 address and a port from 1 to 65535; raise ValueError."""
    address = Address.from_text(text)
    ipaddress.IPv4Address(address.host)
    if not text.isascii() or not 1 <= address.port <= _PORT_MAX:
        raise ValueError(f"expected a port from 1 to {_PORT_MAX}, got {address.port}")
    return address
