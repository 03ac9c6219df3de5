"""In-memory store with injectable faults."""

from hickorywind.ids import Revision
from hickorywind.store.interface import (
    NEVER_WRITTEN,
    StoredValue,
    StoreUnavailableError,
    SwapOutcome,
    SwapResult,
)


class FakeStore:
    """In-memory store.

    ``swap_faults`` holds the faults of the next compare-and-swaps of the configuration: "answer
    lost" (effect taken), "request lost", "late" (effect taken just before the next call) or
    "fine". ``read_faults`` counts reads that fail. ``before_swap`` runs just before a swap.
    """

    def __init__(self):
        self.values = {}
        self.revision = 0
        self.swap_faults = []
        self.read_faults = 0
        self.before_swap = None
        self.swaps = 0
        self._delayed = []

    def write(self, key, value):
        self.revision += 1
        self.values[key] = StoredValue(key, value, Revision(self.revision))
        return Revision(self.revision)

    async def get(self, key):
        if self.read_faults:
            self.read_faults -= 1
            raise StoreUnavailableError("down")
        self._apply_delayed_swaps()
        return self.values.get(key)

    async def get_prefix(self, prefix):
        return tuple(value for key, value in sorted(self.values.items()) if key.startswith(prefix))

    async def compare_and_swap(self, key, expected_revision, value):
        self._apply_delayed_swaps()
        hook, self.before_swap = self.before_swap, None
        if hook is not None:
            await hook()
        fault = "fine"
        if key.endswith("/config"):
            self.swaps += 1
            fault = self.swap_faults.pop(0) if self.swap_faults else "fine"
        match fault:
            case "request lost":
                return SwapResult(SwapOutcome.UNKNOWN)
            case "late":
                self._delayed.append((key, expected_revision, value))
                return SwapResult(SwapOutcome.UNKNOWN)
        result = self._swap(key, expected_revision, value)
        return SwapResult(SwapOutcome.UNKNOWN) if fault == "answer lost" else result

    def _swap(self, key, expected_revision, value):
        stored = self.values.get(key)
        revision = stored.revision if stored is not None else NEVER_WRITTEN
        if revision != expected_revision:
            return SwapResult(SwapOutcome.CONFLICT)
        return SwapResult(SwapOutcome.DONE, self.write(key, value))

    def _apply_delayed_swaps(self):
        delayed, self._delayed = self._delayed, []
        for call in delayed:
            self._swap(*call)

    async def close(self):
        pass
