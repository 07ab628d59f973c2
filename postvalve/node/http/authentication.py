"""Finds the tenant or operator of a request by its API key, in constant time."""

from __future__ import annotations

import hashlib
import hmac

from werkzeug.wrappers import Request

from postvalve.exceptions import AuthenticationError
from postvalve.settings.fleet import FleetConfiguration, TenantSpec

BEARER_PREFIX = "Bearer "


def authenticate_tenant(request: Request, configuration: FleetConfiguration) -> TenantSpec:
    """The tenant whose key the request carries.

    Raises:
        AuthenticationError: there is no key, or nobody has it.
    """
    digest = _presented_digest(request)
    # The look-up is by digest, so its time tells nothing of a key.
    tenant = configuration.tenant_by_key_digest.get(digest)
    if tenant is None or not _holds_digest(tenant.api_key_sha256, digest):
        raise AuthenticationError("the API key is not valid")
    return tenant


def _holds_digest(known_digests: list[str], digest: str) -> bool:
    # Every digest is compared, each in constant time.
    matches = [hmac.compare_digest(known, digest) for known in known_digests]
    return any(matches)


def authenticate_operator(request: Request, configuration: FleetConfiguration) -> str:
    """The name of the operator whose key the request carries.

    Raises:
        AuthenticationError: there is no key, or no operator has it.
    """
    digest = _presented_digest(request)
    found = ""
    for operator in configuration.operators:
        if hmac.compare_digest(operator.api_key_sha256, digest):
            found = operator.name
    if not found:
        raise AuthenticationError("the operator key is not valid")
    return found


def _presented_digest(request: Request) -> str:
    header = request.headers.get("Authorization", "")
    if not header.startswith(BEARER_PREFIX):
        raise AuthenticationError("send the API key as 'Authorization: Bearer KEY'")
    return hashlib.sha256(header.removeprefix(BEARER_PREFIX).encode("utf-8")).hexdigest()
