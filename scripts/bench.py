"""Starts the processes that the benchmarks need, and runs all benchmarks."""

from __future__ import annotations

import signal
import subprocess
import sys

from scripts.fleet import SHAPES, Fleet, free_address, is_listening, postvalve, wait_until

ENGINE_FLAGS = ("--slots", "128", "--step-per-sequence", "0")
"""Flags for an engine that makes 100 steps per second at any load, for a constant chunk rate."""


def bench_relay(fleet: Fleet) -> int:
    """Compare a node with a plain socket relay; returns the exit code."""
    engine = fleet.engines["engine-0"]
    relay = free_address()
    fleet.spawn("relay", "emulate", "relay", "--listen", relay, "--target", engine)
    wait_until(lambda: is_listening(relay), "relay")
    tenant = fleet.shape.tenants[0]
    command = postvalve(
        *("bench", "relay", "--engine", f"http://{engine}", "--relay", f"http://{relay}"),
        *("--relay-pid", str(fleet.processes["relay"].pid), "--node", fleet.gateways[0]),
        *("--node-pid", str(fleet.processes[fleet.nodes[0].node_id].pid)),
        *("--key", fleet.api_keys[tenant], "--model", fleet.shape.model),
        *sys.argv[1:],
    )
    return subprocess.run(command).returncode


def bench_slopes(fleet: Fleet) -> int:
    """Measure the cost slopes, including those of a running node; returns the exit code."""
    tenant = fleet.shape.tenants[0]
    command = postvalve(
        *("bench", "slopes", "--node", fleet.gateways[0], "--key", fleet.api_keys[tenant]),
        *("--node-pid", str(fleet.processes[fleet.nodes[0].node_id].pid)),
        *("--model", fleet.shape.model),
    )
    return subprocess.run(command).returncode


def bench_readers() -> int:
    """Measure how much slow clients delay the others; returns the exit code."""
    return subprocess.run([sys.executable, "-m", "tests.bench_readers"]).returncode


def main() -> int:
    """Run all benchmarks."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    fleet = Fleet(SHAPES["bench"], engine_flags=ENGINE_FLAGS)
    try:
        fleet.start()
        failed = bench_relay(fleet) or bench_slopes(fleet)
    finally:
        fleet.stop()
    return failed or bench_readers()


if __name__ == "__main__":
    sys.exit(main())
