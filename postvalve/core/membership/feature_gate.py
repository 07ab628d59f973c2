"""Enables features that need all nodes, while nodes with builds that lack them may be running.

A feature is disabled as soon as a report arrives from a node that lacks it. It is enabled only when
all known nodes have supported it for a while. That also applies to a node that has just started,
which knows few others yet. A new node that supports a feature does not delay or disable it:
otherwise each restart would switch the feature off in the whole fleet.
"""

from __future__ import annotations

from postvalve.core.membership.extensions import OWN_FEATURES, Feature

SETTLE_TIME = 10.0
"""Seconds for which all known nodes must support a feature before it is enabled. It is longer than
a node or a zone may be silent before it counts as gone. So the feature is not enabled while a node
without it is silent for a moment, and a starting node has received reports from all others."""


class FeatureGate:
    """Feature switches of one node. All times are monotonic seconds."""

    def __init__(self, own: Feature = OWN_FEATURES) -> None:
        self.own = own
        self.enabled = Feature.NONE
        """Features in use."""
        self._supported_since: dict[Feature, float] = {}
        """Time since which all known nodes have supported a feature; no key while one does not."""
        self._updated_at: float | None = None

    def restrict(self, features: Feature) -> None:
        """Disable all features other than those in a node's latest report."""
        if self.own & ~features:
            self.enabled &= features
            for one in list(self._supported_since):
                if one not in features:
                    del self._supported_since[one]

    def update(self, common: Feature, now: float) -> None:
        """Update which features are enabled; called several times a second.

        Args:
            common: Features that all known nodes support.
            now: Monotonic seconds. A node that was suspended for longer than `SETTLE_TIME` knows no
                more of the others than one that has just started, and is treated like one.
        """
        if self._updated_at is not None and now - self._updated_at > SETTLE_TIME:
            self.enabled, self._supported_since = Feature.NONE, {}
        self._updated_at = now
        self.restrict(common)
        for one in common & self.own:
            if now - self._supported_since.setdefault(one, now) >= SETTLE_TIME:
                self.enabled |= one

    def seconds_to_enable(self, feature: Feature, now: float) -> float:
        """Return the seconds until a feature that all known nodes support is enabled."""
        since = self._supported_since.get(feature)
        return 0.0 if since is None else max(0.0, since + SETTLE_TIME - now)
