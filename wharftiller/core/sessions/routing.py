"""Selection of the endpoint for a read, and of the log position that the read requires.

A read carries the position that its endpoint's log must hold, and the endpoint refuses the
read if its log is shorter. The box's current view of the replicas only decides their order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.positions import LOG_START, LogPosition
from wharftiller.core.sessions.routes import BoundedReads, OwnWritesReads, PrimaryReads

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wharftiller.core.freshness import FreshPoints
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import Session

REPLICA_RETRY_S = 0.15
"""Time after a refusal for being behind before the same position is sent to the replica again,
in seconds.

A refusal costs a round trip; while the replica is skipped, its reads go to the primary.
"""

POSITION_RECENT_S = 0.1
"""Time for which a reported log position is taken as the current one, in seconds."""

PRIMARY_COST = 2.0
"""Load added to the primary, in statements, because it alone serves writes.

More than `DISTANCE_COST`, so that reads prefer an idle replica in another data centre to a
primary in this one.
"""

DISTANCE_COST = 1.5
"""Load added to an endpoint in another data centre, in statements.

Traffic between data centres is billed by the byte; its latency is a tenth of a usual
statement.
"""

OPENING_COST = 1.0
"""Load added to an endpoint without an idle connection for the caller, in statements.

Opening a connection occupies a slot there for about as long as a usual statement.
"""


@attrs.frozen
class OnlyPrimary:
    """The read must run on the primary, under a valid lease."""

    why: str


@attrs.frozen
class AnyReplica:
    """The read may run on any endpoint whose log holds ``position``."""

    position: LogPosition


Need = OnlyPrimary | AnyReplica


def need_of_read(route: Route, session: Session, points: FreshPoints, begun_at: float) -> Need:
    """Return which endpoints may run a read that began at ``begun_at`` (seconds)."""
    if route.group in session.unsettled:
        return OnlyPrimary("the outcome of a write of this session is not known")
    match route.consistency:
        case PrimaryReads():
            return OnlyPrimary("the route reads from the primary")
        case BoundedReads(max_age_s):
            own = LOG_START
        case OwnWritesReads(max_age_s):
            own = session.own_writes.get(route.group, LOG_START)
    position = points.earliest_since(begun_at - max_age_s)
    if position is None:
        return OnlyPrimary("no log position is known that is new enough")
    return AnyReplica(max(position, own))


def replica_order(
    rows: Iterable[EndpointRow],
    position: LogPosition,
    primary: str | None,
    data_centre: str,
    load: dict[str, int],
    connected: Collection[str],
    now: float,
) -> list[EndpointRow]:
    """Return the endpoints that may hold ``position``, best first.

    Parameters
    ----------
    primary : str or None
        The primary's name.
    load : dict of str to int
        Statements of this box that run on each endpoint or wait for it.
    connected : collection of str
        Endpoints to which an idle connection for the caller is open.
    """
    usable = [row for row in rows if _may_hold(row, position, primary, now)]

    def cost(row: EndpointRow) -> tuple[float, bool, bool]:
        is_primary = row.name == primary
        is_far = row.entry.data_centre != data_centre
        statements = (
            load.get(row.name, 0) + 1.0 + PRIMARY_COST * is_primary + DISTANCE_COST * is_far
        )
        statements += OPENING_COST * (row.name not in connected)
        return statements * row.service_s, is_far, is_primary

    return sorted(usable, key=cost)


def _may_hold(row: EndpointRow, position: LogPosition, primary: str | None, now: float) -> bool:
    if row.gone or row.is_suspect(now):
        return False
    if row.name == primary:
        return row.may_still_lead(now)
    if row.leaving_since is not None:
        return False
    if row.behind is not None and position >= row.behind and now - row.behind_at < REPLICA_RETRY_S:
        return False
    is_recent = row.position is not None and now - row.position_at < POSITION_RECENT_S
    return not (is_recent and row.position is not None and row.position < position)
