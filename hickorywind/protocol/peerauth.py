"""Authentication of the peers of a ZeroMQ listener as processes of the same installation.

CURVE alone encrypts but accepts any client key; the ZAP handler here (RFC 27/ZAP) compares the
client key with the installation's own public key.
"""

from __future__ import annotations

import hmac

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

_ALL_DOMAINS = "*"


class _InstallationKeyChecker:
    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key (Z85 text) is that of the installation."""
        return hmac.compare_digest(key, self._public)


def start_peer_authentication(
    context: zmq.asyncio.Context, public_key: bytes
) -> AsyncioAuthenticator:
    """Start checking the client keys of every CURVE listener in ``context``.

    The caller stops the returned authenticator to release its socket.
    """
    authenticator = AsyncioAuthenticator(context)
    authenticator.start()
    authenticator.configure_curve_callback(_ALL_DOMAINS, _InstallationKeyChecker(public_key))
    return authenticator
