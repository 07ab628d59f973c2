"""Load reports: the packed form, and correct counts at all nodes although reports are lost or
late."""

import contextlib
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.admission.engine_use import EngineUse
from postvalve.core.membership.load_report import (
    DirectoryState,
    LoadReport,
    LoadReportError,
    RunningItem,
    unpack_report,
)

NAMES = st.text(max_size=40)
REPORTS = st.builds(
    LoadReport,
    node_id=NAMES,
    incarnation=st.integers(0, 2**63),
    sequence=st.integers(0, 2**31),
    peer_address=NAMES,
    zone=NAMES,
    leaving=st.booleans(),
    engine_use=st.binary(max_size=300),
    log_silence_ms=st.integers(0, 6_000).map(lambda units: units * 10),
    revision=st.integers(0, 2**63),
    running=st.lists(st.builds(RunningItem, NAMES, st.integers(0, 999)), max_size=5),
    items_running=st.binary(max_size=100),
    store_failing=st.booleans(),
    items_waiting=st.binary(max_size=100),
    directory=st.none()
    | st.builds(
        DirectoryState, st.integers(0, 2**63), st.integers(0, 6_000).map(lambda units: units * 10)
    ),
)


class PackedReportTest(unittest.TestCase):
    @given(REPORTS)
    def test_a_report_is_unpacked_as_it_was_packed(self, report):
        self.assertEqual(unpack_report(report.pack()), report)

    @given(REPORTS, st.integers(1, 400))
    def test_a_truncated_report_is_rejected(self, report, missing):
        data = report.pack()
        with self.assertRaises(LoadReportError):
            unpack_report(data[: max(0, len(data) - missing)])

    @given(st.binary(max_size=200))
    def test_other_bytes_raise_nothing_else(self, data):
        with contextlib.suppress(LoadReportError):
            unpack_report(data)

    def test_a_long_silence_is_clamped(self):
        report = unpack_report(LoadReport("n", 1, 1, log_silence_ms=10**9).pack())
        self.assertGreaterEqual(report.log_silence_ms, 600_000)


class CountsTest(unittest.TestCase):
    def test_all_nodes_agree_with_a_naive_count_in_the_end(self):
        for seed in range(20):
            self._simulate(random.Random(seed))

    def _simulate(self, chance):
        nodes = {f"n{number}": EngineUse() for number in range(12)}
        naive: dict[str, int] = dict.fromkeys(("e0", "e1", "e2"), 0)
        running: list[tuple[str, str]] = []
        in_flight: list[tuple[str, str, bytes]] = []
        for _ in range(400):
            node_id, engine = chance.choice(list(nodes)), chance.choice(list(naive))
            if running and chance.random() < 0.45:
                node_id, engine = running.pop(chance.randrange(len(running)))
                nodes[node_id].leave(engine, batch=False)
                naive[engine] -= 1
            else:
                nodes[node_id].enter(engine, batch=False)
                running.append((node_id, engine))
                naive[engine] += 1
            for other in nodes:
                if other != node_id and chance.random() < 0.3:
                    in_flight.append((other, node_id, nodes[node_id].report()))
            if in_flight and chance.random() < 0.5:
                # Some reports arrive out of order, and some never.
                target, sender, data = in_flight.pop(chance.randrange(len(in_flight)))
                nodes[target].observe(sender, data)
        for node_id, node in nodes.items():
            for other in nodes.keys() - {node_id}:
                nodes[other].observe(node_id, node.report())
        for node in nodes.values():
            self.assertEqual({engine: node.total(engine).total for engine in naive}, naive)


if __name__ == "__main__":
    unittest.main()
