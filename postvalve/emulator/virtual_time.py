"""Event loop for gevent under virtual time, in which nodes run unchanged.

The loop never sleeps: when no callback is ready, time jumps to the next timer. Callbacks run
in the order in which they were scheduled, so a simulation depends on its seeds only. Each
callback belongs to the owner that was running when it was scheduled, usually one run of a node
or an engine. An owner can be frozen, as by SIGSTOP, which postpones its callbacks, or killed,
as by SIGKILL, which drops them.
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
"""Wall-clock time at virtual time 0, in seconds since the Unix epoch."""


class VirtualCallback:
    """A scheduled call, with the interface that gevent expects of a callback."""

    def __init__(self, owner: str, function: Callable[..., Any], arguments: Any) -> None:
        self.owner = owner
        self.callback: Callable[..., Any] | None = function
        self.args = arguments

    def stop(self) -> None:
        """Cancel the call."""
        self.callback = None
        self.args = None

    close = stop

    def __bool__(self) -> bool:
        return self.callback is not None

    @property
    def pending(self) -> bool:
        """Whether the call was neither made nor cancelled."""
        return self.callback is not None


class VirtualTimer:
    """A delayed call, with the interface that gevent expects of a timer."""

    def __init__(self, loop: VirtualLoop, after: float, repeat: float) -> None:
        self._loop = loop
        self._after = after
        self._repeat = repeat
        self._scheduled: VirtualCallback | None = None

    def start(self, function: Callable[..., Any], *arguments: Any, update: bool = True) -> None:
        """Schedule `function` to be called after the timer's delay."""
        self._scheduled = self._loop.call_later(self._after, function, *arguments)

    def again(self, function: Callable[..., Any], *arguments: Any, update: bool = True) -> None:
        """Restart the timer with another function."""
        self.stop()
        self.start(function, *arguments)

    def stop(self) -> None:
        """Stop the timer; its function is not called."""
        if self._scheduled is not None:
            self._scheduled.stop()
            self._scheduled = None

    close = stop

    @property
    def callback(self) -> Callable[..., Any] | None:
        """The function that will be called, or None."""
        return self._scheduled.callback if self._scheduled else None

    @property
    def pending(self) -> bool:
        """Whether the timer is due and not yet called; never, because due calls are queued."""
        return False

    @property
    def active(self) -> bool:
        """Whether the timer is started and its function not yet called."""
        return self._scheduled is not None and self._scheduled.pending

    def __enter__(self) -> VirtualTimer:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()


class VirtualLoop:
    """Event loop that gevent's hub runs instead of libev."""

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

    # Interface that gevent uses

    def run(self, nowait: bool = False, once: bool = False) -> None:
        """Run until no callback and no timer is left."""
        while self._ready or self._advance():
            self._call(self._ready.popleft())

    def now(self) -> float:
        """Return the virtual time, in seconds."""
        return self._now

    def update_now(self) -> None:
        """Do nothing: virtual time is always up to date."""

    update = update_now

    def timer(
        self, after: float, repeat: float = 0.0, ref: bool = True, priority: int | None = None
    ) -> VirtualTimer:
        """Return a timer that is not started."""
        return VirtualTimer(self, after, repeat)

    def run_callback(self, function: Callable[..., Any], *arguments: Any) -> VirtualCallback:
        """Schedule `function` to be called after all callbacks that are ready now."""
        callback = VirtualCallback(self.owner, function, arguments)
        self._ready.append(callback)
        return callback

    run_callback_threadsafe = run_callback

    def destroy(self) -> None:
        """Drop all callbacks and timers."""
        self._ready.clear()
        self._timers.clear()

    def _format(self) -> str:
        return f"virtual time {self._now:.3f}"

    # Interface that simulations use

    def call_later(
        self, delay: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCallback:
        """Schedule `function` in `delay` seconds, for the owner that is running now."""
        return self.call_for(self.owner, delay, function, *arguments)

    def call_for(
        self, owner: str, delay: float, function: Callable[..., Any], *arguments: Any
    ) -> VirtualCallback:
        """Schedule `function` in `delay` seconds, for the given owner."""
        callback = VirtualCallback(owner, function, arguments)
        due = self._now + max(0.0, delay)
        heapq.heappush(self._timers, (due, next(self._sequence_numbers), callback))
        return callback

    def freeze(self, owner: str) -> None:
        """Postpone the callbacks of an owner until `thaw`."""
        self._frozen.setdefault(owner, [])

    def thaw(self, owner: str) -> None:
        """Run the postponed callbacks of an owner, and let it continue."""
        self._ready.extend(self._frozen.pop(owner, []))

    def kill(self, owner: str) -> None:
        """Drop the callbacks of an owner, present and future."""
        self._killed.add(owner)
        self._frozen.pop(owner, None)

    def is_killed(self, owner: str) -> bool:
        """Return whether an owner was killed."""
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
        except Exception as error:  # reported, and the loop continues, as in gevent's own loops
            self._report(function, error)
        finally:
            self.owner = ""

    def _report(self, function: Callable[..., Any], error: Exception) -> None:
        if self.error_handler is None:
            raise error
        self.error_handler.handle_error(function, type(error), error, error.__traceback__)


class VirtualClock:
    """Implementation of `Clock` with the virtual time of a loop."""

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
    """Run `function` in a greenlet under virtual time and return its result.

    Callbacks and timers that are left when it returns are dropped.
    """
    previous = get_hub_if_exists()
    loop = VirtualLoop()
    set_hub(Hub(loop=loop))
    try:
        return gevent.spawn(function, loop).get()
    finally:
        loop.destroy()
        set_hub(previous)
