"""Run an event loop whose time moves only while nothing else is to be done.

Everything a test runs must live in its one thread: what another thread or process sends may come
at any time, and the clock would not wait for it.
"""

import asyncio
import contextvars
import types
from datetime import timedelta

IDLE_WAIT_SECONDS = 1.0  # nothing is scheduled: only the kernel can bring work
CURRENT_GATE = contextvars.ContextVar("gate", default=None)


class _SkippingSelector:
    """Report what is ready, and move the time on instead of waiting."""

    def __init__(self, inner, advance):
        self._inner = inner
        self._advance = advance

    def select(self, timeout=None):
        events = self._inner.select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            return self._inner.select(IDLE_WAIT_SECONDS)
        self._advance(timeout)
        return []

    def __getattr__(self, name):
        return getattr(self._inner, name)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Keep its own time, and let tasks that belong to a gate be held up."""

    START_SECONDS = 1000.0

    def __init__(self):
        super().__init__()
        self._seconds = self.START_SECONDS
        self._selector = _SkippingSelector(self._selector, self._advance_time)
        self.set_task_factory(_make_task)

    def _advance_time(self, seconds):
        self._seconds += seconds

    def time(self):
        return self._seconds


class VirtualClock:
    """Tell the loop's time as the product's clocks do."""

    def __init__(self, loop):
        self._loop = loop

    def now(self):
        return timedelta(seconds=self._loop.time())


class Gate:
    """Hold up the tasks of one host, as a stop signal does to a process."""

    def __init__(self, name):
        self.name = name
        self._opened = None

    @property
    def is_closed(self):
        return self._opened is not None

    def close(self):
        if self._opened is None:
            self._opened = asyncio.get_running_loop().create_future()

    def open(self):
        if self._opened is not None:
            self._opened.set_result(None)
            self._opened = None

    def wait(self):
        return asyncio.shield(self._opened)

    def run(self, function, *arguments):
        """Call a function whose tasks, and the tasks of these, belong to the gate."""
        context = contextvars.copy_context()
        context.run(CURRENT_GATE.set, self)
        return context.run(function, *arguments)


def _make_task(loop, coroutine, **options):
    context = options.get("context")
    gate = CURRENT_GATE.get() if context is None else context.get(CURRENT_GATE)
    if gate is not None:
        coroutine = _gated(coroutine, gate)
    return asyncio.Task(coroutine, loop=loop, **options)


@types.coroutine
def _gated(coroutine, gate):
    """Step a coroutine only while the gate is open; what arrives meanwhile comes later."""
    step = coroutine.send, None
    while True:
        while gate.is_closed:
            try:
                yield from gate.wait()
            except BaseException as error:
                step = coroutine.throw, error
        method, value = step
        try:
            wanted = method(value)
        except StopIteration as stop:
            return stop.value
        try:
            step = coroutine.send, (yield wanted)
        except BaseException as error:
            step = coroutine.throw, error
