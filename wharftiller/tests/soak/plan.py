"""Which faults come when: drawn from a seed, in series that overlap."""

from __future__ import annotations

import enum
import random

import attrs


class FaultKind(enum.Enum):
    """What is done to a target."""

    KILL_BOX = "kill_box"
    PAUSE_BOX = "pause_box"
    STOP_BOX = "stop_box"
    RELOAD_BOX = "reload_box"
    DELAY_LINK = "delay_link"
    RESET_LINK = "reset_link"
    SILENCE_LINK = "silence_link"
    CUT_ONE_WAY = "cut_one_way"
    STORE_AWAY = "store_away"
    STORE_BUSY = "store_busy"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_FORGETS = "store_forgets"
    DEAF_REPLICA = "deaf_replica"
    LOST_ANSWER = "lost_answer"
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
SERVER_KINDS = (FaultKind.DEAF_REPLICA, FaultKind.LOST_ANSWER)

QUIET_START_S = 1.0
"""Time without faults at the start, in seconds."""

SHORTEST_S = 0.2
"""Shortest fault, in seconds."""

LONGEST_S = 5.0
"""Longest fault, in seconds: below the lease, so that some end before a change and some after."""

PAUSE_S = (0.3, 2.5)
"""Bounds of the pause between two faults of one series, in seconds."""

SERIES = 2
"""Series that run at the same time, each one fault after the other."""


@attrs.frozen
class Fault:
    """One fault.

    Attributes
    ----------
    at_s, for_s : float
        When it begins after the load does, and how long it lasts, in seconds.
    target : int
        Number of the box, link or server, taken modulo how many there are.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


def plan_faults(
    seed: int, seconds: float, kinds: tuple[FaultKind, ...] = tuple(FaultKind)
) -> list[Fault]:
    """Return the faults of a run, by the time they begin."""
    draw = random.Random(seed)
    faults = []
    for _ in range(SERIES):
        at_s = QUIET_START_S + draw.uniform(0.0, PAUSE_S[1])
        while at_s < seconds:
            for_s = draw.uniform(SHORTEST_S, LONGEST_S)
            faults.append(Fault(at_s, draw.choice(kinds), draw.randrange(1000), for_s))
            at_s += draw.uniform(*PAUSE_S) + for_s * draw.random()
    return sorted(faults, key=lambda fault: fault.at_s)
