"""Identifies the tenant or operator of a request by its API key, in constant time."""

from __future__ import annotations

from werkzeug.wrappers import Request

from postvalve.core.admission.api_keys import find_by_key, same_key
from postvalve.exceptions import AuthenticationError
from postvalve.settings.fleet import FleetConfiguration, TenantSpec

BEARER_PREFIX = "Bearer "


def authenticate_tenant(request: Request, configuration: FleetConfiguration) -> TenantSpec:
    """Return the tenant whose API key the request carries.

    Raises:
        AuthenticationError: the key is missing or belongs to no tenant.
    """
    tenant = find_by_key(_presented_key(request), configuration.tenant_by_key_digest)
    if tenant is None:
        raise AuthenticationError("the API key is not valid")
    return tenant


def authenticate_operator(request: Request, configuration: FleetConfiguration) -> str:
    """Return the name of the operator whose key the request carries.

    Raises:
        AuthenticationError: the key is missing or belongs to no operator.
    """
    key = _presented_key(request)
    name = ""
    for operator in configuration.operators:
        if same_key(key, operator.api_key_sha256):
            name = operator.name
    if not name:
        raise AuthenticationError("the operator key is not valid")
    return name


def _presented_key(request: Request) -> str:
    header = request.headers.get("Authorization", "")
    if not header.startswith(BEARER_PREFIX):
        raise AuthenticationError("send the API key as 'Authorization: Bearer KEY'")
    return header.removeprefix(BEARER_PREFIX)
