"""Find the session that a cancel request means."""

from __future__ import annotations

import hmac
import random
from typing import Protocol

from hickorywind.entry.handshake import CancelKey

_SECRET_KEY_BYTES = 4
_MAX_PROCESS_ID = 2**31 - 1


class Cancellable(Protocol):
    """Withdraw what runs now."""

    def cancel_current_request(self) -> None:
        """Withdraw the request under way, if there is one."""
        ...


class CancelRegistry:
    """Give sessions random cancel keys, which mean something at this entry only."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sessions: dict[int, tuple[CancelKey, Cancellable | None]] = {}

    def create_key(self) -> CancelKey:
        """Draw a key that is not in use."""
        while True:
            process_id = self._rng.randint(1, _MAX_PROCESS_ID)
            if process_id not in self._sessions:
                key = CancelKey(process_id, self._rng.randbytes(_SECRET_KEY_BYTES))
                self._sessions[process_id] = (key, None)
                return key

    def register(self, key: CancelKey, session: Cancellable) -> None:
        """Name the session that a key cancels."""
        self._sessions[key.process_id] = (key, session)

    def remove(self, key: CancelKey) -> None:
        """Drop a key."""
        self._sessions.pop(key.process_id, None)

    def cancel(self, key: CancelKey) -> bool:
        """Withdraw what the key's session runs; return whether the key is known."""
        known_key, session = self._sessions.get(key.process_id, (None, None))
        if known_key is None or not hmac.compare_digest(known_key.secret_key, key.secret_key):
            return False
        if session is not None:
            session.cancel_current_request()
        return True
