"""Schedule of faults, drawn from a seed as overlapping series."""

from __future__ import annotations

import enum
import random

import attrs


class FaultKind(enum.Enum):
    """Kind of a fault."""

    KILL_BOX = "kill_box"
    PAUSE_BOX = "pause_box"
    STOP_BOX = "stop_box"
    RELOAD_BOX = "reload_box"
    DELAY_LINK = "delay_link"
    RESET_LINK = "reset_link"
    SILENCE_LINK = "silence_link"
    CUT_ONE_WAY = "cut_one_way"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_BUSY = "store_busy"
    STORE_LOSES_REPLIES = "store_loses_replies"
    STORE_COMPACTS_HISTORY = "store_compacts_history"
    REPLICATION_SUSPENDED = "replication_suspended"
    LOST_REPLY = "lost_reply"
    CHANGE_CONFIGURATION = "change_configuration"


BOX_KINDS = (
    FaultKind.KILL_BOX,
    FaultKind.PAUSE_BOX,
    FaultKind.STOP_BOX,
    FaultKind.RELOAD_BOX,
)
LINK_KINDS = (
    FaultKind.DELAY_LINK,
    FaultKind.RESET_LINK,
    FaultKind.SILENCE_LINK,
    FaultKind.CUT_ONE_WAY,
)
SERVER_KINDS = (FaultKind.REPLICATION_SUSPENDED, FaultKind.LOST_REPLY)

QUIET_START_S = 1.0
"""Time without faults at the start, in seconds."""

MIN_FAULT_S = 0.2
"""Minimum duration of a fault, in seconds."""

MAX_FAULT_S = 5.0
"""Maximum duration of a fault, in seconds; below the lease, so that some end before a failover."""

PAUSE_BOUNDS_S = (0.3, 2.5)
"""Bounds of the pause between two faults of one series, in seconds."""

SERIES_COUNT = 2
"""Number of concurrent series; the faults of one series follow one another."""


@attrs.frozen
class Fault:
    """One scheduled fault.

    Attributes
    ----------
    at_s, for_s : float
        Start relative to the start of the load, and duration, in seconds.
    target : int
        Index of the box, link or server, modulo their number.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


def plan_faults(
    seed: int, seconds: float, kinds: tuple[FaultKind, ...] = tuple(FaultKind)
) -> list[Fault]:
    """Return the faults of a run, sorted by start."""
    rng = random.Random(seed)
    faults = []
    for _ in range(SERIES_COUNT):
        at_s = QUIET_START_S + rng.uniform(0.0, PAUSE_BOUNDS_S[1])
        while at_s < seconds:
            for_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
            faults.append(Fault(at_s, rng.choice(kinds), rng.randrange(1000), for_s))
            at_s += rng.uniform(*PAUSE_BOUNDS_S) + for_s * rng.random()
    return sorted(faults, key=lambda fault: fault.at_s)
