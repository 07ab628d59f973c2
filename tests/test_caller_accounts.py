"""Counts of requests by tenant, as operators read them: accounts, metrics, log events, status."""

import contextlib
import io
import json
import unittest
from unittest import mock

import gevent

from postvalve.cli.main import main
from postvalve.clock import SystemClock
from postvalve.core.admission.online_admission import EngineOccupancy
from postvalve.core.admission.service_latency import ServiceLatency
from postvalve.core.scheduling.accounts import Accounts, End
from postvalve.events import Event
from postvalve.exceptions import (
    AttemptError,
    AuthenticationError,
    ClientGoneError,
    DrainingError,
    GivenUpError,
    HeadTooLargeError,
    InvalidRequestError,
    KeyUnknownError,
    LimitUnknownError,
    NotFoundError,
    NotReadyError,
    PostvalveError,
    QuarantinedError,
    RateLimitedError,
    RefusedError,
    RequestExpiredError,
    StoreUnreachableError,
    Verdict,
)
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.gateway.serving import caller_accounts
from postvalve.gateway.serving.admission_queue import MAX_LOGGED_AHEAD, MAX_ROWS, AdmissionQueue
from postvalve.gateway.serving.caller_accounts import (
    SUMMARY_INTERVAL,
    TENANTS_PER_LIST,
    CallerAccounts,
    RequestAccount,
    end_of,
)
from postvalve.gateway.serving.http_server import TruncatedAnswer, plain_server
from tests.gateway_support import BATCH_PATH, STREAM_PATH, GatewayFleet, RecordingEventLog
from tests.ports import free_port
from tests.stand_in_engine import Behaviour
from tests.test_gateway_jobs import job_body
from tests.waiting import wait_until

TARGET = 0.25


class EndTest(unittest.TestCase):
    def test_each_error_maps_to_an_outcome(self):
        cut = TruncatedAnswer("cut")
        cut.__cause__ = ClientGoneError("the client left")
        for error, end in (
            (AuthenticationError("x"), End.KEY_UNKNOWN),
            (KeyUnknownError("x"), End.KEY_UNKNOWN),
            (RateLimitedError("x"), End.OVER_LIMIT),
            (LimitUnknownError("x"), End.COUNT_UNKNOWN),
            (RefusedError("x"), End.NO_ROOM),
            (DrainingError("x"), End.NODE_LEAVING),
            (NotReadyError("x"), End.REFUSED_ELSE),
            (StoreUnreachableError("x"), End.STORE_AWAY),
            (RequestExpiredError("x"), End.TIME_OVER),
            (GivenUpError("x"), End.GIVEN_UP),
            (AttemptError("x", Verdict.MAY_HAVE_RUN), End.FAILED),
            (QuarantinedError(1.0), End.FAILED),
            (InvalidRequestError("x"), End.INVALID),
            (HeadTooLargeError("x"), End.INVALID),
            (NotFoundError("x"), End.INVALID),
            (PostvalveError("x"), End.REFUSED_ELSE),
            (RuntimeError("x"), End.FAILED),
            (GeneratorExit(), End.LEFT),
            (cut, End.LEFT),
            (type("Narrower", (RateLimitedError,), {})("x"), End.OVER_LIMIT),
            (TruncatedAnswer("cut"), End.FAILED),
        ):
            self.assertIs(end_of(error), end, error)


