"""The command line of the soak."""

import argparse
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import gevent

from tests.ports import take_ports
from tests.soak.clients import Clients, runs_in
from tests.soak.faults import KINDS, REBORN_KINDS, schedule
from tests.soak.fleet import ENGINES, NODES, Fleet
from tests.soak.promises import CALM_AFTER, Promises

PUBLISH_PAUSE = 7.0
"""Seconds between two versions of the configuration."""
LAST_JOBS = 60.0
"""Seconds after the last fault within which every job must end."""
PROGRESS_PAUSE = 10.0
SEEDS = Path(__file__).with_name("seeds.txt")
"""Seeds that once broke a promise."""


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
        started = told = published = time.monotonic()
        faults, strikes = schedule(self.seed, self.seconds, self.kinds), []
        while (now := time.monotonic()) < started + self.seconds:
            while faults and now >= started + faults[0].at:
                strikes.append(gevent.spawn(self.fleet.strike, faults.pop(0)))
            if now >= published + PUBLISH_PAUSE:
                published = now
                gevent.spawn(self.fleet.publish)
            if now >= told + PROGRESS_PAUSE:
                told = now
                self._report_progress(now - started)
            gevent.sleep(0.05)
        gevent.joinall(strikes, timeout=30.0)
        gevent.sleep(CALM_AFTER)
        self.clients.stopped = self.clients.tenants.stopped = self.clients.stalling.stopped = True
        self._await_jobs()

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


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--minutes", type=float, default=3.0)
    parser.add_argument("--seed", type=int, help="drawn, and told, if not given")
    parser.add_argument("--faults", default=",".join(KINDS), help="kinds, by commas")
    parser.add_argument("--keep", type=Path, help="where logs go when something broke")
    parser.add_argument(
        "--seeds", action="store_true", help="every seed of seeds.txt, one after the other"
    )
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--engines", type=int, default=ENGINES)
    parser.add_argument("--runs", type=int, default=1, help="so many seeds that follow --seed")
    parser.add_argument(
        "--ports", help="FIRST-LAST, for soaks beside each other; each takes some hundred"
    )
    arguments = parser.parse_args()
    if arguments.ports:
        take_ports(*map(int, arguments.ports.split("-")))
    kinds = [kind for kind in arguments.faults.split(",") if kind]
    unknown = sorted(set(kinds) - KINDS.keys())
    if unknown or not kinds:
        parser.error(f"unknown faults {unknown}; there are: {', '.join(KINDS)}")
    drawn = arguments.seed if arguments.seed is not None else random.randrange(10**6)
    seeds = failed_seeds() if arguments.seeds else range(drawn, drawn + arguments.runs)
    if arguments.seeds:
        kinds = [kind for kind in kinds if kind not in REBORN_KINDS]
    held = [run(seed, kinds, arguments) for seed in seeds]
    print(f"{sum(held)} of {len(held)} seeds held", flush=True)
    sys.exit(0 if all(held) else 1)


def failed_seeds():
    """Seeds that once broke a promise; each line of the file is a seed and its cause."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    return [int(line.split(",")[0]) for line in lines if line and not line.startswith("#")]


def run(seed, kinds, arguments):
    """Run one seed and tell of it; returns whether every promise held."""
    minutes, keep = arguments.minutes, arguments.keep
    folder = Path(tempfile.mkdtemp(prefix="postvalve-soak-"))
    soak = Soak(seed, minutes * 60, kinds, folder, nodes=arguments.nodes, engines=arguments.engines)
    try:
        promises = soak.run()
    except KeyboardInterrupt:
        sys.exit(f"ended by the keyboard; logs in {folder}")
    print(soak.report(), flush=True)
    if not promises.broken:
        shutil.rmtree(folder)
        return True
    kept = keep or Path(f"{folder}-seed-{seed}")
    shutil.move(folder, kept)
    print(f"logs are in {kept}; again: --seed {seed} --minutes {minutes}", flush=True)
    return False


if __name__ == "__main__":
    main()
