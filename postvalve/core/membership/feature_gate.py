"""Which matters that take all nodes are in use, while builds that can't do them come and go.

A matter goes off at once when a node is heard that can't do it. It goes on only when all that are
heard have been able to do it for a while, also at a node that starts: it has heard hardly anybody.
A node of a build that can, heard for the first time, takes nothing away: else each restart would
switch a matter off in the whole fleet.
"""

from __future__ import annotations

from postvalve.core.membership.extensions import OWN_FEATURES, Feature

SETTLE_TIME = 10.0
"""Seconds for which all that are heard must be able to do a matter before it goes on. Longer than a
node or a zone may be silent before it counts as gone, so one that can't, and is not heard for a
moment, switches nothing on; and in so long a node that starts has heard all others."""


class FeatureGate:
    """One node's switches. All times are monotonic seconds."""

    def __init__(self, own: Feature = OWN_FEATURES) -> None:
        self.own = own
        self.enabled = Feature.NONE
        """What is in use."""
        self._able_since: dict[Feature, float] = {}
        """Since when nobody was heard that can't do it; nothing where somebody is."""
        self._looked_at: float | None = None

    def restrict(self, features: Feature) -> None:
        """Somebody was heard who can do just this: the rest goes off at once."""
        if self.own & ~features:
            self.enabled &= features
            for one in list(self._able_since):
                if one not in features:
                    del self._able_since[one]

    def update(self, common: Feature, now: float) -> None:
        """See what may go on; called a few times a second.

        Args:
            common: What all that are heard can do.
            now: A node that has stood still for longer than `SETTLE_TIME` knows no more of the
                others than one that starts, and begins like that.
        """
        if self._looked_at is not None and now - self._looked_at > SETTLE_TIME:
            self.enabled, self._able_since = Feature.NONE, {}
        self._looked_at = now
        self.restrict(common)
        for one in common & self.own:
            if now - self._able_since.setdefault(one, now) >= SETTLE_TIME:
                self.enabled |= one

    def seconds_to_enable(self, feature: Feature, now: float) -> float:
        """Seconds until a feature that all can do goes on, if nobody else is heard."""
        since = self._able_since.get(feature)
        return 0.0 if since is None else max(0.0, since + SETTLE_TIME - now)
