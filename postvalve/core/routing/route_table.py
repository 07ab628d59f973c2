"""Finds the route of a request in a routed configuration."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from postvalve.core.admission.api_keys import find_by_key
from postvalve.core.randomness import RandomSource
from postvalve.settings.routes import (
    RoutedConfiguration,
    RoutedTenant,
    RouteSpec,
    ServiceSpec,
    WeightedService,
)


class RouteTable:
    """One revision of the configuration, ready for look-ups."""

    def __init__(self, configuration: RoutedConfiguration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[RouteSpec]] = {}
        self._services = {service.name: service for service in configuration.services}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._by_key = {
            digest: tenant
            for tenant in configuration.tenants or ()
            for digest in tenant.key_digests
        }
        self._pause_aims = _pause_aims(configuration.routes)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    @property
    def revision(self) -> int:
        """Number of the revision."""
        return self.configuration.revision

    def match(self, host: str, path: str) -> RouteSpec | None:
        """The route with the longest prefix of `path` among those of the host.

        Args:
            host: As the client names it; a port is passed over.
            path: Without the query.
        """
        name = host.rpartition(":")[0] if _has_port(host) else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def routes_of_host(self, host: str) -> Sequence[RouteSpec]:
        """All routes of a host, the longest prefix first."""
        name = host.rpartition(":")[0] if _has_port(host) else host
        return self._by_host.get(name.lower(), ())

    def route_named(self, name: str) -> RouteSpec | None:
        """A route by its name."""
        return next((one for one in self.configuration.routes if one.name == name), None)

    @property
    def requires_api_key(self) -> bool:
        """Whether requests need an API key, but for routes that say otherwise."""
        return self.configuration.tenants is not None

    def tenant_of(self, key: str) -> RoutedTenant | None:
        """The tenant that an API key belongs to."""
        return find_by_key(key, self._by_key)

    def pause_aim(self, service: str) -> float | None:
        """Seconds between events that callers of a service bear: the least of its online routes."""
        return self._pause_aims.get(service)

    def service(self, name: str) -> ServiceSpec | None:
        """A service by its name."""
        return self._services.get(name)


def _pause_aims(routes: Iterable[RouteSpec]) -> dict[str, float]:
    """By service, the least of the online routes to it."""
    aims: dict[str, float] = {}
    for route in routes:
        if route.pause_aim is None or route.batch is not None:
            continue
        for target in route.targets:
            aims[target.service] = min(route.pause_aim, aims.get(target.service, route.pause_aim))
    return aims


def choose_target(targets: Sequence[WeightedService], generator: RandomSource) -> str:
    """Draw a service by the weights."""
    if len(targets) == 1:
        return targets[0].service
    point = generator.uniform(0, sum(target.weight for target in targets))
    for target in targets:
        point -= target.weight
        if point < 0:
            return target.service
    return targets[-1].service


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit()
