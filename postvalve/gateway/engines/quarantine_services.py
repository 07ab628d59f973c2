"""What requests and batch items need of a node to be checked by the quarantine."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.clock import Clock
from postvalve.core.admission.part_quarantine import PartQuarantine
from postvalve.core.admission.quarantine import Quarantine
from postvalve.events import EventLog
from postvalve.gateway.engines.engine_crashes import EngineCrashes


@dataclass(frozen=True, slots=True)
class QuarantineServices:
    """The parts of the node that know under what engines crash."""

    clock: Clock
    events: EventLog
    requests: Quarantine
    parts: PartQuarantine
    crashes: EngineCrashes
