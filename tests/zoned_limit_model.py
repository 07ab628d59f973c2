"""Model of tenant limits in several zones, which hear of each other rarely and may be cut off."""

from postvalve.gateway.serving.tenant_credit import LENDER_SUSPECT_AFTER, LENDER_TIMEOUT
from tests.limit_model import REPORT_EVERY, STEP, LimitModel, ModelNode

FAR_REPORT_EVERY = 1.0
"""Longest time, in seconds, between two digests of another zone."""


class ZonedNode(ModelNode):
    def __init__(self, name, now, bounds, zones):
        self.zones = zones
        """Zone of each node."""
        super().__init__(name, now, bounds)

    def update_view(self, now):
        live = [one for one, at in self.heard.items() if now - at <= LENDER_TIMEOUT]
        near = [one for one in live if self.zones[one] == self.zones[self.name]]
        certain = [one for one in live if now - self.heard[one] <= LENDER_SUSPECT_AFTER]
        own = [self.name]
        announced, unsynced = self.facts()
        self.limits.update_view(live + own, announced, now, near + own, certain + own, unsynced)


class ZonedLimitModel(LimitModel):
    """A fleet of several zones with the same number of nodes each."""

    def __init__(self, seed, zones, nodes, terms, **options):
        super().__init__(seed, zones * nodes, terms, **options)
        self.zones = {name: number % zones for number, name in enumerate(self.nodes)}
        for name in self.nodes:
            node = self.nodes[name] = ZonedNode(name, self.now, self.bounds, self.zones)
            node.addresses = set(self.announced)

    def report(self):
        far = round(self.now / STEP) % round(FAR_REPORT_EVERY / STEP) < REPORT_EVERY / STEP
        working = [one for one in self.nodes.values() if one.is_running]
        for first in working:
            for second in working:
                heard = far or self.zones[first.name] == self.zones[second.name]
                if first is not second and heard and self.can_reach(first.name, second.name):
                    second.hear(first, self.now)
        for node in working:
            node.update_view(self.now)

    def cut_zone(self, zone, seconds):
        """Cut one zone off from all others."""
        chosen = [name for name, own in self.zones.items() if own == zone]
        for name in chosen:
            self.side[name] = 1
        self.after(seconds, lambda: self.side.update(dict.fromkeys(chosen, 0)))
