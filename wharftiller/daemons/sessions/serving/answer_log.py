"""Log and count the outcomes of statements, with the state that decided them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from wharftiller.core.sessions.metrics import AnswerLabels
from wharftiller.core.sessions.statements import Direct, Execute
from wharftiller.decisions import SLOW_S

if TYPE_CHECKING:
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.routes import Route
    from wharftiller.core.sessions.session import Session
    from wharftiller.core.sessions.statements import Reply, Statement
    from wharftiller.daemons.sessions.state import SharedState


def record_answer(
    state: SharedState, session: Session, statement: Statement, reply: Reply, arrived_at: float
) -> None:
    """Log and count the outcome of a statement."""
    took_s = trio.current_time() - arrived_at
    route = state.configuration.routes.get(session.database)
    labels = AnswerLabels(
        "" if route is None else route.name,
        "" if route is None else type(route.consistency).__name__,
        type(statement.body).__name__,
        reply.outcome,
    )
    state.metrics.answered(labels, took_s)
    _log(state, session, statement, reply, took_s, route)


def record_forwarded(
    state: SharedState, session: Session, statement: Statement, reply: Reply, arrived_at: float
) -> None:
    """Log the outcome of a forwarded statement; the box that forwarded it counts the answer."""
    took_s = trio.current_time() - arrived_at
    route = state.configuration.routes.get(session.database)
    _log(state, session, statement, reply, took_s, route)


def record_skipped(state: SharedState, row: EndpointRow, statement: Statement, why: str) -> None:
    """Log and count that an endpoint did not serve a statement that was sent to it."""
    state.metrics.statements[row.name, "passed_over"] += 1
    state.log.event(
        "endpoint_passed_over", request=statement.request_id, endpoint=row.name, why=why
    )


def _log(
    state: SharedState,
    session: Session,
    statement: Statement,
    reply: Reply,
    took_s: float,
    route: Route | None,
) -> None:
    def log_context() -> dict[str, Any]:
        access = _access(session, statement)
        reading = None if route is None else type(route.consistency).__name__
        return {"access": access, "reading": reading, **_routing_state(state, route)}

    goal_s = SLOW_S if route is None else route.latency_goal_s
    state.log.answered(session, statement, reply, took_s, goal_s, log_context)


def _access(session: Session, statement: Statement) -> str | None:
    """Return whether a statement reads or writes; None if it does neither."""
    match statement.body:
        case Direct(access):
            return access.value
        case Execute(name):
            prepared = session.prepared.get(name)
            return None if prepared is None else prepared.access.value
        case _:
            return None


def _routing_state(state: SharedState, route: Route | None) -> dict[str, Any]:
    """Return the state, with ages and versions, that statements on ``route`` depend on."""
    if route is None:
        return {"version": state.version}
    now = trio.current_time()
    lead = state.lead(route.group)
    lease = state.leases.last_lease(route.group)
    newest = state.positions.of_group(route.group).newest
    row = state.endpoints.rows.get(lead or "")
    silent_since = row.unreachable_since if row is not None else None
    return {
        "version": state.version,
        "group": route.group,
        "record": state.leases.record.revision,
        "lead": lead,
        "moving": route.group in state.leases.record.failovers,
        "lease_age_ms": None if lease is None else _ms(now - lease.checked_at),
        "lead_silent_ms": None if silent_since is None else _ms(now - silent_since),
        "point_age_ms": None if newest is None else _ms(now - newest.at),
    }


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
