"""Configuration: accepted is in force everywhere within seconds and never reverts."""

import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from postvalve.core.configuration.history import (
    NO_REVISION,
    ChangeOutcome,
    ConfigurationHistory,
    Revision,
)
from postvalve.core.configuration.resolution import explain
from postvalve.emulator.log_model import LogFault
from postvalve.emulator.virtual_fleet import FleetShape, VirtualFleet
from postvalve.emulator.virtual_network import Location
from postvalve.emulator.virtual_platform import VirtualLog
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.exceptions import LogUnavailableError, RevisionConflictError
from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record
from postvalve.node.configuration_store import ConfigurationStore
from postvalve.node.log_writer import LogWriter
from postvalve.settings.fleet import FleetConfiguration, parse_fleet_configuration
from postvalve.settings.validation import InvalidSettingsGroup

WITHIN = 16.0
"""Seconds in which an accepted revision is in force everywhere."""


def operator(fleet, name):
    """An operator's access to the log."""
    place = Location(f"operator-{name}", "operator")
    log = VirtualLog(fleet.log, place)
    clock = VirtualClock(fleet.loop)
    numbers = iter(range(1000))

    def new_id():
        return f"{name}-{next(numbers)}"

    return ConfigurationStore(log, LogWriter(log, clock, new_id), clock, new_id)


def changed(store, tenant):
    """The configuration in force with one label changed."""
    configuration = store.newest_configuration()
    tenants = [one.model_copy(update={"labels": {"mark": tenant}}) for one in configuration.tenants]
    return configuration.model_copy(update={"tenants": tenants})


def revisions(fleet):
    """Revision in force at each running node."""
    return {
        node_id: node.node.status_document()["configuration_revision"]
        for node_id, node in fleet.nodes.items()
        if not fleet.loop.is_killed(node.location.owner)
    }


class ConfigurationSessionTest(unittest.TestCase):
    def session(self, function, **shape):
        def run(loop):
            fleet = VirtualFleet(loop, FleetShape(**{"zones": 2, "engines": 2, **shape}))
            fleet.start()
            return function(fleet)

        return run_virtual(run)

    def test_a_revision_is_in_force_everywhere_within_seconds(self):
        def run(fleet):
            store = operator(fleet, "a")
            revision = store.publish(changed(store, "x"), None, "a")
            gevent.sleep(1)
            self.assertEqual(set(revisions(fleet).values()), {revision})

        self.session(run)

    def test_two_operators_race(self):
        def run(fleet):
            first, second = operator(fleet, "a"), operator(fleet, "b")
            base = first.newest().number

            def publish(store, name):
                try:
                    return store.publish(changed(store, name), base, name)
                except RevisionConflictError:
                    return None

            both = [
                gevent.spawn(publish, first, "a"),
                gevent.spawn(publish, second, "b"),
            ]
            outcomes = [one.get() for one in both]
            self.assertEqual(sum(one is None for one in outcomes), 1)
            winner = next(one for one in outcomes if one is not None)
            gevent.sleep(1)
            self.assertEqual(set(revisions(fleet).values()), {winner})
            history = [entry.outcome for entry in first.history()]
            self.assertEqual(history.count(ChangeOutcome.CONFLICT), 1)

        self.session(run)

    def test_the_answer_to_a_publication_is_lost(self):
        def run(fleet):
            store = operator(fleet, "a")
            wanted = changed(store, "x")
            fleet.log.model.faults.fault = LogFault.LOSE_ANSWERS
            with self.assertRaises(LogUnavailableError) as caught:
                store.publish(wanted, store.newest().number, "a")
            self.assertEqual(caught.exception.verdict, "may_have_run")
            fleet.log.model.faults.fault = LogFault.NONE
            gevent.sleep(2)
            # It took effect, once, though it was appended more than once.
            outcomes = [entry.outcome for entry in store.history()]
            self.assertEqual(outcomes.count(ChangeOutcome.ACCEPTED), 2)
            self.assertEqual(len(set(revisions(fleet).values())), 1)

        self.session(run)

    def test_a_zone_that_is_cut_off_from_the_log_gets_it_from_peers(self):
        def run(fleet):
            fleet.log.model.faults.cut_zones.add("zone-1")
            gevent.sleep(3)
            store = operator(fleet, "a")
            revision = store.publish(changed(store, "x"), None, "a")
            gevent.sleep(WITHIN)
            self.assertEqual(set(revisions(fleet).values()), {revision})

        self.session(run)

    def test_a_zone_that_is_cut_off_from_its_peers_gets_it_from_the_log(self):
        def run(fleet):
            fleet.network.cut("zone-0", "zone-1")
            store = operator(fleet, "a")
            revision = store.publish(changed(store, "x"), None, "a")
            gevent.sleep(2)
            self.assertEqual(set(revisions(fleet).values()), {revision})

        self.session(run)

    def test_a_node_restarts_in_an_outage_of_the_log(self):
        def run(fleet):
            fleet.log.model.faults.fault = LogFault.DOWN
            fleet.kill_node("node-0-0")
            fleet.restart_node("node-0-0")
            chat = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}
            early = fleet.request("node-0-0", "POST", "/v1/chat/completions", document=chat)
            gevent.sleep(WITHIN)
            later = fleet.request("node-0-0", "POST", "/v1/chat/completions", document=chat)
            return early, later

        early, later = self.session(run)
        self.assertEqual(early.status, 503)
        self.assertEqual(early.document["error"]["verdict"], "not_run")
        self.assertEqual(later.status, 200)

    def test_revisions_never_go_back_under_cuts_and_restarts(self):
        def run(fleet):
            seen = dict.fromkeys(fleet.nodes, NO_REVISION)
            store = operator(fleet, "a")

            def watch():
                while True:
                    for node_id, revision in revisions(fleet).items():
                        self.assertGreaterEqual(revision, seen[node_id])
                        seen[node_id] = revision
                    gevent.sleep(0.1)

            watcher = gevent.spawn(watch)
            for number in range(6):
                zone = f"zone-{number % 2}"
                fleet.log.model.faults.cut_zones = {zone}
                store.publish(changed(store, f"x{number}"), None, "a")
                gevent.sleep(4)
            fleet.log.model.faults.cut_zones = set()
            gevent.sleep(WITHIN)
            self.assertFalse(watcher.dead, watcher.exception)
            self.assertEqual(len(set(revisions(fleet).values())), 1)

        self.session(run)


