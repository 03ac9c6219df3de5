"""Event loop with virtual time, which advances only when no other work is ready.

All code of a test must run in one thread: the virtual time does not wait for messages of other
threads or processes.
"""

import asyncio
import contextvars
import types
from datetime import timedelta

IDLE_WAIT_SECONDS = 1.0  # no timer is set, so only a socket can become ready
CURRENT_GATE = contextvars.ContextVar("gate", default=None)


class _SkippingSelector:
    """Selector that advances the virtual time instead of waiting.

    ``delivery_seconds`` is the real time that the kernel gets for bytes on their way before that.
    """

    def __init__(self, inner, advance):
        self._inner = inner
        self._advance = advance
        self.delivery_seconds = 0.0

    def select(self, timeout=None):
        events = self._inner.select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            return self._inner.select(IDLE_WAIT_SECONDS)
        if self.delivery_seconds and (events := self._inner.select(self.delivery_seconds)):
            return events
        self._advance(timeout)
        return []

    def __getattr__(self, name):
        return getattr(self._inner, name)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time, whose tasks can be paused by a ``Gate``."""

    START_SECONDS = 1000.0

    def __init__(self):
        super().__init__()
        self._seconds = self.START_SECONDS
        self._selector = _SkippingSelector(self._selector, self.advance)
        self.set_task_factory(_make_task)

    def wait_for_delivery(self, seconds):
        """Give the kernel real time for bytes on their way before each advance from now on."""
        self._selector.delivery_seconds = seconds

    def advance(self, seconds):
        """Let time pass without running any task, as if the process were blocked."""
        self._seconds += seconds

    def time(self):
        return self._seconds


class VirtualClock:
    """Clock of the virtual time, with the interface of ``Clock``."""

    def __init__(self, loop):
        self._loop = loop

    def now(self):
        return timedelta(seconds=self._loop.time())


class Gate:
    """Switch that pauses all tasks of one host, as SIGSTOP pauses a process."""

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
        """Call a function; the tasks that it starts, also indirectly, belong to this gate."""
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
    """Run the steps of a coroutine only while the gate is open, and defer them otherwise."""
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
