"""An engine as a process: slots, a queue, and a line for each run."""

import argparse
import json
import os
import time

import gevent
from gevent.lock import BoundedSemaphore

from tests.stand_in_engine import Behaviour, StandInEngine

ITEM_MARK = "i-"
"""Begins the ids of batch items."""
ONLINE = Behaviour(events=6, pause=0.03, head_delay=0.15)
"""Half of the time goes by before the head, so that faults strike requests without an event too."""
ITEM = Behaviour(events=40, pause=0.05)
LARGE_MARK = "l-"
"""Begins the ids of requests with large answers."""
LARGE = Behaviour(events=40, pause=0.01, padding=8_000)
SLOTS = 4
FATAL_MARK = b"fatal"
"""Begins the bodies under which an engine ends."""
CRASH_DELAY = 0.06
"""Seconds that it runs such a request."""
RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nTransfer-Encoding: chunked\r\n\r\n"


class SoakEngine(StandInEngine):
    """Runs `SLOTS` requests at once; the others wait in their order."""

    def __init__(self, engine_id, port):
        self._slots = BoundedSemaphore(SLOTS)
        self._items = 0
        super().__init__(engine_id, port)

    def _answer(self, connection, behaviour, request_id, headers):
        item = request_id.startswith(ITEM_MARK)
        arrived, behind = time.time(), self._items
        with self._slots:
            self._items += item
            write_record(
                run=request_id,
                engine=self.engine_id,
                after=headers.get("last-event-id"),
                at=time.time(),
                waited=time.time() - arrived,
                items=behind,
            )
            if self.bodies[request_id].startswith(FATAL_MARK):
                if len(request_id) % 2:
                    connection.sendall(RESPONSE_HEAD.format(request_id).encode())
                gevent.sleep(CRASH_DELAY)
                os._exit(1)
            try:
                return super()._answer(connection, behaviour_for(request_id), request_id, headers)
            finally:
                self._items -= item


def behaviour_for(request_id):
    """How an engine answers."""
    if request_id.startswith(ITEM_MARK):
        return ITEM
    return LARGE if request_id.startswith(LARGE_MARK) else ONLINE


def write_record(**fields):
    """One line for the soak to read, whatever befalls this process next."""
    print(json.dumps(fields), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("engine_id")
    parser.add_argument("port", type=int)
    arguments = parser.parse_args()
    SoakEngine(arguments.engine_id, arguments.port)
    gevent.wait()


if __name__ == "__main__":
    main()
