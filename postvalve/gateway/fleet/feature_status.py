"""Logs and reports which optional features are disabled because a peer runs an older build."""

from __future__ import annotations

from collections import Counter
from typing import Any

from postvalve.clock import Clock
from postvalve.core.membership.extensions import Feature
from postvalve.core.membership.peers import PeerView
from postvalve.events import Event, EventLog

MAX_NAMED_PEERS = 3
"""Most nodes and zones named for each feature that they lack."""
SETTLING = "settling"
"""Stands for the peers' names while all peers support a feature, but not for long enough yet."""


def feature_names(features: Feature) -> list[str]:
    """Return the names of features as used in the status document and the log."""
    return [one.name.lower() for one in features if one.name]


class FeatureStatus:
    """One node's view of the features that the builds of its peers support."""

    def __init__(self, peers: PeerView, clock: Clock, events: EventLog) -> None:
        self._peers = peers
        self._clock = clock
        self._events = events
        self._last_logged = Feature.NONE

    def update(self) -> None:
        """Log changes of the enabled features since the last call; called about twice a second."""
        on = self._peers.features()
        if on == self._last_logged:
            return
        self._last_logged = on
        self._events.emit(
            Event.FEATURES_CHANGED,
            on=feature_names(on),
            common=feature_names(self._peers.common_features()),
            lacking=self._lacking(),
        )

    def fields(self) -> dict[str, Any]:
        """Return the fields of the status document; peers that lack a feature are named."""
        own = self._peers.gate.own
        peer_features = dict(self._peers.peer_features())
        counts = Counter(" ".join(feature_names(one)) or "none" for one in peer_features.values())
        limited = {name: one for name, one in sorted(peer_features.items()) if own & ~one}
        return {
            "own": feature_names(own),
            "peers": dict(sorted(counts.items())),
            "lesser_peers": {name: feature_names(one) for name, one in limited.items()},
            "on": feature_names(self._peers.features()),
            "off": self._lacking(),
        }

    def _lacking(self) -> dict[str, list[str]]:
        """Return the peers without support for each disabled feature of this build."""
        off = self._peers.gate.own & ~self._peers.features()
        return {name: self._peers_without(one) for one in off for name in feature_names(one)}

    def _peers_without(self, feature: Feature) -> list[str]:
        names = [name for name, one in self._peers.peer_features() if feature not in one]
        if names:
            return sorted(names)[:MAX_NAMED_PEERS]
        left = self._peers.gate.seconds_to_enable(feature, self._clock.monotonic())
        return [f"{SETTLING}, {left:.0f} s"]
