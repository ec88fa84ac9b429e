"""When a box reads from the platform what boxes share: seldom, unless nobody does it for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from wharftiller.core.sessions.bounds import PlatformBounds

SHARED_READ_S = 5.0
"""Time between reads while rounds renew the leases, in seconds.

Must stay well below the age that a round allows the list of boxes (12 s).
"""

READER_READS_S = 0.8
"""Longest time between reads by the box that reads for all, in seconds.

Leases of 6 s are renewed by what it reads where there are many boxes.
"""

READER_READS_FRACTION = 0.27
"""Longest time between its reads, as a part of that within which a configuration is in force.

Also where the platform's watches do not tell a change: this part, `READ_KNOWN_FRACTION` for a
reader that is cut off, and a read must fit in.
"""

READ_KNOWN_FRACTION = 0.63
"""Age of the newest read of any box from which a box reads for itself, as such a part.

Of 3 s: a reader's pause (0.8 s), the time between rounds (1 s), and a margin.
"""

MISSING_LEASE_READ_S = 0.25
"""Time between reads while a primary is recorded that this box may not use yet, in seconds.

After a change of primary, every box's first lease on the new one waits for this.
"""

AWAY_READ_S = 2.5
"""Time between reads by a box that the platform does not answer, in seconds.

Others of its data centre go on asking at a reader's pace and tell it of what they read. With
all 60 boxes of a deployment asking at that pace, an outage of 9 s took 843 calls.
"""


@attrs.frozen
class ReadIntervals:
    """How often the platform is read, so that a configuration is in force in time.

    Attributes
    ----------
    reader_s : float
        Time between reads by the box that reads for others, in seconds.
    known_s : float
        Age of the newest read known from which a box reads for itself, in seconds.
    """

    reader_s: float
    known_s: float

    @classmethod
    def within(cls, bounds: PlatformBounds) -> ReadIntervals:
        """Return the pace that keeps the platform's bounds."""
        in_force_s = bounds.configuration_in_force_s
        reader_s = min(READER_READS_S, READER_READS_FRACTION * in_force_s)
        return cls(reader_s, READ_KNOWN_FRACTION * in_force_s)


@attrs.frozen
class ReadScheduleInputs:
    """What a box knows when it decides whether to read.

    Attributes
    ----------
    since_s : float
        Time since it last tried, in seconds.
    misses_lease : bool
        Whether a primary is recorded that it may not use.
    by_data_centre : bool
        Whether one box in each data centre reads for those beside it, instead of one for all.
    reads_for_others : bool
        Whether this box is the one that does.
    renewed : bool
        Whether others' answers renewed its leases lately.
    known_age_s : float
        Age of the newest read of any box that it knows of, in seconds.
    platform_answers : bool
        Whether its last read was answered.
    is_asked : bool
        Whether other boxes may ask it for its reads.
    """

    since_s: float
    misses_lease: bool
    by_data_centre: bool
    reads_for_others: bool
    renewed: bool
    known_age_s: float
    platform_answers: bool = True
    is_asked: bool = True


def read_is_due(inputs: ReadScheduleInputs, intervals: ReadIntervals) -> bool:
    """Return whether to read now."""
    if inputs.by_data_centre and not inputs.platform_answers and not inputs.is_asked:
        return inputs.since_s >= AWAY_READ_S
    if inputs.misses_lease and inputs.since_s >= MISSING_LEASE_READ_S and inputs.platform_answers:
        return True
    if inputs.since_s < intervals.reader_s:
        return False
    if inputs.reads_for_others or not inputs.renewed:
        return True
    if inputs.by_data_centre:
        return False
    return inputs.since_s >= SHARED_READ_S or inputs.known_age_s > intervals.known_s
