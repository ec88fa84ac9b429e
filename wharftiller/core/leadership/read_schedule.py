"""When a box reads the shared state from the platform: seldom while other boxes read for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from wharftiller.core.sessions.bounds import PlatformBounds

SHARED_READ_S = 5.0
"""Time between reads while renewals by other boxes extend the leases, in seconds.

Must stay well below the maximum age of the list of boxes in a renewal (12 s).
"""

READER_READS_S = 0.8
"""Maximum time between reads by the box that reads for others, in seconds.

Where there are many boxes, its reads renew the leases of the others.
"""

READER_READS_FRACTION = 0.27
"""Maximum time between its reads, as a fraction of the bound on configuration changes.

Where the platform's watches miss a change, this fraction, `READ_KNOWN_FRACTION` for a reader
that is cut off, and the read itself must stay within the bound.
"""

READ_KNOWN_FRACTION = 0.63
"""Age of the newest read of any box from which a box reads for itself, as such a fraction.

Covers a reader's interval, the time between renewals and a margin.
"""

MISSING_LEASE_READ_S = 0.25
"""Time between reads while this box lacks a lease on a recorded primary, in seconds.

After a failover, every box's first lease on the new primary waits for this.
"""

AWAY_READ_S = 2.5
"""Time between reads by a box that the platform does not answer, in seconds.

The readers of its data centre retry more often and distribute what they read, which limits
the load on a platform that recovers.
"""


@attrs.frozen
class ReadIntervals:
    """Intervals at which the platform is read, so that a configuration is in force in time.

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
        """Return the intervals that keep the platform's bounds."""
        in_force_s = bounds.configuration_in_force_s
        reader_s = min(READER_READS_S, READER_READS_FRACTION * in_force_s)
        return cls(reader_s, READ_KNOWN_FRACTION * in_force_s)


@attrs.frozen
class ReadScheduleInputs:
    """Inputs of the decision whether to read.

    Attributes
    ----------
    since_s : float
        Time since the last attempt, in seconds.
    misses_lease : bool
        Whether there is a recorded primary without a valid lease.
    by_data_centre : bool
        Whether one box in each data centre reads for the others there, instead of one for all.
    reads_for_others : bool
        Whether this box reads for others.
    renewed : bool
        Whether the replies of other boxes renewed its leases recently.
    known_age_s : float
        Age of the newest known read of any box, in seconds.
    platform_answers : bool
        Whether the platform answered the last read.
    may_be_asked : bool
        Whether other boxes may request its reads.
    """

    since_s: float
    misses_lease: bool
    by_data_centre: bool
    reads_for_others: bool
    renewed: bool
    known_age_s: float
    platform_answers: bool = True
    may_be_asked: bool = True


def read_is_due(inputs: ReadScheduleInputs, intervals: ReadIntervals) -> bool:
    """Return whether to read now."""
    if inputs.by_data_centre and not inputs.platform_answers and not inputs.may_be_asked:
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
