"""Engine process of the soak with surplus answers: it sends some of its answers a second time."""

import argparse
import contextlib
import zlib

import gevent

from tests.soak.engine import SoakEngine
from tests.stand_in_engine import Behaviour

SURPLUS_SHARE = 0.15
"""Share of the answers that come a second time."""
MAX_SURPLUS_DELAY = 0.5
"""Seconds until then at most; the next request on the connection mostly runs at that time."""
MAX_SURPLUS_SIZE = 20_000
"""Bytes of the largest answer that comes a second time."""
REFUSAL_INTERVAL = 0.7
"""Seconds between requests that the engine refuses."""


class RecordingConnection:
    """A connection that keeps what was sent on it."""

    def __init__(self, connection):
        self._connection = connection
        self.sent = b""

    def sendall(self, data):
        self.sent += data
        self._connection.sendall(data)

    def __getattr__(self, name):
        return getattr(self._connection, name)


class SurplusEngine(SoakEngine):
    """Engine that sends some of its answers a second time, later."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._answering = {}
        """Recorder of the present answer, by connection."""
        gevent.spawn(self._refuse_sometimes)

    def _refuse_sometimes(self):
        while True:
            gevent.sleep(REFUSAL_INTERVAL)
            if not self.next_behaviours:
                self.next_behaviours.append(Behaviour(refuse=True))

    def _serve_one(self, connection):
        recorder = self._answering[connection] = RecordingConnection(connection)
        is_kept = super()._serve_one(recorder)
        answer = recorder.sent
        number = zlib.crc32(answer)
        if is_kept and len(answer) <= MAX_SURPLUS_SIZE and number % 100 < SURPLUS_SHARE * 100:
            delay = MAX_SURPLUS_DELAY * (number // 100 % 100) / 100
            gevent.spawn_later(delay, self._send_again, connection, answer)
        return is_kept

    def _send_again(self, connection, answer):
        """Send an answer again, unless another one is just being sent."""
        if not self._answering[connection].sent:
            with contextlib.suppress(OSError):
                connection.sendall(answer)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("engine_id")
    parser.add_argument("port", type=int)
    parser.add_argument("version")
    arguments = parser.parse_args()
    SurplusEngine(arguments.engine_id, arguments.port, arguments.version)
    gevent.wait()


if __name__ == "__main__":
    main()