class RequestTest(unittest.TestCase):
    def setUp(self):
        self.clock = mock.Mock(**{"monotonic.return_value": 10.0})
        self.accounts = Accounts()

    def at(self, now):
        self.clock.monotonic.return_value = now

    def open(self):
        account = RequestAccount(self.accounts, self.clock, 10.0)
        account.identify("ann", TARGET)
        return account

    def total(self):
        (row,) = self.accounts.rows(self.clock.monotonic())
        return row.total

    def test_in_time_is_judged_by_the_first_event(self):
        for first_at, end in ((10.0 + TARGET, End.IN_TIME), (10.26, End.LATE)):
            self.setUp()
            with self.open() as account:
                account.attempt_started(10.1)
                self.assertEqual(self.accounts.holders(1), {"ann": 1})
                self.at(first_at)
                account.first_event()
                self.at(12.0)
                account.attempt_ended()
                account.completed()
            total = self.total()
            self.assertEqual(self.accounts.holders(1), {})
            self.assertEqual(total.ends, {end: 1})
            self.assertEqual((total.sent, round(total.waited, 3)), (1, 0.1))
            self.assertAlmostEqual(total.online_seconds, 1.9)

    def test_refused_attempt_counts_no_engine_time(self):
        with contextlib.suppress(RefusedError), self.open() as account:
            account.attempt_started(10.0)
            self.at(11.0)
            account.attempt_refused()
            account.attempt_ended()
            raise RefusedError("x")
        self.assertEqual(self.total().online_seconds, 0.0)
        self.assertEqual(self.accounts.holders(1), {})

    def test_request_without_an_engine_waits_until_its_end(self):
        with contextlib.suppress(RefusedError), self.open():
            self.at(10.2)
            raise RefusedError("x")
        total = self.total()
        self.assertEqual((total.sent, total.ends), (0, {End.NO_ROOM: 1}))
        self.assertAlmostEqual(total.worst_wait, 0.2)

    def test_first_recorded_outcome_counts(self):
        with contextlib.suppress(GeneratorExit), self.open() as account:
            account.completed()
            raise GeneratorExit
        self.assertEqual(self.total().ends, {End.IN_TIME: 1})

    def test_request_without_an_outcome_counts_as_failed(self):
        with self.open():
            pass
        self.assertEqual(self.total().ends, {End.FAILED: 1})

    def test_unexpected_error_leaves_no_running_request(self):
        with contextlib.suppress(RuntimeError), self.open() as account:
            account.attempt_started(10.0)
            raise RuntimeError
        self.assertEqual(self.accounts.holders(1), {})

    def test_excluded_calls_are_not_counted(self):
        with self.open() as account:
            account.exclude()
        self.assertEqual(len(self.accounts), 0)


class SummaryTest(unittest.TestCase):
    def setUp(self):
        self.clock = mock.Mock(**{"monotonic.return_value": 0.0})
        self.log = RecordingEventLog()
        self.callers = CallerAccounts(self.clock, self.log)

    def log_summary_at(self, now):
        """Return the events logged when `tell` is called at a given time."""
        self.log.written.clear()
        self.clock.monotonic.return_value = now
        self.callers.log_summary()
        return [fields for _, fields in self.log.written]

    def test_summary_is_periodic_and_only_after_new_counts(self):
        self.callers.accounts.record_request("ann", End.IN_TIME, 0.0)
        self.assertEqual(self.log_summary_at(SUMMARY_INTERVAL - 0.1), [])
        (line,) = self.log_summary_at(SUMMARY_INTERVAL)
        self.assertEqual(line["worst"], [{"tenant": "ann", "asked": 1, "in_time": 1}])
        self.assertEqual(self.log_summary_at(2 * SUMMARY_INTERVAL), [])

    def test_no_summary_without_named_tenants(self):
        self.callers.accounts.record_request("", End.NO_ROOM, 0.0)
        self.assertEqual(self.log_summary_at(SUMMARY_INTERVAL), [])

    def test_summary_size_is_bounded(self):
        for number in range(500):
            self.callers.accounts.record_request(f"t{number}", End.IN_TIME, 0.0)
        for _ in range(9):
            self.callers.accounts.record_request("worst", End.NO_ROOM, 0.0)
        (line,) = self.log_summary_at(SUMMARY_INTERVAL)
        self.assertEqual(
            (len(line["largest"]), len(line["worst"])), (TENANTS_PER_LIST, TENANTS_PER_LIST)
        )
        self.assertEqual(line["worst"][0]["tenant"], "worst")
        self.assertLess(len(json.dumps(line)), 4_000)


class MetricsTest(unittest.TestCase):
    def test_labels_are_bounded(self):
        accounts, metrics = Accounts(), GatewayMetrics()
        metrics.register_tenants(lambda: accounts.rows(0.0))
        for number in range(3_300):
            accounts.record_request(f"t{number}", End.LATE, 0.0)
        text = metrics.exposition().decode()
        series = [line for line in text.splitlines() if "tenant_requests_total{" in line]
        late = [line for line in series if 'end="late"' in line]
        self.assertLessEqual(len(late), 129)
        self.assertEqual(sum(float(line.rsplit(" ", 1)[1]) for line in late), 3_300)


