"""How long a statement waits for a place at an endpoint, and when it is refused instead.

The load: more statements than a group's endpoints can run, for seconds: a crest of callers, or
replicas that lag, so that the primary alone serves all. Callers want their answer within the
route's latency goal; a later one is worth less to them and costs the endpoint as much. Where
everybody waits for nearly the goal, everybody's answer is late. So the queue is kept as short as
leaves each time to run: who comes when it is longer is refused at once, and told when to come
back.
"""

from __future__ import annotations

import attrs

QUEUED_FRACTION = 0.3
"""Part of a route's latency goal that a statement may wait in queues.

The rest is for its way, for running and for the further statements of a transaction.
"""

LATE_FRACTION = 0.1
"""Part of the goal that a statement may wait which was held for longer already, as while a
primary was replaced: it takes a place that is free soon, and is not sent back for nothing."""


@attrs.frozen
class WaitLimit:
    """How long one statement waits.

    Attributes
    ----------
    begun_until : float
        It does not begin to wait where its turn is expected later, in seconds.
    until : float
        When it gives up waiting, in seconds.
    """

    begun_until: float
    until: float


def wait_limit(arrived_at: float, goal_s: float, now: float) -> WaitLimit:
    """Return how long a statement waits that came at ``arrived_at`` (seconds).

    Parameters
    ----------
    goal_s : float
        Its route's latency goal, in seconds.
    """
    begun_until = max(arrived_at + QUEUED_FRACTION * goal_s, now + LATE_FRACTION * goal_s)
    # The expected turn may come late; what has waited is not refused just before it.
    return WaitLimit(begun_until, max(arrived_at + goal_s, begun_until))
