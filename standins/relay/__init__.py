"""Relay TCP connections with a delay, and cut and heal the way at will."""

from standins.relay.relay import Relay, RelaySettings, Route

__all__ = ["Relay", "RelaySettings", "Route"]
