"""Starts a fleet on loopback: emulated platform, emulated engines, and nodes.

As a program, it runs in the foreground until interrupted; tests and the demo use the class.
All processes are terminated by process id, also if the start fails halfway.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from scripts.ports import HOST, free_port

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT = 30.0
"""Seconds within which a fleet must become ready."""
STOP_TIMEOUT = 5.0
"""Seconds that processes have to exit before they are killed."""
DEMO_KEY_PREFIX = "sk-demo-"


@dataclass(frozen=True)
class Shape:
    """Size of a fleet, its example configuration, its model and tenants."""

    configuration: str
    model: str
    tenants: tuple[str, ...]
    zones: int
    engines: int
    nodes_per_zone: int = 2


SHAPES = {
    "apcf": Shape("apcf.toml", "price-analysis", ("member-desk", "pricing"), 3, 6),
    "libranza": Shape("libranza.toml", "ledger-assistant", ("retail-group", "accountants"), 4, 9),
    "bench": Shape(
        "apcf.toml", "price-analysis", ("member-desk", "pricing"), 1, 1, nodes_per_zone=1
    ),
    "small": Shape(
        "apcf.toml", "price-analysis", ("member-desk", "pricing"), 1, 2, nodes_per_zone=2
    ),
}


@dataclass
class NodeAddress:
    """A node's id, zone and listen addresses."""

    node_id: str
    zone: str
    http: str
    peer: str


