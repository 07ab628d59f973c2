"""Which faults come when: a schedule that the seed decides."""

import random
from dataclasses import dataclass

INITIAL_DELAY = 4.0
"""Seconds without faults at the start."""
FAULT_INTERVAL = (2.0, 7.0)
"""Seconds from the start of one fault to that of the next; they may overlap."""
BURST_INTERVAL = (0.1, 1.5)
"""The same in every other round, in which faults come in series and overlap."""

ROUND_SIZE = 5
"""Faults after which there is a rest."""
QUIET_PERIOD = 18.0
"""Seconds of it: promises that are bound by time are checked only in calm times."""
ISOLATED_KINDS = frozenset(("node_term",))
"""Kinds that come alone, since a promise about them holds only then."""
ISOLATION_TIME = 10.0
"""Seconds without other faults before one of these."""

KINDS = {
    "node_kill": (0.5, 1.5),
    "node_stop": (2.0, 6.0),
    "node_suspend": (2.0, 6.0),
    "node_term": (9.0, 9.0),
    "herd_kill": (0.5, 1.5),
    "engine_kill": (1.0, 2.0),
    "engine_stop": (1.0, 4.0),
    "engine_leaves": (3.0, 3.0),
    "engine_goes": (3.0, 3.0),
    "fatal_request": (9.0, 12.0),
    "link_reset": (0.0, 0.0),
    "link_delay": (1.0, 3.0),
    "link_hold": (1.0, 3.0),
    "link_silent": (0.0, 0.0),
    "store_down": (1.0, 5.0),
    "store_lost": (0.5, 0.5),
    "store_late": (0.5, 0.5),
    "store_slow": (1.0, 4.0),
    "store_compact": (0.0, 0.0),
    "store_cut": (2.0, 5.0),
    "store_silent": (0.0, 0.0),
    "roll": (1.0, 2.0),
    "stop_series": (2.0, 5.0),
    "hup_series": (1.0, 3.0),
    "config_storm": (1.0, 3.0),
    "engine_reborn": (1.0, 2.0),
    "fatal_reborn": (9.0, 12.0),
}
"""Seconds that each kind lasts, from and to; a process that was killed is back after that."""
REBORN_KINDS = frozenset(("engine_reborn", "fatal_reborn"))
"""Kinds after which engines are back under the id that they had; recorded seeds are older."""


@dataclass(frozen=True)
class Fault:
    """One fault."""

    at: float
    """Seconds from the start of the traffic."""
    kind: str
    duration: float
    target_fraction: float
    """From 0 to 1; decides what it strikes."""


def schedule(seed, seconds, kinds):
    """Faults for so many seconds of traffic."""
    random_ = random.Random(seed)
    faults, at = [], INITIAL_DELAY
    while at < seconds:
        in_burst = len(faults) // ROUND_SIZE % 2
        kind = random_.choice(sorted(kinds))
        duration = random_.uniform(*KINDS[kind])
        if kind in ISOLATED_KINDS and faults:
            at += ISOLATION_TIME
        faults.append(Fault(round(at, 3), kind, round(duration, 3), random_.random()))
        pause = BURST_INTERVAL if in_burst else FAULT_INTERVAL
        at += random_.uniform(*pause) + (duration if kind in ISOLATED_KINDS else 0.0)
        if len(faults) % ROUND_SIZE == 0:
            at += QUIET_PERIOD
    return [one for one in faults if one.at < seconds]
