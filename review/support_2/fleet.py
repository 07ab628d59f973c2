"""A small fleet: the project's nodes as processes, with the store and workers as stand-ins."""

import asyncio
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from support_2.http import request
from support_2.store import Store
from support_2.worker import Worker

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
SERVICE = "lm"
HOST = "model.example"
PORTS = (15000, 30000)
MOST_TIME = 114.0
"""Seconds after which a case is given up: a script may take 120 s."""
LOST, BROKEN, HELD = 2, 10, 0
"""Exit codes: the case couldn't run, the rule was broken, the rule held; see `run.sh`."""


class CaseError(Exception):
    """The case can't run."""


def is_free(port):
    """Whether a port is free for TCP and UDP."""
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((LOOPBACK, port))
    except OSError:
        return False
    return True


def free_ports(count=1):
    """Return the first of some adjacent free ports.

    They lie below those that connections get by themselves: a process that starts again must find
    its ports free.
    """
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        if all(is_free(port + number) for number in range(count)):
            return port


class Node:
    """One node process, started with the command of the deploy file."""

    def __init__(self, name, zone, settings, folder):
        self.name, self.zone = name, zone
        first = free_ports(4)
        self.front, self.ready = f"{LOOPBACK}:{first + 2}", f"{LOOPBACK}:{first + 3}"
        self._path = folder / f"{name}.yaml"
        document = {
            "node": name, "role": "node", "machineClass": "front", "serves": ["front"],
            "ip": LOOPBACK, "zone": zone, "region": "r", "zones": {zone: "r"},
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": [first, first + 1], "seeds": [], "bootstrap": True,
            "inTolerance": False, "dataDir": None, "discovery": "platform",
            "entry": "virtual_ip", "heartbeatMs": 1200, **settings,
        }  # fmt: skip
        # The template of the deploy file gives all fields as JSON.
        self._path.write_text(json.dumps(document))
        self._log = folder / f"{name}.log"
        self.process = None

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "POSTVALVE_CONFIG": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Whether the node says that it is ready."""
        answer = await request(self.ready, "GET", "/api/readiness", [], timeout=1.0)
        return answer.status == 200

    def memory_mb(self):
        """Return the resident memory of the process in MB; 0 if it doesn't run."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return next((int(one.split()[1]) / 1024 for one in lines if one.startswith("VmRSS")), 0.0)


class Fleet:
    """Nodes, workers and store of one case."""

    def __init__(self, *, seed, bounds, zones=("a",), memory_mb=330, parts=8):
        self.started = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store(seed)
        self.zones = zones
        self._store_port = free_ports()
        self._settings = {
            "bounds": bounds,
            "limits": {"memoryMb": memory_mb, "maxFds": 8200},
            "platform": {
                "address": f"{LOOPBACK}:{self._store_port}", "form": "log", "writes_per_s": 800,
                "reads_per_s": 2000, "parts": parts, "append_ms": 4.0, "record_bytes": 262144,
                "call_bytes": 2097152, "keepS": 300, "part_mb": 200,
            },
        }  # fmt: skip
        self.nodes, self.workers = [], []

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self.started

    async def start(self, configuration, *, nodes, workers, slots, event_time, queue=48):
        """Start the store, the workers and the nodes, and wait until all nodes are ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CaseError("the build of the deploy file has not run")
        await self.store.start(LOOPBACK, self._store_port)
        self.store.write("keyed.op", "config", configuration)
        for number in range(workers):
            worker = Worker(f"w{number}", slots, event_time, self.now, queue=queue)
            await worker.start(LOOPBACK, free_ports())
            zone = self.zones[number % len(self.zones)]
            self.store.write("keyed.servers", worker.name, worker.entry(SERVICE, zone))
            self.workers.append(worker)
        for _ in range(nodes):
            self.add_node()
        await self.wait_ready(self.nodes)

    def add_node(self):
        """Start one more node."""
        number = len(self.nodes)
        zone = self.zones[number % len(self.zones)]
        node = Node(f"front-{number}", zone, self._settings, self.folder)
        node.start()
        self.nodes.append(node)
        return node

    async def wait_ready(self, nodes, timeout=30.0):
        """Wait until nodes are ready."""
        deadline = self.now() + timeout
        while not all([await node.is_ready() for node in nodes]):
            if self.now() > deadline:
                raise CaseError("the nodes didn't become ready")
            await asyncio.sleep(0.2)

    @property
    def runs(self):
        """All runs at all workers, by time."""
        return sorted(run for worker in self.workers for run in worker.runs)

    def finished(self, request_id):
        """Whether some worker has run a request to its end."""
        return any(request_id in worker.finished for worker in self.workers)

    def stop(self):
        """Kill all processes that this fleet started; `CASE_LOGS` names a folder for their logs."""
        for node in self.nodes:
            node.kill()
        if folder := os.environ.get("CASE_LOGS"):
            shutil.copytree(self.folder, folder, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, **terms):
    """Return a route of the configuration."""
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": 5000,
        "targetLatencyMs": 400, "priority": 0, "service": SERVICE, "maxAttempts": 3,
        "resumable": kind != "unsafe", "gapAimMs": 300, "stickySessions": True, **terms,
    }  # fmt: skip


def configuration(routes, *, version=3, slots=6, tenants=None):
    """Return a configuration of the operator."""
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": SERVICE, "healthPath": "/health", "maxConnections": 420,
                "engine": {"slots": slots, "kvTokens": 108000},
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }  # fmt: skip
    return document | ({"tenants": tenants} if tenants is not None else {})


def run_case(case, folder):
    """Run `case(trouble, record)`, which returns an exit code; write the record, and exit."""
    lines = []

    def record(**fields):
        lines.append(json.dumps(fields))

    # Connections that are open at the end are cut, which asyncio would report one by one.
    logging.getLogger("asyncio").disabled = True
    # Ends the processes of the case too, as the case then ends by this exception.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(LOST))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = LOST
    try:
        code = asyncio.run(_bounded(case(trouble, record)))
    except CaseError as error:
        record(couldnt_run=str(error))
    except Exception as error:  # this is no broken rule
        record(couldnt_run=repr(error))
    finally:
        # Also where the case is ended by a signal.
        Path(folder, "record.txt").write_text("\n".join(lines) + "\n")
    print(lines[-1] if lines else "nothing recorded")
    raise SystemExit(code)


async def _bounded(case):
    async with asyncio.timeout(MOST_TIME):
        return await case