class WaitingTest(unittest.TestCase):
    def setUp(self):
        self.log = RecordingEventLog()
        full = EngineOccupancy(slots=1, online=2, batch=0, unread=0)
        self.fleet = mock.Mock(
            **{
                "has_capacity.return_value": False,
                "occupancies.return_value": [full],
                "pace.return_value": ServiceLatency(),
            }
        )
        self.queue = AdmissionQueue(SystemClock(), self.log, self.fleet, mock.Mock(), mock.Mock())
        self.waiting = []
        self.addCleanup(lambda: gevent.killall(self.waiting))

    def enter(self, number, rank=(0, 0), tenant="ann", service="s"):
        now = SystemClock().monotonic()
        route = mock.Mock(target_latency=60.0)
        terms = mock.Mock(request_id=f"r{number}", own_tokens=1, allowed=None, last_event_id=None)
        self.waiting.append(
            gevent.spawn(
                self.queue.admit, route, service, terms, rank, now, now + 60, lambda: False, tenant
            )
        )
        gevent.sleep(0)

    def test_rows_name_the_request_ahead(self):
        self.enter(1, rank=(1, 0))
        self.enter(2)
        self.enter(3, tenant="bob")
        self.enter(4, service="other")
        rows = {row["request"]: row for row in self.queue.rows()}
        self.assertEqual(list(rows), ["r2", "r3", "r4", "r1"])
        behind = {name: row["behind"] for name, row in rows.items()}
        self.assertEqual(behind, {"r2": "", "r3": "r2", "r4": "", "r1": "r3"})
        self.assertEqual((rows["r3"]["tenant"], rows["r1"]["rank"]), ("bob", [1, 0]))
        ahead = {fields["request"]: fields["ahead"] for _, fields in self.log.written}
        self.assertEqual(ahead, {"r1": [], "r2": [], "r3": ["r2"], "r4": []})

    def test_rows_and_log_fields_are_bounded(self):
        for number in range(MAX_ROWS + 10):
            self.enter(number)
        self.assertEqual(len(self.queue.rows()), MAX_ROWS)
        _, last = self.log.written[-1]
        self.assertEqual(last["before"], MAX_ROWS + 9)
        self.assertEqual(len(last["ahead"]), MAX_LOGGED_AHEAD)
        self.assertEqual(last["ahead"][-1], f"r{MAX_ROWS + 8}")

    def test_log_fields_name_running_tenants(self):
        self.queue.holders = lambda: {"bob": 4}
        self.enter(1)
        self.assertEqual(self.log.written[-1][1]["holders"], {"bob": 4})

    def test_anonymous_callers_have_no_tenant_fields(self):
        self.enter(1, tenant="")
        self.enter(2, tenant="")
        for _, fields in self.log.written:
            self.assertFalse({"tenant", "before", "ahead", "holders"} & fields.keys())


def tenants(**limits):
    return [{"name": name, "apiKeys": [f"{name}-key"], **limits} for name in ("ann", "bob")]


class NodeTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(
            nodes=1, engines=1, tenants=tenants(), targetLatencyMs=1_000, runAimMs=60_000
        )
        self.addCleanup(self.fleet.stop)
        (self.engine,) = self.fleet.engines

    def send(self, tenant, path=STREAM_PATH + "x", **changes):
        return self.fleet.request(
            "n0", path, headers=[("Api-Key", f"{tenant}-key")], body=b"b", **changes
        )

    def rows(self):
        document = self.fleet.nodes["n0"].status_document()
        return {row["tenant"]: row["total"] for row in document["tenants"]}

    def test_requests_of_tenants(self):
        self.engine.next_behaviours = [Behaviour(), Behaviour(head_delay=1.4)]
        for tenant in ("ann", "ann", "nobody", "bob"):
            self.send(tenant)
        wait_until(lambda: sum(row["asked"] for row in self.rows().values()) == 4)
        rows = self.rows()
        # On a busy machine the first request may be late as well.
        self.assertEqual(rows["ann"]["in_time"] + rows["ann"]["late"], 2)
        self.assertGreaterEqual(rows["ann"]["late"], 1)
        self.assertGreater(rows["ann"]["online_seconds"], 1.0)
        self.assertEqual(rows[""]["key_unknown"], 1)
        self.assertEqual(rows["bob"]["asked"], 1)

    def test_refusing_engine_counts_no_engine_time(self):
        self.engine.default_behaviour = Behaviour(refuse=True, head_delay=0.1)
        headers = [("Api-Key", "ann-key"), ("Deadline-Ms", "800")]
        answer = self.fleet.request("n0", STREAM_PATH + "x", headers=headers, body=b"b")
        self.assertEqual(answer.status, 503)
        wait_until(lambda: "ann" in self.rows())
        row = self.rows()["ann"]
        self.assertEqual((row["sent"], row["no_room"] + row["time_over"]), (1, 1))
        self.assertEqual(row["online_seconds"], 0.0)

    def test_disconnecting_client(self):
        self.engine.default_behaviour = Behaviour(pause=0.3, events=50)
        headers = [("Api-Key", "ann-key")]
        connection = self.fleet.open("n0", STREAM_PATH + "x", headers=headers)
        wait_until(lambda: self.engine.runs)
        connection.close()
        wait_until(lambda: self.rows().get("ann", {}).get("left") == 1)

    def test_jobs_and_items(self):
        self.fleet.request(
            "n0", BATCH_PATH + "x", headers=[("Api-Key", "ann-key")], body=job_body("j")
        )
        wait_until(lambda: self.rows().get("ann", {}).get("items_in_time") == 3)
        row = self.rows()["ann"]
        self.assertEqual((row["asked"], row["in_time"] + row["late"]), (1, 1))
        self.assertGreater(row["item_seconds"], 0)

    def test_engine_refusing_items_counts_no_engine_time(self):
        self.engine.default_behaviour = Behaviour(refuse=True, head_delay=0.1)
        headers = [("Api-Key", "ann-key")]
        self.fleet.request("n0", BATCH_PATH + "x", headers=headers, body=job_body("j"))
        failed = Event.ROUTED_ITEM_FAILED
        wait_until(lambda: len(self.fleet.events("n0", failed)) >= 6)
        self.assertEqual(self.rows()["ann"]["item_seconds"], 0.0)

    def test_job_calls_are_not_counted_as_requests(self):
        headers = [("Api-Key", "ann-key")]
        self.fleet.request("n0", "/api/lots/j?watchAfter=0", method="GET", headers=headers)
        self.send("ann")
        wait_until(lambda: "ann" in self.rows())
        self.assertEqual(sum(row["asked"] for row in self.rows().values()), 1)

    def test_metrics_of_a_node(self):
        self.send("nobody")
        wait_until(lambda: self.rows())
        _, text = self.fleet.nodes["n0"]._metrics_response("/metrics")
        line = b'postvalve_tenant_requests_total{end="key_unknown",tenant=""} 1.0'
        self.assertIn(line, text.splitlines())

    @mock.patch.object(caller_accounts, "SUMMARY_INTERVAL", 0.0)
    def test_node_logs_summaries(self):
        self.send("ann")
        wait_until(lambda: self.fleet.events("n0", Event.TENANTS_SERVED))
        (line, *_) = self.fleet.events("n0", Event.TENANTS_SERVED)
        self.assertEqual([one["tenant"] for one in line["largest"]], ["ann"])

    @mock.patch.object(caller_accounts, "SUMMARY_INTERVAL", 0.0)
    def test_no_summary_where_no_tenants_are_configured(self):
        self.fleet.configure()
        wait_until(lambda: self.fleet.nodes["n0"].configuration.revision == 4)
        self.send("ann")
        wait_until(lambda: "" in self.rows())
        self.assertEqual(self.rows()[""]["asked"], 1)
        patched = mock.patch.object(
            CallerAccounts, "log_summary", autospec=True, side_effect=CallerAccounts.log_summary
        )
        with patched as log_summary_at:
            wait_until(lambda: log_summary_at.call_count == 2)
        self.assertEqual(self.fleet.events("n0", Event.TENANTS_SERVED), [])


