"""Tenants of the soak.

One sends far above its limit and one far below it, two compete for engines within their limits,
and one uses an unknown key.
"""

import contextlib
import itertools
import random
from collections import Counter

import gevent

from tests.gateway_support import STREAM_PATH

RATE, BURST = 1.0, 1.0
"""Limit of the limited tenant: requests per second, and burst."""
FLOOD_RATE = 12.0
"""Requests per second that the limited tenant sends, to random nodes."""
LARGE_RATE = 1_000.0
OTHER_INTERVAL = 0.5
"""Seconds between requests of each of the tenants that send at a fixed interval."""
COMPETING_RATE = 20.0
"""Requests per second that each of the two competing tenants may send."""
BUSY_RATE = 8.0
"""Requests per second that one competing tenant sends; the other sends a quarter of them."""
MIN_SERVED_RATIO = 0.25
"""Minimum share of a tenant's requests that are served, relative to the share of all tenants."""
MIN_REQUESTS = 20
"""Requests from which the served share of a tenant is significant."""
WINDOW, OVER, SLACK = 5.0, 1.1, 20.0
"""Bounds within which a limit must hold, as nodes are configured: the length of the window in
seconds, the factor, and the additional requests."""
TENANTS = [
    {"name": "limited", "apiKeys": ["limited-key"], "ratePerS": RATE, "burst": BURST},
    {"name": "large", "apiKeys": ["large-key"], "ratePerS": LARGE_RATE, "burst": LARGE_RATE},
    *(
        {"name": name, "apiKeys": [f"{name}-key"], "ratePerS": COMPETING_RATE, "burst": 20.0}
        for name in ("busy", "quiet")
    ),
]
DEADLINE_MS = 2_000


def max_in_window(times):
    """Count the largest number of `times`, in seconds, that lie within one window."""
    times = sorted(times)
    largest = first = 0
    for last, time in enumerate(times):
        while times[first] < time - WINDOW:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


class TenantClients:
    """Sends the requests of all tenants, and checks the answers and runs."""

    def __init__(self, invariants, seed, send_request, pick_node):
        """Create the clients.

        `send_request` sends a request to a node, and `pick_node` returns a node.
        """
        self._invariants = invariants
        self._random = random.Random(seed)
        self._send_request = send_request
        self._pick_node = pick_node
        self._numbers = itertools.count()
        self.stopped = False
        self.enabled = True
        """Whether all running builds support tenants."""
        self.statuses = {}
        """Status of each answer, by request id."""

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
        """Check the runs of engines and the answers against the limits of tenants."""
        if not self.enabled:
            return
        first = {}
        for run in sorted(runs, key=lambda run: run.arrived_at):
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
                detail = f"{request_id} was answered with 429 and ran"
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
        most = max_in_window(times)
        detail = f"{most} requests in {WINDOW} s, {allowed:.0f} allowed"
        self._invariants.check("a tenant stays within its limit", most <= allowed, detail)