class HistoryTest(unittest.TestCase):
    def change(self, record_id, base):
        body = records.ConfigurationChange(base_revision=base, document=b"{}")
        return Record(record_id, body)

    def test_an_old_revision_from_a_peer_changes_nothing(self):
        history = ConfigurationHistory()
        history.observe(0, self.change("a", NO_REVISION))
        history.observe(1, self.change("b", 0))
        self.assertFalse(history.adopt(Revision(0, b"old")))
        self.assertEqual(history.newest_number, 1)

    def test_a_peer_revision_does_not_disturb_decisions(self):
        ahead, plain = ConfigurationHistory(), ConfigurationHistory()
        ahead.adopt(Revision(2, b"{}"))
        for offset, record in enumerate(
            [self.change("a", NO_REVISION), self.change("b", NO_REVISION), self.change("c", 0)]
        ):
            self.assertEqual(ahead.observe(offset, record), plain.observe(offset, record))
        self.assertEqual(ahead.newest_number, plain.newest_number)

    @settings(derandomize=True, max_examples=200)
    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(-1, 12)), max_size=14))
    def test_differs_from_the_naive_version_in_nothing(self, changes):
        history = ConfigurationHistory()
        in_force, seen = NO_REVISION, set()
        for offset, (record, base) in enumerate(changes):
            outcome = history.observe(offset, self.change(str(record), base))
            # The naive version: one variable, and the ids seen so far.
            accepted = record not in seen and base == in_force
            seen.add(record)
            in_force = offset if accepted else in_force
            self.assertEqual(outcome is ChangeOutcome.ACCEPTED, accepted)
            self.assertEqual(history.newest_number, in_force)


class SchemaTest(unittest.TestCase):
    def test_every_mistake_is_reported_at_once(self):
        document = b"""{"tenants": [{"name": "bad name", "api_key_sha256": ["x"]}],
            "pools": [{"name": "p", "models": [], "engines": "zone in a"}],
            "drains": [{"name": "d", "machines": ""}], "unknown": 1}"""
        with self.assertRaises(InvalidSettingsGroup) as caught:
            parse_fleet_configuration(document, "fleet.json")
        places = {error.place for error in caught.exception.exceptions}
        self.assertEqual(
            places,
            {
                "fleet.json: tenants.0.name",
                "fleet.json: tenants.0.api_key_sha256.0",
                "fleet.json: pools.0.models",
                "fleet.json: pools.0.engines",
                "fleet.json: drains.0.machines",
                "fleet.json: unknown",
            },
        )

    def test_references_and_repeated_names(self):
        key = "0" * 64
        document = {
            "tenants": [
                {"name": "a", "api_key_sha256": [key]},
                {"name": "b", "api_key_sha256": [key]},
            ],
            "models": [{"name": "m"}, {"name": "m"}],
            "pools": [{"name": "p", "models": ["other"]}],
        }
        with self.assertRaisesRegex(ValueError, "stands twice.*other.*shares a key"):
            FleetConfiguration.model_validate(document)

    def test_the_highest_precedence_then_the_first_wins(self):
        configuration = FleetConfiguration.model_validate(
            {
                "tenants": [{"name": "a", "labels": {"t": "g"}, "api_key_sha256": ["0" * 64]}],
                "workloads": [{"name": "w", "traffic_class": "online"}],
                "models": [{"name": "m"}],
                "pools": [
                    {"name": "first", "models": ["m"], "engines": "zone=a"},
                    {"name": "second", "models": ["m"]},
                    {"name": "strong", "models": ["m"], "precedence": 5, "engines": "zone=b"},
                ],
            }
        )
        for zone, matching in {
            "a": ("first", "second"),
            "b": ("strong", "second"),
            "c": ("second",),
        }.items():
            explained = explain(
                configuration, configuration.tenants[0], configuration.workloads[0], {"zone": zone}
            )
            pools = next(one for one in explained if one.kind == "pools")
            self.assertEqual(pools.matching, matching)
            self.assertEqual(pools.winner, matching[0])


if __name__ == "__main__":
    unittest.main()
