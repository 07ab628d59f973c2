"""Nodes of postvalve as processes, with the settings of a small deployment on loopback."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
from pathlib import Path

from support.http import call
from support.record import Record
from support.store import Store

ROOT = Path(__file__).resolve().parents[2]
RUN = ("python3", "-m", "postvalve.startup")
"""The command of the role in `deploy/system.toml`."""
READY_TIMEOUT = 30.0
"""Seconds within which the nodes must be ready; else the case can't run."""


class CannotRunError(Exception):
    """The case can't run here."""


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def free_port_range() -> list[int]:
    """Return the first and the last of some adjacent free ports."""
    for _ in range(200):
        (first,) = free_ports(1)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + 4):
                stack.enter_context(socket.socket()).bind(("127.0.0.1", port))
            return [first, first + 3]
    raise CannotRunError("no adjacent free ports")


class Node:
    """One node process."""

    def __init__(self, name: str, store_port: int, folder: Path, record: Record):
        self.name = name
        self._record = record
        self._folder = folder
        self.front, self.ready, control = free_ports(3)
        self._settings = folder / f"{name}.json"
        self._settings.write_text(json.dumps(self._document(control, store_port)))
        self._process: subprocess.Popen[bytes] | None = None

    def _document(self, control: int, store_port: int) -> dict[str, object]:
        return {
            "node": self.name,
            "role": "node",
            "machineClass": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
                "control": f"127.0.0.1:{control}",
            },
            "portRange": free_port_range(),
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {"cpuShare": 0.717, "cores": 3, "memoryMb": 320, "maxFds": 8200},
            "dataDir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeatMs": 1200,
            "bounds": {
                "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.5,
                "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000,
                "rollbackSlackMs": 250, "outerMs": 5000, "recoverS": 12, "passMs": 120,
                "againS": 0, "finishS": 18, "statusS": 120, "cancelMs": 3000, "settleMs": 1000,
                "quotaOver": 0.1,
            },
            "platform": {
                "address": f"127.0.0.1:{store_port}", "form": "log", "writes_per_s": 800,
                "reads_per_s": 2000, "parts": 8, "append_ms": 4.0, "part_mb_per_s": 20.0,
                "read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
                "keepS": 300, "part_mb": 200, "ttl_min_ms": 1000,
            },
        }  # fmt: skip

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = f"{ROOT / '.venv' / 'bin'}{os.pathsep}{os.environ.get('PATH', '')}"
        env = {"PATH": path, "HOME": str(self._folder), "LANG": "C.UTF-8"}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                RUN,
                cwd=ROOT,
                env=env | {"POSTVALVE_CONFIG": str(self._settings)},
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self._record.write(f"node {self.name} starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.write(f"node {self.name} gets {number.name}")
        self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            self._process.wait()

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    async def is_ready(self) -> bool:
        """Whether the readiness address answers 200."""
        asked = await call(self.ready, "GET", "/api/readiness", [("Host", "ready")], timeout=1.0)
        return asked.answer is not None and asked.answer.status == 200

    def log_text(self) -> str:
        """Return what the node has logged."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class Deployment:
    """A store and some nodes."""

    def __init__(self, record: Record):
        self.record = record
        self.store = Store()
        self.nodes: list[Node] = []
        self._folder = tempfile.TemporaryDirectory(prefix="postvalve-review-")

    @property
    def folder(self) -> Path:
        """The temporary folder of this run."""
        return Path(self._folder.name)

    async def start(self, nodes: int, configuration: dict[str, object]) -> None:
        """Start the store, put the configuration there, and start nodes.

        Raises:
            CannotRunError: There is no built environment.
        """
        if not (ROOT / ".venv" / "bin" / "python3").exists():
            raise CannotRunError("there is no .venv: run `make setup` first")
        await self.store.start()
        self.store.put("keyed.op", "config", configuration)
        for number in range(1, nodes + 1):
            node = Node(f"front-{number}", self.store.port, self.folder, self.record)
            self.nodes.append(node)
            node.start()

    async def wait_ready(self) -> None:
        """Wait until all nodes call themselves ready.

        Raises:
            CannotRunError: They aren't in time.
        """
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT
        for node in self.nodes:
            while not await node.is_ready():
                if asyncio.get_running_loop().time() > deadline or node.ended:
                    raise CannotRunError(f"node {node.name} isn't ready")
                await asyncio.sleep(0.1)
        self.record.write("all nodes are ready")

    def stop(self) -> None:
        """End all processes that were started, and remove the folder."""
        for node in self.nodes:
            node.end()
        self._folder.cleanup()
