"""TCP relay that delays, interrupts and restores connections on command."""

from standins.relay.relay import Relay, RelaySettings, Route

__all__ = ["Relay", "RelaySettings", "Route"]
