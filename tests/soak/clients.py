"""Clients, and those who look at nodes: what they see goes to the promises."""

import contextlib
import itertools
import json
import random
import time
from pathlib import Path

import gevent
from gevent import socket

from tests.answers import parse_answer, read_answer
from tests.gateway_support import BATCH_PATH, HOST, ONCE_PATH, STREAM_PATH
from tests.soak.engine import FATAL, ITEM, ONLINE
from tests.soak.promises import CONFIGURED, NOT_RUN, Job, Online, Run
from tests.soak.stalling import StallingClients
from tests.soak.tenants import TenantClients
from tests.test_gateway_jobs import job_body, whole_text

ONLINE_RATE = 5.0
"""Requests a second for each engine."""
JOB_PAUSE = 4.5
"""Seconds between batch jobs for each engine."""
KEEPING_NODES = 8
"""Nodes at the most that have a client which keeps its connection."""
KEPT_PAUSE = 0.3
"""Seconds between requests on a kept connection."""
JOB_ITEMS = 5
PATIENCE_MS = 4_000
"""Milliseconds that online clients wait."""
JOB_TRIES = 12
"""Times that a job is sent, a second apart, until one answer settles it."""
CANCELLED = 0.15
"""Share of the jobs that their clients end."""
READ_PAUSE = 0.5
LOOK_PAUSE = 0.4


def whole_stream(request_id):
    """What an engine gives for an online request."""
    return b"".join(
        f"id: {number}\ndata: {request_id} part {number}\n\n".encode()
        for number in range(1, ONLINE.events + 1)
    )


class KeptConnection:
    """A client's connection to a node, used for one request after the other."""

    def __init__(self, node):
        self._conn = socket.create_connection(("127.0.0.1", node.front), timeout=2.0)
        self.usable = True
        self.answers = 0

    def ask(self, path, request_id):
        """Send a request and read its answer.

        Raises:
            OSError: the connection ended before a whole one.
        """
        self.usable = False
        head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        head += f"Deadline-Ms: {PATIENCE_MS}\r\nContent-Length: 0\r\n\r\n"
        self._conn.settimeout(PATIENCE_MS / 1000 + 4.0)
        self._conn.sendall(head.encode())
        data = b""
        while not (answer := parse_answer(data)).whole:
            part = self._conn.recv(65_536)
            if not part:
                raise OSError("the connection ended")
            data += part
        self.answers += 1
        self.usable = answer.headers.get("connection", "").lower() != "close"
        return answer

    def close(self):
        self._conn.close()


