"""A node as a process whose machine can be suspended.

A stop by signal stands in for the suspension: the clock that counts it and the time of day go on,
and the steady one is put back by the time of the stop, if SIGUSR1 came before it.
"""

import signal
import sys
import time

from postvalve import startup

TICK = 0.02
"""Seconds between looks at the time of day; by so much a stop is told too short."""


class SteadyClock:
    """`time.monotonic` without the time for which the machine was suspended."""

    def __init__(self):
        self._running = time.monotonic
        self._suspended = 0.0
        self._expected = False
        self._ticked_at = time.time()

    def __call__(self):
        return self._running() - self._suspended

    def tick(self):
        import gevent

        while True:
            self._ticked_at = time.time()
            gevent.sleep(TICK)

    def expect(self, number, frame):
        """The next stop is a suspension."""
        self._expected = True

    def resume(self, number, frame):
        """A stop is over."""
        if self._expected:
            self._suspended += max(0.0, time.time() - self._ticked_at - TICK)
        self._expected = False


def main():
    # As in the program itself: a signal that comes while modules are imported must not end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import gevent

    clock = SteadyClock()
    time.monotonic = clock
    gevent.spawn(clock.tick)
    signal.signal(signal.SIGUSR1, clock.expect)
    signal.signal(signal.SIGCONT, clock.resume)
    return startup.run()


if __name__ == "__main__":
    sys.exit(main())
