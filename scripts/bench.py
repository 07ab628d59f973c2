"""Starts what the measurements need and runs them."""

from __future__ import annotations

import signal
import subprocess
import sys

from scripts.fleet import SHAPES, Fleet, free_address, is_listening, postvalve, wait_until

ENGINE_FLAGS = ("--slots", "128", "--step-per-sequence", "0")
"""An engine of 100 steps a second, whatever runs: a steady source of chunks."""


def bench_relay(fleet: Fleet) -> int:
    """Measure a node's relay beside a bare one."""
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
    """Measure the slopes, those of a running node included."""
    tenant = fleet.shape.tenants[0]
    command = postvalve(
        *("bench", "slopes", "--node", fleet.gateways[0], "--key", fleet.api_keys[tenant]),
        *("--node-pid", str(fleet.processes[fleet.nodes[0].node_id].pid)),
        *("--model", fleet.shape.model),
    )
    return subprocess.run(command).returncode


def bench_readers() -> int:
    """Measure what clients that read slowly cost the others."""
    return subprocess.run([sys.executable, "-m", "tests.bench_readers"]).returncode


def main() -> int:
    """Run all measurements."""
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
