"""Tells operators which builds run side by side, and what that keeps off."""

from __future__ import annotations

from collections import Counter
from typing import Any

from postvalve.clock import Clock
from postvalve.core.membership.extensions import Feature
from postvalve.core.membership.peers import PeerView
from postvalve.events import Event, EventLog

TOLD_PEERS = 3
"""Nodes and zones that are named for each matter that they keep off."""
SETTLING = "settling"
"""In place of a peer: all that are heard can do it, but not for long enough."""


def feature_names(features: Feature) -> list[str]:
    """Features as they stand in status and log."""
    return [one.name.lower() for one in features if one.name]


class FeatureStatus:
    """One node's view of the others' builds."""

    def __init__(self, peers: PeerView, clock: Clock, events: EventLog) -> None:
        self._peers = peers
        self._clock = clock
        self._events = events
        self._told = Feature.NONE

    def update(self) -> None:
        """Tell of what went on or off since the last look; called about twice a second."""
        on = self._peers.features()
        if on == self._told:
            return
        self._told = on
        self._events.emit(
            Event.FEATURES_CHANGED,
            on=feature_names(on),
            common=feature_names(self._peers.common_features()),
            lacking=self._lacking(),
        )

    def fields(self) -> dict[str, Any]:
        """For the status of the node: peers are counted, and named where they can do less."""
        own = self._peers.gate.own
        heard = dict(self._peers.peer_features())
        counts = Counter(" ".join(feature_names(one)) or "none" for one in heard.values())
        lesser = {name: one for name, one in sorted(heard.items()) if own & ~one}
        return {
            "own": feature_names(own),
            "peers": dict(sorted(counts.items())),
            "lesser_peers": {name: feature_names(one) for name, one in lesser.items()},
            "on": feature_names(self._peers.features()),
            "off": self._lacking(),
        }

    def _lacking(self) -> dict[str, list[str]]:
        """Of each own feature that is off, who keeps it off."""
        off = self._peers.gate.own & ~self._peers.features()
        return {name: self._kept_off_by(one) for one in off for name in feature_names(one)}

    def _kept_off_by(self, feature: Feature) -> list[str]:
        names = [name for name, one in self._peers.peer_features() if feature not in one]
        if names:
            return sorted(names)[:TOLD_PEERS]
        left = self._peers.gate.seconds_to_enable(feature, self._clock.monotonic())
        return [f"{SETTLING}, {left:.0f} s"]
