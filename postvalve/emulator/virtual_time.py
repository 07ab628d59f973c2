"""An event loop for gevent under virtual time: whole nodes run in it unchanged.

Nothing waits in it: when no callback is ready, time jumps to the next timer. Callbacks run
in the order they were made, so a run is a function of its seeds. Each callback belongs to
the owner that was running when it was made; an owner can be frozen, as by SIGSTOP, or
killed, as by SIGKILL, and its callbacks then wait or vanish.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

import gevent
from gevent._hub_local import get_hub_if_exists, set_hub
from gevent.hub import Hub

Result = TypeVar("Result")

EPOCH = 1_800_000_000.0
"""Wall-clock seconds at virtual time 0."""


class VirtualCallback:
    """A call that is due now. Has the face that gevent expects of one."""

    def __init__(self, owner: str, function: Callable[..., Any], arguments: Any) -> None:
        self.owner = owner
        self.callback: Callable[..., Any] | None = function
        self.args = arguments

    def stop(self) -> None:
        """Don't call."""
        self.callback = None
        self.args = None

    close = stop

    def __bool__(self) -> bool:
        return self.callback is not None

    @property
    def pending(self) -> bool:
        """Whether it is still to be called."""
        return self.callback is not None


class VirtualTimer:
    """A call that is due later. Has the face that gevent expects of a timer."""

    def __init__(self, loop: VirtualLoop, after: float, repeat: float) -> None:
        self._loop = loop
        self._after = after
        self._repeat = repeat
        self._scheduled: VirtualCallback | None = None

    def start(self, function: Callable[..., Any], *arguments: Any, update: bool = True) -> None:
        """Call `function` when the time has come."""
        self._scheduled = self._loop.call_later(self._after, function, *arguments)

    def again(self, function: Callable[..., Any], *arguments: Any, update: bool = True) -> None:
        """Start anew."""
        self.stop()
        self.start(function, *arguments)

    def stop(self) -> None:
        """Don't call."""
        if self._scheduled is not None:
            self._scheduled.stop()
            self._scheduled = None

    close = stop

    @property
    def callback(self) -> Callable[..., Any] | None:
        """What will be called."""
        return self._scheduled.callback if self._scheduled else None

    @property
    def pending(self) -> bool:
        """Whether it is due and not yet called."""
        return False

    @property
    def active(self) -> bool:
        """Whether it is still to be called."""
        return self._scheduled is not None and self._scheduled.pending

    def __enter__(self) -> VirtualTimer:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()


class VirtualLoop:
    """The loop. gevent's hub runs it in place of libev."""

    default = False
    approx_timer_resolution = 1e-9

    def __init__(self) -> None:
        self.error_handler: Any = None
        self.owner = ""
        self._now = 0.0
        self._sequence_numbers = itertools.count()
        self._ready: deque[VirtualCallback] = deque()
        self._timers: list[tuple[float, int, VirtualCallback]] = []
        self._frozen: dict[str, list[VirtualCallback]] = {}
        self._killed: set[str] = set()

    # What gevent asks for

    def run(self, nowait: bool = False, once: bool = False) -> None:
        """Run until nothing is left to do."""
        while self._ready or self._advance():
            self._call(self._ready.popleft())

    def now(self) -> float:
        """Virtual seconds."""
        return self._now

    def update_now(self) -> None:
        """Nothing to do: virtual time is always exact."""

    update = update_now

    def timer(
        self, after: float, repeat: float = 0.0, ref: bool = True, priority: int | None = None
    ) -> VirtualTimer:
        """A timer, not started."""
        return VirtualTimer(self, after, repeat)

    def run_callback(self, function: Callable[..., Any], *arguments: Any) -> VirtualCallback:
        """Call `function` after what is ready now."""
        callback = VirtualCallback(self.owner, function, arguments)
        self._ready.append(callback)
        return callback

    run_callback_threadsafe = run_callback

    def destroy(self) -> None:
        """Drop everything."""
        self._ready.clear()
        self._timers.clear()

    def _format(self) -> str:
        return f"virtual time {self._now:.3f}"

    # What simulations ask for

    def call_later(
        self, delay: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCallback:
        """Call `function` in `delay` seconds, for the owner that runs now."""
        return self.call_for(self.owner, delay, function, *arguments)

    def call_for(
        self, owner: str, delay: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCallback:
        """Call `function` in `delay` seconds, for another owner."""
        callback = VirtualCallback(owner, function, arguments)
        due = self._now + max(0.0, delay)
        heapq.heappush(self._timers, (due, next(self._sequence_numbers), callback))
        return callback

    def freeze(self, owner: str) -> None:
        """Let nothing of an owner run until it is thawed."""
        self._frozen.setdefault(owner, [])

    def thaw(self, owner: str) -> None:
        """Run what an owner missed, and go on."""
        self._ready.extend(self._frozen.pop(owner, []))

    def kill(self, owner: str) -> None:
        """Let nothing of an owner run ever again."""
        self._killed.add(owner)
        self._frozen.pop(owner, None)

    def is_killed(self, owner: str) -> bool:
        """Whether an owner was killed."""
        return owner in self._killed

    def _advance(self) -> bool:
        while self._timers:
            due, _, callback = heapq.heappop(self._timers)
            if callback.pending:
                self._now = max(self._now, due)
                self._ready.append(callback)
                return True
        return False

    def _call(self, callback: VirtualCallback) -> None:
        function, arguments = callback.callback, callback.args
        if function is None or callback.owner in self._killed:
            return
        if callback.owner in self._frozen:
            self._frozen[callback.owner].append(callback)
            return
        callback.stop()
        self.owner = callback.owner
        try:
            function(*arguments)
        except Exception as error:  # as gevent's loops do: report it and go on
            self._report(function, error)
        finally:
            self.owner = ""

    def _report(self, function: Callable[..., Any], error: Exception) -> None:
        if self.error_handler is None:
            raise error
        self.error_handler.handle_error(function, type(error), error, error.__traceback__)


class VirtualClock:
    """The loop's time as a clock."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """See `Clock`."""
        return self._loop.now()

    def steady(self) -> float:
        """See `Clock`."""
        return self._loop.now()

    def wall(self) -> float:
        """See `Clock`."""
        return EPOCH + self._loop.now()


def run_virtual(function: Callable[[VirtualLoop], Result]) -> Result:
    """Run `function` in a greenlet under virtual time and return what it returns.

    What is left running when it returns is dropped.
    """
    previous = get_hub_if_exists()
    loop = VirtualLoop()
    set_hub(Hub(loop=loop))
    try:
        return gevent.spawn(function, loop).get()
    finally:
        loop.destroy()
        set_hub(previous)
