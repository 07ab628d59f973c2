"""Node process that simulates the suspension of its machine.

A suspension is simulated by SIGUSR1 followed by SIGSTOP. On SIGCONT, `time.monotonic` is set back
by the time of the stop, as on a suspended machine; the time of day and clocks that count suspended
time go on.
"""

import signal
import sys
import time

from postvalve import startup

TICK = 0.02
"""Seconds between readings of the time of day: the precision with which a stop is measured."""


class SteadyClock:
    """Replacement of `time.monotonic` that excludes the time of simulated suspensions."""

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
        """Handle SIGUSR1: treat the next stop as a suspension."""
        self._expected = True

    def resume(self, number, frame):
        """Handle SIGCONT: exclude the time of the stop if it was a suspension."""
        if self._expected:
            self._suspended += max(0.0, time.time() - self._ticked_at - TICK)
        self._expected = False


def main():
    # As in the product: a SIGHUP that arrives during the imports must not end the process.
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
