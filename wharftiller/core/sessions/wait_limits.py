"""Limit of the time that a statement waits for capacity at an endpoint.

Under a load peak, or where the primary alone serves because replicas lag, a queue whose wait
comes near the route's latency goal makes every answer late at the same cost. So the queue is
kept short enough to leave each statement time to run; statements that arrive when it is longer
are refused at once with a retry-after time.
"""

from __future__ import annotations

import attrs

QUEUED_FRACTION = 0.3
"""Fraction of a route's latency goal that a statement may wait in queues.

The rest is for the network, for running and for the further statements of a transaction.
"""

LATE_FRACTION = 0.1
"""Fraction of the goal that a statement may always wait, also if it was held for longer before,
as during a failover: it is not refused where capacity is free soon."""


@attrs.frozen
class WaitLimit:
    """Limits of one statement's wait.

    Attributes
    ----------
    admit_until : float
        The statement is queued only if it is expected to run by this time, in seconds.
    until : float
        Time at which a queued statement times out, in seconds.
    """

    admit_until: float
    until: float


def wait_limit(arrived_at: float, goal_s: float, now: float) -> WaitLimit:
    """Return the limits for a statement that arrived at ``arrived_at`` (seconds).

    Parameters
    ----------
    goal_s : float
        Its route's latency goal, in seconds.
    """
    admit_until = max(arrived_at + QUEUED_FRACTION * goal_s, now + LATE_FRACTION * goal_s)
    # The wait may take longer than expected; a statement is not refused shortly before it runs.
    return WaitLimit(admit_until, max(arrived_at + goal_s, admit_until))
