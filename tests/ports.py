"""Pick ports for test servers."""

import socket


def free_port() -> int:
    """Return a loopback TCP port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
