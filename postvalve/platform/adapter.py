"""Assembles the adapter's parts for the gateway from the platform's settings file."""

from __future__ import annotations

from functools import partial

from postvalve.clock import Clock
from postvalve.gateway.gateway import GatewayPlatform
from postvalve.platform.dialect import PlatformDialect
from postvalve.platform.fleet import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    DIRECTORY_TOPIC,
    parse_configuration,
    parse_engine,
)
from postvalve.platform.lots import PlatformJobCalls
from postvalve.platform.settings import PlatformSettings
from postvalve.platform.store import PlatformStore


def gateway_platform(settings: PlatformSettings, clock: Clock) -> GatewayPlatform:
    """Return the platform's implementations of the gateway's interfaces."""
    return GatewayPlatform(
        topics=PlatformStore(settings.platform.address, clock),
        dialect=PlatformDialect(),
        job_calls=PlatformJobCalls,
        configuration_topic=CONFIGURATION_TOPIC,
        configuration_key=CONFIGURATION_KEY,
        parse_configuration=parse_configuration,
        directory_topic=DIRECTORY_TOPIC,
        parse_engine=partial(parse_engine, own_addresses=settings.own_addresses()),
        status_time=settings.bounds.statusS,
    )
