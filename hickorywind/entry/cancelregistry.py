"""Registry of cancel keys (``BackendKeyData``) and the sessions that they identify."""

from __future__ import annotations

import hmac
import random
from typing import Protocol

from hickorywind.entry.handshake import CancelKey

_SECRET_KEY_BYTES = 4
_MAX_PROCESS_ID = 2**31 - 1


class Cancellable(Protocol):
    """Something whose running request can be cancelled."""

    def cancel_current_request(self) -> None:
        """Cancel the running request, if there is one."""
        ...


class CancelRegistry:
    """Random cancel keys of the sessions of this entry; other entries don't know them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sessions: dict[int, tuple[CancelKey, Cancellable | None]] = {}

    def create_key(self) -> CancelKey:
        """Return a random key whose process id is not in use."""
        while True:
            process_id = self._rng.randint(1, _MAX_PROCESS_ID)
            if process_id not in self._sessions:
                key = CancelKey(process_id, self._rng.randbytes(_SECRET_KEY_BYTES))
                self._sessions[process_id] = (key, None)
                return key

    def register(self, key: CancelKey, session: Cancellable) -> None:
        """Assign a session to a key."""
        self._sessions[key.process_id] = (key, session)

    def remove(self, key: CancelKey) -> None:
        """Remove a key."""
        self._sessions.pop(key.process_id, None)

    def cancel(self, key: CancelKey) -> bool:
        """Cancel the running request of the key's session; return whether the key is valid."""
        known_key, session = self._sessions.get(key.process_id, (None, None))
        if known_key is None or not hmac.compare_digest(known_key.secret_key, key.secret_key):
            return False
        if session is not None:
            session.cancel_current_request()
        return True