class CommandTest(unittest.TestCase):
    """The command `postvalve status` with several nodes."""

    def setUp(self):
        self.nodes = []

    def node(self, number, refused, waiting=()):
        """Start a node with the counts of two tenants; returns its URL."""
        accounts = CallerAccounts(SystemClock(), RecordingEventLog())
        now = SystemClock().monotonic()
        accounts.accounts.record_request("ann", End.IN_TIME, now, engine_seconds=1.0, sent=True)
        for _ in range(refused):
            accounts.accounts.record_request("bob", End.NO_ROOM, now, waited=0.25)
        document = {
            "node_id": f"n{number}",
            "nodes": [],
            "tenants": accounts.documents(),
            "waiting": list(waiting),
        }
        return self.serve(document)

    def serve(self, document):
        return self.serve_text("200 OK", json.dumps(document).encode())

    def serve_text(self, status, text):
        address = f"127.0.0.1:{free_port()}"
        server = plain_server(address, lambda path: (status, text))
        server.start()
        self.addCleanup(server.stop)
        return f"http://{address}"

    def status(self, *nodes, arguments=()):
        output, errors = io.StringIO(), io.StringIO()
        named = [word for node in nodes for word in ("--node", node)]
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = main(["status", *named, *arguments])
        return code, output.getvalue(), errors.getvalue()

    def test_rows_are_summed_over_nodes_worst_served_first(self):
        code, text, _ = self.status(self.node(1, 4), self.node(2, 6))
        self.assertEqual(code, 0)
        table = text[text.index("TENANT") :].splitlines()
        head = table[0].split()
        (bob, ann) = (dict(zip(head, line.split(), strict=True)) for line in table[1:3])
        self.assertEqual((bob["TENANT"], bob["ASKED"], bob["NO_ROOM"]), ("bob", "10", "10"))
        self.assertEqual(
            (bob["IN_TIME_SHARE"], bob["WAIT"], bob["WORST_WAIT"]), ("0.0", "0.25", "0.25")
        )
        self.assertEqual((ann["TENANT"], ann["ENGINE_SHARE"]), ("ann", "1.0"))

    def test_json_holds_sums_and_documents(self):
        _, text, _ = self.status(self.node(1, 4), self.node(2, 6), arguments=("--output", "json"))
        summed = json.loads(text)
        self.assertEqual(summed["tenants"][0]["total"]["no_room"], 10)
        self.assertEqual([one["node_id"] for one in summed["documents"]], ["n1", "n2"])

    def test_unreachable_node_is_reported_and_others_are_shown(self):
        silent = f"http://127.0.0.1:{free_port()}"
        code, text, errors = self.status(silent, self.node(1, 4))
        self.assertEqual(code, 0)
        self.assertIn(silent, errors)
        self.assertIn("bob", text)
        self.assertNotEqual(self.status(silent, silent)[0], 0)

    def test_invalid_answers_are_reported_and_others_are_shown(self):
        for status, text in (("401 -", b""), ("200 OK", b"<html>"), ("200 OK", b"[]")):
            odd = self.serve_text(status, text)
            code, shown, errors = self.status(odd, self.node(1, 4))
            self.assertEqual(code, 0)
            self.assertIn(odd, errors)
            self.assertIn("bob", shown)

    def test_node_named_twice_counts_once(self):
        node = self.node(1, 4)
        _, text, _ = self.status(node, self.node(2, 1), node, arguments=("--output", "json"))
        self.assertEqual(json.loads(text)["tenants"][0]["total"]["no_room"], 5)

    def test_waiting_requests_are_shown_by_node(self):
        row = {"request": "r9", "service": "s", "tenant": "ann", "rank": [0, 0], "waited": 0.1}
        _, text, _ = self.status(self.node(1, 1, [{**row, "behind": "r8"}]), self.node(2, 1))
        self.assertRegex(text, r"n1 +s +r9 +ann +\[0, 0\] +0.1 +r8")

    def test_node_of_a_build_without_tenant_counts(self):
        code, text, _ = self.status(self.serve({"node_id": "old", "nodes": []}), self.node(1, 4))
        self.assertEqual(code, 0)
        self.assertIn("bob", text)


if __name__ == "__main__":
    unittest.main()