@dataclass
class Fleet:
    """A running fleet and its processes."""

    shape: Shape
    log_directory: Path | None = None
    engine_flags: tuple[str, ...] = ()
    node_settings: str = ""
    machine_lag: float = 0.2
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    nodes: list[NodeAddress] = field(default_factory=list)
    engines: dict[str, str] = field(default_factory=dict)
    settings_directory: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory
    )
    log_url: str = ""
    machines_url: str = ""

    @property
    def gateways(self) -> list[str]:
        """Base URLs of the nodes."""
        return [f"http://{node.http}" for node in self.nodes]

    @property
    def api_keys(self) -> dict[str, str]:
        """API keys of the tenants in the example configurations."""
        return {tenant: DEMO_KEY_PREFIX + tenant for tenant in self.shape.tenants}

    @property
    def operator_key(self) -> str:
        """API key of the operator in the example configurations."""
        return DEMO_KEY_PREFIX + "operator"

    def start(self) -> None:
        """Start all processes, and wait until all nodes know all engines."""
        try:
            self._start_platform()
            self._start_engines()
            self._publish()
            for zone in range(self.shape.zones):
                for number in range(self.shape.nodes_per_zone):
                    self._allocate_node(f"zone-{zone}", f"node-{zone}-{number}")
            self._register()
            for node in self.nodes:
                self.start_node(node)
            self.wait_ready()
        except BaseException:
            self.stop()
            raise

    def _start_platform(self) -> None:
        log = free_address()
        machines = free_address()
        self.log_url = f"http://{log}"
        self.machines_url = f"http://{machines}"
        self.spawn("log", "emulate", "log", "--listen", log)
        lag = str(self.machine_lag)
        self.spawn("machines", "emulate", "machines", "--listen", machines, "--lag", lag)
        wait_until(lambda: is_listening(log) and is_listening(machines), "platform")

    def _start_engines(self) -> None:
        for number in range(self.shape.engines):
            self.start_engine(f"engine-{number}")
        wait_until(lambda: all(map(is_listening, self.engines.values())), "engines")

    def start_engine(self, name: str) -> None:
        """Start or restart an engine, at the same address each time."""
        address = self.engines.setdefault(name, free_address())
        self.spawn(
            name,
            *("emulate", "engine", "--listen", address, "--model", f"{self.shape.model}=1"),
            *self.engine_flags,
        )

    def _publish(self) -> None:
        configuration = ROOT / "examples" / self.shape.configuration
        command = ["config", "apply", str(configuration), "--log-url", self.log_url]
        subprocess.run(postvalve(*command), check=True, stdout=subprocess.DEVNULL)

    def _allocate_node(self, zone: str, node_id: str) -> None:
        self.nodes.append(NodeAddress(node_id, zone, free_address(), free_address()))

    def _register(self) -> None:
        machines: list[dict[str, Any]] = [
            {
                "machine_id": node.node_id,
                "kind": "node",
                "address": node.peer,
                "zone": node.zone,
            }
            for node in self.nodes
        ]
        for number, (name, address) in enumerate(self.engines.items()):
            zone = f"zone-{number % self.shape.zones}"
            machines.append(
                {"machine_id": name, "kind": "engine", "address": address, "zone": zone}
            )
        self.put_machines(machines)

    def put_machines(self, machines: list[dict[str, Any]]) -> None:
        """Add or change machines on the platform's machine list."""
        request_json(f"{self.machines_url}/machines", "PUT", machines)

    def start_node(self, node: NodeAddress) -> None:
        """Start or restart a node at its address."""
        flags = [
            *("--node-id", node.node_id, "--zone", node.zone, "--listen", node.http),
            *("--peer-listen", node.peer, "--log-url", self.log_url),
            *("--machine-list-url", self.machines_url),
        ]
        if self.node_settings:
            path = Path(self.settings_directory.name) / f"{node.node_id}.toml"
            path.write_text(self.node_settings, encoding="utf-8")
            flags += ["--config", str(path)]
        self.spawn(node.node_id, "node", *flags)

    def spawn(self, name: str, *arguments: str) -> None:
        """Start a `postvalve` process, with its output in the log directory if there is one."""
        output: Any = subprocess.DEVNULL
        if self.log_directory is not None:
            output = (self.log_directory / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            postvalve(*arguments), stdout=output, stderr=output, start_new_session=True
        )
        if self.log_directory is not None:
            output.close()

    def wait_ready(self) -> None:
        """Wait until every running node knows all nodes and all engines."""
        running = [node for node in self.nodes if self.is_running(node.node_id)]
        wait_until(lambda: all(self._knows_all(node, len(running)) for node in running), "nodes")

    def _knows_all(self, node: NodeAddress, nodes: int) -> bool:
        status = self.status(node)
        if status is None:
            return False
        alive = [entry for entry in status["nodes"] if entry["state"] == "alive"]
        engines = {engine["engine_id"] for entry in alive for engine in entry["engines"]}
        return len(alive) >= nodes and len(engines) >= self.shape.engines

    def status(self, node: NodeAddress) -> dict[str, Any] | None:
        """Return the status document of a node, or None if it does not answer."""
        request = urllib.request.Request(
            f"http://{node.http}/status",
            headers={"Authorization": f"Bearer {self.operator_key}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=2) as response:
                document: dict[str, Any] = json.load(response)
                return document
        except OSError:
            return None

    def is_running(self, name: str) -> bool:
        """Return whether a process is running."""
        return self.processes[name].poll() is None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """Terminate all processes, nodes first, and kill those that do not exit in time."""
        order = sorted(self.processes, key=lambda name: not name.startswith("node"))
        for name in order:
            if self.is_running(name):
                self.signal(name, signal.SIGCONT)
                self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT
        for process in self.processes.values():
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.settings_directory.cleanup()

    def description(self) -> dict[str, Any]:
        """Return what clients need: URLs, keys, the model, and process ids."""
        return {
            "gateways": self.gateways,
            "api_keys": self.api_keys,
            "model": self.shape.model,
            "processes": {name: process.pid for name, process in self.processes.items()},
            "log_url": self.log_url,
            "operator_key": self.operator_key,
        }


def postvalve(*arguments: str) -> list[str]:
    """Return the command line of a `postvalve` process."""
    return [sys.executable, "-m", "postvalve.cli.main", *arguments]


def free_address() -> str:
    """Return a free loopback address that no other fleet or test uses."""
    return f"{HOST}:{free_port()}"


def is_listening(address: str) -> bool:
    """Return whether an address accepts connections."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True


def wait_until(
    condition: Callable[[], bool], condition_name: str, timeout: float = START_TIMEOUT
) -> None:
    """Wait until a condition is true.

    Raises:
        TimeoutError: It is still false after `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{condition_name}: not ready within {timeout:.0f} s")
        time.sleep(0.05)


def request_json(url: str, method: str, document: Any) -> Any:
    """Send a JSON document and return the JSON response."""
    request = urllib.request.Request(
        url,
        data=json.dumps(document).encode("utf-8"),
        headers={"Content-Type": "application/json"},
        method=method,
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.load(response)


def main() -> int:
    """Run a fleet in the foreground."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shape", choices=sorted(SHAPES), default="apcf")
    parser.add_argument("--logs", type=Path, help="directory for the output of the processes")
    arguments = parser.parse_args()
    if arguments.logs:
        arguments.logs.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(SHAPES[arguments.shape], arguments.logs)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        fleet.start()
        print(json.dumps(fleet.description()), flush=True)
        while True:
            signal.pause()
    except KeyboardInterrupt:
        return 0
    finally:
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        fleet.stop()


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    sys.exit(main())