class Clients:
    """All traffic of one soak."""

    def __init__(self, fleet, promises, seed):
        self._fleet = fleet
        self._promises = promises
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self.requests = []
        self.jobs = []
        self.stopped = False
        self._ready = set()
        self._turns = itertools.count()
        self.fatal_nodes = {}
        """Where requests under which engines end were sent, by their ids."""
        fleet.send_fatal = self.send_fatal
        self.tenants = TenantClients(promises, seed, self._ask, self._node)
        self.stalling = StallingClients(promises, seed, self._stall_node)

    def start(self):
        """Start everybody."""
        for task in (self._send_online, self._send_jobs, self._look):
            gevent.spawn(task)
        for node in self._fleet.nodes[:KEEPING_NODES]:
            gevent.spawn(self._keep_connection, node)
        self.tenants.start()
        self.stalling.start()

    def _ask(self, node, path, method="POST", headers=(), body=b"", request_id=""):
        """Send one request and read what comes; an answer that is not whole has no status."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Connection: close", f"Content-Length: {len(body)}"]
        conn = socket.create_connection(("127.0.0.1", node.front), timeout=2.0)
        with contextlib.closing(conn):
            conn.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            with gevent.Timeout(PATIENCE_MS / 1000 + 4.0, OSError("no answer")):
                return read_answer(conn)

    def _stall_node(self):
        # The draws of others stay as they are.
        ready = [one for one in self._fleet.nodes if one.name in self._ready]
        return (ready or self._fleet.nodes)[next(self._turns) % len(ready or self._fleet.nodes)]

    def _node(self):
        ready = [one for one in self._fleet.nodes if one.name in self._ready]
        return self._random.choice(ready or self._fleet.nodes)

    # Online

    def _send_online(self):
        while not self.stopped:
            gevent.spawn(self._online, self._node(), self._random.random() < 0.5)
            gevent.sleep(self._random.expovariate(ONLINE_RATE * len(self._fleet.engines)))

    def _online(self, node, once):
        request_id = f"o-{next(self._numbers)}"
        req = Online(request_id, once, node.name, time.time(), expected=whole_stream(request_id))
        self.requests.append(req)
        path = ONCE_PATH if once else STREAM_PATH
        try:
            answer = self._ask(
                node, path, headers=[("Deadline-Ms", str(PATIENCE_MS))], request_id=request_id
            )
            req.status, req.body, req.whole = answer.status, answer.body, answer.whole
        except OSError:
            req.status = 0
        req.ended_at = time.time()
        self._promises.online_ended(req)

    def send_fatal(self, number):
        """Send a request under which engines end once more, to any node."""
        node, request_id = self._node(), f"f-{number}-{next(self._numbers)}"
        self.fatal_nodes[request_id] = node.name
        gevent.spawn(self._fatal, node, number, request_id)

    def _fatal(self, node, number, request_id):
        headers = [("Deadline-Ms", str(PATIENCE_MS))]
        body = FATAL + str(number).encode()
        with contextlib.suppress(OSError):
            path = f"{STREAM_PATH}fatal-{number}"
            self._ask(node, path, headers=headers, body=body, request_id=request_id)

    # A client that uses its connection until the process is gone

    def _keep_connection(self, node):
        while not self.stopped:
            with contextlib.suppress(OSError), contextlib.closing(KeptConnection(node)) as conn:
                while not self.stopped and conn.usable:
                    self._ask_kept(conn, node)
                    gevent.sleep(self._random.uniform(0.0, 2 * KEPT_PAUSE))
            gevent.sleep(KEPT_PAUSE)

    def _ask_kept(self, conn, node):
        request_id = f"o-{next(self._numbers)}"
        req = Online(request_id, True, node.name, time.time(), expected=whole_stream(request_id))
        req.kept = conn.answers > 0
        req.deadline = req.sent_at + PATIENCE_MS / 1000
        self.requests.append(req)
        try:
            with gevent.Timeout(PATIENCE_MS / 1000 + 4.0, OSError("no answer")):
                answer = conn.ask(ONCE_PATH, request_id)
            req.status, req.body, req.whole = answer.status, answer.body, answer.whole
        finally:
            req.ended_at = time.time()
            self._promises.online_ended(req)

    # Jobs

    def _send_jobs(self):
        while not self.stopped:
            gevent.spawn(self._job)
            gevent.sleep(JOB_PAUSE / len(self._fleet.engines))

    def _job(self):
        job_id = f"i-{next(self._numbers)}"
        items = [f"{job_id}-{number}" for number in range(JOB_ITEMS)]
        texts = {item: whole_text(item, ITEM.events) for item in items}
        job = Job(job_id, texts, time.time())
        self.jobs.append(job)
        if not self._submit(job):
            return
        if self._random.random() < CANCELLED:
            gevent.sleep(self._random.uniform(0.0, 3.0))
            self._cancel(job)
        while not job.finished:
            self._read(job)
            gevent.sleep(READ_PAUSE)
        # Somebody reads it once more, from the start.
        self._read(job, 0)

    def _submit(self, job):
        body, refusals = job_body(job.job_id, items=JOB_ITEMS), 0
        for tries in itertools.count(1):
            status = 0
            with contextlib.suppress(OSError):
                status = self._ask(
                    self._node(), BATCH_PATH + "x", body=body, request_id=job.job_id
                ).status
            if status == 202:
                job.accepted_at = time.time()
                return True
            refusals += status in NOT_RUN
            if tries == JOB_TRIES:
                job.refused = refusals == tries
                return False
            gevent.sleep(1.0)
        return False

    def _cancel(self, job):
        while not job.cancelled_at:
            with contextlib.suppress(OSError):
                answer = self._ask(self._node(), f"/api/lots/{job.job_id}", "DELETE")
                if answer.status == 200:
                    job.cancelled_at = time.time()
                    return
            gevent.sleep(READ_PAUSE)

    def _read(self, job, position=None):
        if position is None:
            known = len(job.positions)
            position = known if self._random.random() < 0.7 else self._random.randint(0, known)
        node, asked_at = self._node(), time.time()
        path = f"/api/lots/{job.job_id}?watchAfter={position}"
        try:
            answer = self._ask(node, path, "GET", [("Wait-Ms", "500")])
        except OSError:
            return
        if answer.status == 404:
            self._promises.page_missing(job, node.name, asked_at)
        if answer.status == 200 and answer.whole:
            self._promises.job_known()
            self._promises.page_read(job, node.name, position, json.loads(answer.body))

    # Who looks at nodes

    def _look(self):
        while not self.stopped:
            self._fleet.start_ended()
            for node in self._fleet.nodes:
                gevent.spawn(self._look_at, node, node.process.life)
            gevent.sleep(LOOK_PAUSE)

    def _look_at(self, node, life):
        ready = gevent.get_hub().threadpool.apply(self._fleet.is_ready, (node,))
        (self._ready.add if ready else self._ready.discard)(node.name)
        version, published_at, asked_at = self._fleet.version, self._fleet.published_at, time.time()
        try:
            conn = socket.create_connection(("127.0.0.1", node.metrics), timeout=1.0)
            with contextlib.closing(conn), gevent.Timeout(2.0, OSError("no answer")):
                conn.sendall(b"GET /status HTTP/1.0\r\n\r\n")
                answer = read_answer(conn)
        except OSError:
            return
        if answer.status != 200 or node.process.life != life:
            return
        revision = answer.document["configuration_revision"]
        self._promises.revision_seen(life, revision)
        since = published_at + CONFIGURED
        calm = self._promises.calm(published_at, time.time())
        if asked_at > since and calm and self._promises.in_touch(node.name, "", time.time()):
            self._promises.revision_due(node.name, revision, version, published_at)


def runs_in(folder: Path):
    """What engines told of their runs."""
    runs = []
    for log in sorted(folder.glob("e*.log")):
        for line in log.read_text(errors="replace").splitlines():
            if line.startswith('{"run"'):
                with contextlib.suppress(ValueError):
                    told = json.loads(line)
                    runs.append(
                        Run(told["run"], told["at"], told["waited"], told["items"], told["engine"])
                    )
    return runs
