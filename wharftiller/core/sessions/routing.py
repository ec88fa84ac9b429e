"""Which endpoint runs a read, and the log position that makes the read safe.

A read carries the position that its endpoint's log must hold, and the endpoint
itself refuses where its log falls short. What this box believes of a replica only
decides whom to ask first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.positions import NOWHERE, LogPosition
from wharftiller.core.sessions.routes import BoundedReads, OwnWritesReads, PrimaryReads

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wharftiller.core.freshness import FreshPoints
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import Session

REPLICA_RETRY_S = 0.15
"""Time after a refusal for being behind before the replica is asked for as much again.

A refusal costs a round trip; a replica that is spared for too long leaves its reads to the
primary.
"""

POSITION_RECENT_S = 0.1
"""A told log position stands for the present one for so long, in seconds."""

LEAD_COST = 2.0
"""Statements that the primary is taken to run already: it alone serves writes.

More than `DISTANCE_COST`, so that lookups leave a near primary to the bookings while a
replica elsewhere is idle.
"""

DISTANCE_COST = 1.5
"""Statements that another data centre's endpoint is taken to run already.

What is run elsewhere crosses between data centres, which operators pay for by the byte; the
way itself costs a tenth of a usual statement.
"""


OPENING_COST = 1.0
"""Statements that an endpoint is taken to run already which has no idle connection for the caller.

Opening one holds a slot there for 12 ms, a usual statement for 9 to 15.
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
    """Return what a read that began at ``begun_at`` (seconds) needs."""
    if route.group in session.unsettled:
        return OnlyPrimary("the outcome of a write of this session is not known")
    match route.consistency:
        case PrimaryReads():
            return OnlyPrimary("the route reads from the primary")
        case BoundedReads(max_age_s):
            own = NOWHERE
        case OwnWritesReads(max_age_s):
            own = session.own_writes.get(route.group, NOWHERE)
    position = points.earliest_since(begun_at - max_age_s)
    if position is None:
        return OnlyPrimary("no log position is known that is new enough")
    return AnyReplica(max(position, own))


def replica_order(
    rows: Iterable[EndpointRow],
    position: LogPosition,
    lead: str | None,
    data_centre: str,
    busy: dict[str, int],
    ready: Collection[str],
    now: float,
) -> list[EndpointRow]:
    """Return the endpoints that may hold ``position``, best first.

    Parameters
    ----------
    lead : str or None
        The primary's name.
    busy : dict of str to int
        Statements of this box that each endpoint runs or that wait for it.
    ready : collection of str
        Endpoints to which an idle connection for the caller is open.
    """
    usable = [row for row in rows if _may_hold(row, position, lead, now)]

    def cost(row: EndpointRow) -> tuple[float, bool, bool]:
        leads = row.name == lead
        is_far = row.entry.data_centre != data_centre
        load = busy.get(row.name, 0) + 1.0 + LEAD_COST * leads + DISTANCE_COST * is_far
        load += OPENING_COST * (row.name not in ready)
        return load * row.service_s, is_far, leads

    return sorted(usable, key=cost)


def _may_hold(row: EndpointRow, position: LogPosition, lead: str | None, now: float) -> bool:
    if row.gone or row.is_suspect(now):
        return False
    if row.name == lead:
        return row.may_still_lead(now)
    if row.leaving_since is not None:
        return False
    if row.behind is not None and position >= row.behind and now - row.behind_at < REPLICA_RETRY_S:
        return False
    recent = row.position is not None and now - row.position_at < POSITION_RECENT_S
    return not (recent and row.position is not None and row.position < position)
