"""Lookup of routes, services and tenants in a routed configuration."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash

from postvalve.core.admission.api_keys import find_by_key
from postvalve.settings.routes import (
    RoutedConfiguration,
    RoutedTenant,
    RouteSpec,
    ServiceSpec,
    WeightedService,
)


class RouteTable:
    """Indexes of one revision of the routed configuration."""

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
        """Number of the configuration's revision."""
        return self.configuration.revision

    def match(self, host: str, path: str) -> RouteSpec | None:
        """Return the route of a host with the longest prefix of `path`, or None.

        Args:
            host: Host name as the client sent it; a port is ignored.
            path: Path without the query.
        """
        name = host.rpartition(":")[0] if _has_port(host) else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def routes_of_host(self, host: str) -> Sequence[RouteSpec]:
        """Return all routes of a host, the longest prefix first."""
        name = host.rpartition(":")[0] if _has_port(host) else host
        return self._by_host.get(name.lower(), ())

    def route_named(self, name: str) -> RouteSpec | None:
        """Return a route by its name, or None."""
        return next((route for route in self.configuration.routes if route.name == name), None)

    @property
    def requires_api_key(self) -> bool:
        """Whether requests need an API key, except on routes that allow anonymous ones."""
        return self.configuration.tenants is not None

    @property
    def has_tenant_limits(self) -> bool:
        """Whether any tenant has a limit of requests a second."""
        return any(tenant.rate for tenant in self.configuration.tenants or ())

    def tenant_of(self, key: str) -> RoutedTenant | None:
        """Return the tenant to which an API key belongs, or None."""
        return find_by_key(key, self._by_key)

    def pause_aim(self, service: str) -> float | None:
        """Return the longest pause between events that callers of a service accept, in seconds.

        It is the smallest of the service's online routes; None if no route sets one.
        """
        return self._pause_aims.get(service)

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service by its name, or None."""
        return self._services.get(name)


def _pause_aims(routes: Iterable[RouteSpec]) -> dict[str, float]:
    """Return the smallest pause aim of the online routes to each service."""
    aims: dict[str, float] = {}
    for route in routes:
        if route.pause_aim is None or route.batch is not None:
            continue
        for target in route.targets:
            aims[target.service] = min(route.pause_aim, aims.get(target.service, route.pause_aim))
    return aims


def target_fraction(tenant: str, request_id: str) -> float:
    """Return a number from 0 to 1 that is evenly distributed, and the same for one request at all
    nodes."""
    return xxhash.xxh3_64_intdigest(f"{tenant}\0{request_id}".encode()) / 2**64


def choose_target(targets: Sequence[WeightedService], fraction: float) -> str:
    """Choose a service by weight; `fraction`, from 0 to 1, is drawn for the request."""
    if len(targets) == 1:
        return targets[0].service
    point = fraction * sum(target.weight for target in targets)
    for target in targets:
        point -= target.weight
        if point < 0:
            return target.service
    return targets[-1].service


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit()
