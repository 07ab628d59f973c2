"""Command line: exit codes, output formats, and errors without a traceback."""

import json
import subprocess
import tempfile
import unittest
import urllib.request
from pathlib import Path

from scripts.fleet import ROOT, SHAPES, Fleet, postvalve, wait_until


def run(*arguments, text=None):
    """Run a `postvalve` command and return its result."""
    return subprocess.run(
        postvalve(*arguments), capture_output=True, text=True, input=text, timeout=60
    )


class OfflineTest(unittest.TestCase):
    def assert_errors(self, result, *places):
        self.assertEqual(result.returncode, 2, result.stderr)
        self.assertNotIn("Traceback", result.stderr)
        for place in places:
            self.assertIn(place, result.stderr)

    def write(self, name, content):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / name
        path.write_text(content, encoding="utf-8")
        return str(path)

    def test_node_check_reports_every_error_with_its_location(self):
        path = self.write(
            "node.toml", 'node_id = "n"\nlisten = "host:1"\nshards = 0\n[http]\nidle = 1\n'
        )
        result = run("node", "--config", path, "--check")
        self.assert_errors(
            result, "zone", "listen", "shards", "http.idle", "peer_listen", "log_url"
        )

    def test_settings_file_that_is_not_toml(self):
        self.assert_errors(
            run("node", "--config", self.write("n.toml", "= ="), "--check"), "n.toml"
        )
        self.assert_errors(run("node", "--config", "missing.toml", "--check"), "missing.toml")

    def test_config_validate(self):
        good = run("config", "validate", str(ROOT / "examples" / "apcf.toml"))
        self.assertEqual(good.returncode, 0, good.stderr)
        bad = self.write("f.toml", '[[pools]]\nname = "p"\nengines = "a in"\nmodels = ["m"]\n')
        self.assert_errors(run("config", "validate", bad), "pools.0.engines")

    def test_examples_contain_the_documented_keys(self):
        digest = run("config", "hash-key", text="sk-demo-member-desk").stdout.strip()
        self.assertIn(digest, (ROOT / "examples" / "apcf.toml").read_text(encoding="utf-8"))

    def test_every_command_has_help_with_examples(self):
        for command in ("node", "config", "status", "jobs", "drain", "request", "emulate", "bench"):
            result = run(command, "--help")
            self.assertEqual(result.returncode, 0)
            self.assertIn("postvalve " + command, result.stdout)
            self.assertIn("example", result.stdout)

    def test_unreachable_log(self):
        result = run("jobs", "list", "--log-url", "http://127.0.0.1:1")
        self.assertEqual(result.returncode, 4)
        self.assertNotIn("Traceback", result.stderr)


class FleetTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(SHAPES["small"])
        cls.fleet.start()
        cls.addClassCleanup(cls.fleet.stop)

    def log(self, *arguments):
        return run(*arguments, "--log-url", self.fleet.log_url)

    def test_the_second_of_two_changes_to_a_revision_conflicts(self):
        example = str(ROOT / "examples" / "apcf.toml")
        history = json.loads(self.log("config", "history", "--output", "json").stdout)
        base = str(max(change["offset"] for change in history if change["outcome"] == "accepted"))
        first = self.log("config", "apply", example, "--base", base, "--output", "json")
        self.assertEqual(first.returncode, 0, first.stderr)
        second = self.log("config", "apply", example, "--base", base)
        self.assertEqual(second.returncode, 3)
        self.assertIn("another change came first", second.stderr)
        history = json.loads(self.log("config", "history", "--output", "json").stdout)
        self.assertEqual(history[-1]["outcome"], "conflict")

    def test_diff_and_explain(self):
        same = self.log("config", "diff", str(ROOT / "examples" / "apcf.toml"))
        self.assertEqual((same.returncode, same.stdout), (0, ""))
        other = self.log("config", "diff", str(ROOT / "examples" / "libranza.toml"))
        self.assertEqual(other.returncode, 1)
        self.assertIn("ledger-assistant", other.stdout)
        rules = self.log(
            *("config", "explain", "--tenant", "pricing", "--workload", "price-check"),
            *("--engine", "zone=zone-0", "--output", "json"),
        )
        kinds = {rule["kind"]: rule["in_force"] for rule in json.loads(rules.stdout)}
        self.assertEqual(kinds, {"limits": "every-tenant", "pools": "all"})

    def test_status_and_jobs(self):
        node = self.fleet.gateways[0]
        status = run("status", "--node", node, "--key", self.fleet.operator_key, "--output", "json")
        self.assertEqual(len(json.loads(status.stdout)["nodes"]), 2)
        table = run("status", "--node", node, "--key", self.fleet.operator_key).stdout
        self.assertIn("configuration_revision: ", table)
        self.assertRegex(table, r"NODE +ZONE +STATE")
        self.assertEqual(run("status", "--node", node, "--key", "wrong").returncode, 2)
        self.assertEqual(self.log("jobs", "show", "batch_nothing").returncode, 5)

    def test_drain_by_labels(self):
        started = self.log("drain", "start", "one", "--selector", "kind=node,zone=nowhere")
        self.assertEqual(started.returncode, 0, started.stderr)
        self.assertEqual(self.log("drain", "start", "one", "--selector", "a=b").returncode, 3)
        self.assertEqual(self.log("drain", "end", "one").returncode, 0)
        self.assertEqual(self.log("drain", "end", "one").returncode, 5)
        self.assertEqual(self.log("drain", "start", "all", "--selector", "").returncode, 2)
        for node in self.fleet.nodes:
            self.assertTrue(self.fleet.is_running(node.node_id))

    def test_metrics_and_health(self):
        base = self.fleet.gateways[0]
        for path in ("/healthz", "/readyz", "/metrics"):
            with urllib.request.urlopen(base + path, timeout=5) as response:
                self.assertEqual(response.status, 200)
        wait_until(lambda: self.fleet.is_running("node-0-0"), "node")


if __name__ == "__main__":
    unittest.main()
