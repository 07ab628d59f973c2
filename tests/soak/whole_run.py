"""One run of the soak: a fleet, its clients, and the faults that befall it."""

import time
from collections import Counter

import gevent

from tests.soak.clients import Clients, runs_in
from tests.soak.faults import schedule
from tests.soak.fleet import ENGINES, NODES, Fleet
from tests.soak.promises import CALM_AFTER, Promises

PUBLISH_PAUSE = 7.0
"""Seconds between two versions of the configuration."""
LAST_JOBS = 60.0
"""Seconds after the last fault within which every job must end."""
PROGRESS_PAUSE = 10.0


class Soak:
    """One run."""

    def __init__(self, seed, seconds, kinds, folder, tell=print, *, nodes=NODES, engines=ENGINES):
        self.seed = seed
        self.seconds = seconds
        self.kinds = kinds
        self.folder = folder
        self._tell = tell
        self.promises = Promises()
        self.fleet = Fleet(folder, self.promises, nodes, engines)
        self.clients = Clients(self.fleet, self.promises, seed)

    def run(self):
        """Run it, and end all processes whatever happens; returns the promises."""
        try:
            self.fleet.start()
            self._play()
        finally:
            self.fleet.stop()
        runs = runs_in(self.folder)
        self.promises.runs_seen(runs, self.clients.requests, self.clients.jobs)
        self.promises.fatal_seen(runs, self.clients.fatal_nodes)
        self.clients.tenants.check(runs)
        self.promises.served_beside_fatal(self.clients.requests)
        self.promises.jobs_ended(self.clients.jobs)
        self.promises.stops_ended(self.clients.requests)
        return self.promises

    def _play(self):
        self.clients.start()
        beside = gevent.spawn(self.run_beside)
        started = told = published = time.monotonic()
        faults, strikes = schedule(self.seed, self.seconds, self.kinds), []
        while (now := time.monotonic()) < started + self.seconds or not beside.dead:
            while faults and now >= started + faults[0].at:
                strikes.append(gevent.spawn(self.fleet.strike, faults.pop(0)))
            if now >= published + PUBLISH_PAUSE:
                published = now
                gevent.spawn(self.fleet.publish)
            if now >= told + PROGRESS_PAUSE:
                told = now
                self._report_progress(now - started)
            gevent.sleep(0.05)
        beside.get()
        gevent.joinall(strikes, timeout=30.0)
        gevent.sleep(CALM_AFTER)
        self.clients.stopped = self.clients.tenants.stopped = self.clients.stalling.stopped = True
        self._await_jobs()

    def run_beside(self):
        """What else goes on from the start of the traffic; the run lasts as long at the least."""

    def _await_jobs(self):
        deadline = time.monotonic() + LAST_JOBS
        while time.monotonic() < deadline:
            if all(job.finished for job in self.clients.jobs if job.accepted_at):
                break
            gevent.sleep(0.2)
        gevent.sleep(1.0)

    def _report_progress(self, seconds):
        ended = sum(1 for req in self.clients.requests if req.ended_at)
        done = sum(1 for job in self.clients.jobs if job.finished)
        self._tell(
            f"{seconds:6.0f} s: {ended} requests, {done} of {len(self.clients.jobs)} jobs,"
            f" {len(self.fleet.spans)} faults, {sum(self.promises.checked.values())} checks,"
            f" {len(self.promises.broken)} broken"
        )

    def report(self):
        """What was sent, what befell it, and what was checked."""
        requests, jobs = self.clients.requests, self.clients.jobs
        stalling = Counter(f"{req.status}" for req in self.clients.stalling.requests)
        statuses = Counter(f"{req.status}" + ("" if req.whole else " cut") for req in requests)
        accepted = sum(1 for job in jobs if job.accepted_at)
        lines = [
            f"seed {self.seed}, {self.seconds:.0f} s",
            f"requests {len(requests)}: {dict(sorted(statuses.items()))}",
            f"of clients that stall {dict(sorted(stalling.items()))}",
            f"of tenants {dict(sorted(Counter(self.clients.tenants.statuses.values()).items()))}",
            f"jobs {len(jobs)}: {accepted} accepted,"
            f" {sum(1 for job in jobs if job.cancelled_at)} cancelled,"
            f" {sum(1 for job in jobs if job.refused)} refused",
            f"faults {dict(sorted(Counter(span.kind for span in self.fleet.spans).items()))}",
            *(f"checked {count:6} times: {name}" for name, count in self.promises.checked.items()),
            *(f"BROKEN {told}" for told in self.promises.broken[:20]),
            f"{len(self.promises.broken)} broken",
        ]
        return "\n".join(lines)
