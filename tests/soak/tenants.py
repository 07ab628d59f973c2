"""Tenants of the soak: one that sends far beyond its limit, one far below, two that compete inside
theirs, and an unknown key."""

import contextlib
import itertools
import random
from collections import Counter

import gevent

from tests.gateway_support import STREAM_PATH

RATE, BURST = 1.0, 1.0
"""Of the limited tenant: requests a second, and on top."""
FLOOD_RATE = 12.0
"""Requests a second that it sends, to any nodes."""
LARGE_RATE = 1_000.0
OTHER_INTERVAL = 0.5
"""Seconds between requests of the two others."""
COMPETING_RATE = 20.0
"""Requests a second that each of two tenants may send."""
BUSY_RATE = 8.0
"""Requests a second that one of them sends; the other one four times fewer."""
MIN_SERVED_RATIO = 0.25
"""Of the share that all tenants get served of what they may send, that each gets."""
MIN_REQUESTS = 20
"""Requests from which a tenant's share says something."""
WINDOW, OVER, SLACK = 5.0, 1.1, 20.0
"""Seconds, factor and requests within which a limit must hold: what nodes are set to."""
TENANTS = [
    {"name": "limited", "apiKeys": ["limited-key"], "ratePerS": RATE, "burst": BURST},
    {"name": "large", "apiKeys": ["large-key"], "ratePerS": LARGE_RATE, "burst": LARGE_RATE},
    *(
        {"name": name, "apiKeys": [f"{name}-key"], "ratePerS": COMPETING_RATE, "burst": 20.0}
        for name in ("busy", "quiet")
    ),
]
DEADLINE_MS = 2_000


def most_in_window(times):
    """The most of these times, in seconds, that lie in one window."""
    times = sorted(times)
    most = first = 0
    for last, time in enumerate(times):
        while times[first] < time - WINDOW:
            first += 1
        most = max(most, last - first + 1)
    return most


class TenantClients:
    """What tenants send, and what must hold of it."""

    def __init__(self, invariants, seed, send_request, pick_node):
        """Set up; `ask` sends a request to a node, `pick` chooses one."""
        self._invariants = invariants
        self._random = random.Random(seed)
        self._send_request = send_request
        self._pick_node = pick_node
        self._numbers = itertools.count()
        self.stopped = False
        self.enabled = True
        """Whether all builds that run know tenants."""
        self.statuses = {}
        """Of each answer, by the request's id."""

    def start(self):
        if not self.enabled:
            return
        gevent.spawn(self._send, "limited", lambda: self._random.expovariate(FLOOD_RATE))
        gevent.spawn(self._send, "busy", lambda: self._random.expovariate(BUSY_RATE))
        for tenant in ("large", "quiet", "unknown"):
            gevent.spawn(self._send, tenant, lambda: OTHER_INTERVAL)

    def _send(self, tenant, pause):
        while not self.stopped:
            request_id = f"t-{tenant}-{next(self._numbers)}"
            gevent.spawn(self._run_request, self._pick_node(), tenant, request_id)
            gevent.sleep(pause())

    def _run_request(self, node, tenant, request_id):
        headers = [("Api-Key", f"{tenant}-key"), ("Deadline-Ms", str(DEADLINE_MS))]
        with contextlib.suppress(OSError):
            path = STREAM_PATH + "tenant"
            answer = self._send_request(node, path, headers=headers, request_id=request_id)
            self.statuses[request_id] = answer.status

    def check(self, runs):
        """Check what engines began to run."""
        if not self.enabled:
            return
        first = {}
        for run in sorted(runs, key=lambda one: one.arrived_at):
            if run.request_id.startswith("t-"):
                first.setdefault(run.request_id, run.arrived_at)
        self._check_shares()
        self._check_limit([at for name, at in first.items() if name.startswith("t-limited-")])
        for request_id, status in self.statuses.items():
            if request_id.startswith("t-unknown-"):
                detail = f"{request_id}: {status}"
                passed = status in (401, 503, 0) and request_id not in first
                self._invariants.check("an unknown key runs nothing", passed, detail)
            if status == 429:
                below = request_id.startswith("t-large-")
                self._invariants.check(
                    "no tenant is refused below its limit", not below, request_id
                )
                detail = f"{request_id} was told 429 and ran"
                self._invariants.check('"not run" is true', request_id not in first, detail)

    def _check_shares(self):
        sent, served = Counter(), Counter()
        for request_id, status in self.statuses.items():
            tenant = request_id.split("-")[1]
            if tenant != "unknown" and status != 429:
                sent[tenant] += 1
                served[tenant] += status == 200
        total = sum(served.values()) / max(1, sum(sent.values()))
        for tenant, count in sent.items():
            if count >= MIN_REQUESTS:
                share = served[tenant] / count
                detail = f"{tenant}: {share:.2f} of {count}, all: {total:.2f}"
                passed = share >= MIN_SERVED_RATIO * total
                self._invariants.check("nobody is served a quarter as often as all", passed, detail)

    def _check_limit(self, times):
        allowed = (RATE * WINDOW + BURST) * OVER + SLACK
        most = most_in_window(times)
        detail = f"{most} requests in {WINDOW} s, {allowed:.0f} allowed"
        self._invariants.check("a tenant stays within its limit", most <= allowed, detail)
