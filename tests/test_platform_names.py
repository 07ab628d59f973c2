"""Checks that names of the users' platform occur only in its adapter."""

import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "postvalve"
ADAPTER = PACKAGE / "platform"
MAX_ADAPTER_LINES = 1_500
NAMES = (
    # headers
    "Request-Id", "Deadline-Ms", "Prompt-Prefix", "Response-Seal", "Expect-Instance",
    "Server-Load", "Not-Executed", "Instance-Id", "Wait-Ms", "Token-Count", "Weight-Versions",
    "Expect-Version", "Pin-Ms", "Length-Hint", "Kv-Backup", "Kv-From", "Kv-Fetch",
    # calls
    "/api/", "log-append", "log-read", "log-newest", "log-join", "log-commit", "log-owners",
    "kv-events", "kv-pin", "hold-take", "kv-move",
    # fields
    "pathPrefix", "trafficSplit", "timeoutMs", "targetLatencyMs", "maxAttempts",
    "stickySessions", "resumable\"", "gapAimMs", "healthPath", "maxConnections",
    "maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs", "coldRemainingMs",
    "nextToken", "watchAfter", "runAimMs", "keepS", "maxQueuedTokens", "waitMs", "kvTokens",
    "kvBytes", "dead_letter", "POSTVALVE_CONFIG", "portRange", "machineClass", "heartbeatMs",
    "graceS", "settleMs", "statusS", "keyed.op", "keyed.servers",
)  # fmt: skip


class PlatformNamesTest(unittest.TestCase):
    def test_names_occur_in_the_adapter_only(self):
        found = []
        for path in sorted(PACKAGE.rglob("*.py")):
            if ADAPTER in path.parents:
                continue
            source = path.read_text(encoding="utf-8")
            found += [(path.name, name) for name in NAMES if name in source]
        self.assertEqual(found, [])

    def test_the_adapter_stays_small(self):
        lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
        self.assertLess(lines, MAX_ADAPTER_LINES)


if __name__ == "__main__":
    unittest.main()
