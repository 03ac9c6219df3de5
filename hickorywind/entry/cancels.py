"""Find the session that a cancel request means."""

from __future__ import annotations

import hmac
import random
from typing import Protocol

from hickorywind.entry.handshake import CancelKey

_KEY_BYTES = 4
_LARGEST_ID = 2**31 - 1


class Cancellable(Protocol):
    """Withdraw what runs now."""

    def cancel_running(self) -> None:
        """Withdraw the request under way, if there is one."""
        ...


class CancelRegistry:
    """Give sessions random cancel keys, which mean something at this entry only."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sessions: dict[int, tuple[CancelKey, Cancellable | None]] = {}

    def new_key(self) -> CancelKey:
        """Draw a key that is not in use."""
        while True:
            process_id = self._rng.randint(1, _LARGEST_ID)
            if process_id not in self._sessions:
                key = CancelKey(process_id, self._rng.randbytes(_KEY_BYTES))
                self._sessions[process_id] = (key, None)
                return key

    def register(self, key: CancelKey, session: Cancellable) -> None:
        """Name the session that a key cancels."""
        self._sessions[key.process_id] = (key, session)

    def forget(self, key: CancelKey) -> None:
        """Drop a key."""
        self._sessions.pop(key.process_id, None)

    def cancel(self, key: CancelKey) -> bool:
        """Withdraw what the key's session runs; return whether the key is known."""
        known, session = self._sessions.get(key.process_id, (None, None))
        if known is None or not hmac.compare_digest(known.secret_key, key.secret_key):
            return False
        if session is not None:
            session.cancel_running()
        return True
