"""Run promotions: take a term, fence a majority, choose a successor, promote and record it.

Safety depends on terms and majorities alone; time only decides which steward
acts and when (docs/design/promotion.md).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.detection import MAJORITY, find_planned_failover, primary_is_lost
from wharftiller.core.messages import Role
from wharftiller.core.steward_messages import (
    GroupRecord,
    LeadState,
    LogMessage,
    NoticePrimary,
    Order,
    OrderAnswered,
    OrderLost,
    ReadRecord,
    RecordRead,
    SendOrder,
    UpdateRecord,
)
from wharftiller.core.watch_tables import (
    CatchingUp,
    Fencing,
    PlannedFailover,
    Promoting,
    Quiescing,
    Reading,
    Recording,
    Step,
    TakingTerm,
    Watching,
)

if TYPE_CHECKING:
    from wharftiller.core.messages import Report
    from wharftiller.core.positions import LogPosition
    from wharftiller.core.watch_tables import WatchedGroup, WatchedServer, WatchTables

RANK_DELAY_S = 0.25
"""Delay added per rank of a steward before it acts, in seconds."""

MAX_RANKS = 4
ATTEMPT_S = 3.0
PLANNED_ATTEMPT_S = 8.0
LEASE_S = 1.0
"""Time during which a term taken by another steward is left to it, in seconds."""

SECOND_REPLICA_WAIT_S = 0.1
QUIESCE_HOLD_MS = 2_000


def advance(tables: WatchTables, group: WatchedGroup, now: float) -> None:
    """Start an attempt if a failover is due, or continue the one under way."""
    if not isinstance(group.step, Watching):
        _continue_attempt(tables, group, now)
        return
    rank = tables.rank_for(group)
    if rank is None or now < group.next_try_at:
        return
    delay = RANK_DELAY_S * min(rank, MAX_RANKS)
    if primary_is_lost(tables, group, now, delay):
        _start_attempt(tables, group, None, now)
        return
    planned = find_planned_failover(tables, group)
    if planned is None:
        group.planned_since = None
    elif group.planned_since is None:
        group.planned_since = now
    elif now - group.planned_since >= delay:
        _start_attempt(tables, group, planned, now)


def _start_attempt(
    tables: WatchTables, group: WatchedGroup, planned: PlannedFailover | None, now: float
) -> None:
    group.planned = planned
    group.started_at = now
    if planned is None:
        silent_s = now - group.last_led_at
        text = f"primary has not answered for {silent_s:.1f} s; starting a promotion"
    else:
        text = f"starting the planned failover to {planned.target}"
    tables.emit(LogMessage(group.spec.name, text))
    _enter_step(group, Reading(), now)
    tables.emit(ReadRecord(group.spec.name))


def _enter_step(group: WatchedGroup, step: Step, now: float) -> None:
    group.step = step
    group.outstanding_orders.clear()


def abandon_attempt(
    tables: WatchTables, group: WatchedGroup, wait_s: float, now: float, why: str
) -> None:
    """Abandon the attempt; the next one starts ``wait_s`` seconds from now at the earliest."""
    if not isinstance(group.step, Watching):
        tables.emit(LogMessage(group.spec.name, f"promotion abandoned: {why}"))
    if isinstance(group.step, Quiescing | CatchingUp):
        group.outstanding_orders.clear()
        _send_order(tables, group, group.primary, Order.QUIESCE, level=0)
    _enter_step(group, Watching(), now)
    group.next_try_at = now + wait_s * tables.random.uniform(1.0, 1.3)


def handle_record_read(
    tables: WatchTables, group: WatchedGroup, read: RecordRead, now: float
) -> None:
    """Take the next term from the record read, unless another steward is promoting."""
    if not isinstance(group.step, Reading):
        return
    if _abandon_if_led(tables, group, now):
        return
    seen_version, seen_at = group.record_seen
    if read.version != seen_version:
        seen_at = now
        group.record_seen = (read.version, now)
    group.record = read.record
    group.version = read.version
    left_s = LEASE_S - (now - seen_at)
    if _is_owned_by_another(tables, group, read.record) and left_s > 0:
        abandon_attempt(
            tables, group, left_s, now, f"{read.record.owner} took term {read.record.term}"
        )
        return
    if (
        group.planned is not None
        and group.planned.plan
        and group.planned.plan == read.record.done_plan
    ):
        group.done_plans.add(group.planned.plan)
        abandon_attempt(tables, group, 0.0, now, "the planned failover was carried out already")
        return
    _take_term(tables, group, now)


def _abandon_if_led(tables: WatchTables, group: WatchedGroup, now: float) -> bool:
    """Abandon the attempt if a primary has answered since it began; return whether it did."""
    has_led = group.last_led_at >= group.started_at
    if group.planned is not None or not has_led or primary_is_lost(tables, group, now, 0.0):
        return False
    abandon_attempt(tables, group, 0.0, now, f"{group.primary} leads term {group.term}")
    return True


def _is_owned_by_another(tables: WatchTables, group: WatchedGroup, record: GroupRecord) -> bool:
    """Return whether another steward is taking a term, or took one newer than this box's."""
    if record.owner == tables.box:
        return False
    return record.state is LeadState.TAKING or record.term > group.term


def _take_term(tables: WatchTables, group: WatchedGroup, now: float) -> None:
    promised = [
        server.report.promised
        for name in group.names
        if (server := tables.servers[name]).report is not None
    ]
    term = max(group.record.term, group.term, *promised, 0) + 1
    claim = attrs.evolve(
        group.record, term=term, owner=tables.box, state=LeadState.TAKING, primary=""
    )
    group.record = claim
    # After the platform is restored from a copy, two stewards may take the same term.
    tables.attempts += 1
    group.attempt = f"{tables.process}.{tables.attempts}"
    _enter_step(group, TakingTerm(term), now)
    tables.emit(UpdateRecord(group.spec.name, claim, group.version))


def handle_record_updated(
    tables: WatchTables, group: WatchedGroup, version: int, now: float
) -> None:
    """Continue once the term is taken, or finish once the primary is recorded."""
    match group.step:
        case TakingTerm(term):
            group.version = version
            group.record_seen = (version, now)
            if _abandon_if_led(tables, group, now):
                return
            if group.planned is None:
                _fence(tables, group, term, now)
            else:
                _enter_step(group, Quiescing(term, writes_too=False), now)
                _continue_attempt(tables, group, now)
        case Recording(term, chosen):
            group.version = version
            if group.planned is not None and group.planned.plan:
                group.done_plans.add(group.planned.plan)
            tables.emit(LogMessage(group.spec.name, f"recorded {chosen} as primary of term {term}"))
            _enter_step(group, Watching(), now)
            group.next_try_at = now


def _fence(tables: WatchTables, group: WatchedGroup, term: int, now: float) -> None:
    _enter_step(group, Fencing(term, now, {}), now)
    _continue_attempt(tables, group, now)


def _continue_attempt(tables: WatchTables, group: WatchedGroup, now: float) -> None:
    """Send the orders that the step still needs; abandon an attempt that takes too long."""
    max_s = ATTEMPT_S if group.planned is None else PLANNED_ATTEMPT_S
    if now - group.started_at > max_s:
        abandon_attempt(tables, group, tables.detect_s / 2, now, f"{max_s} s have passed")
        return
    if group.planned is not None and primary_is_lost(tables, group, now, 0.0):
        abandon_attempt(tables, group, 0.0, now, "the primary was lost during the planned failover")
        return
    match group.step:
        case Quiescing(_, writes_too):
            _send_order(tables, group, group.primary, Order.QUIESCE, level=2 if writes_too else 1)
        case CatchingUp(term, position):
            _fence_if_caught_up(tables, group, term, position, now)
        case Fencing(term, started_at, replies):
            for name in group.names:
                if name not in replies:
                    _send_order(tables, group, name, Order.FENCE)
            if now - started_at >= SECOND_REPLICA_WAIT_S:
                _choose_successor(tables, group, term, replies, now)
        case Promoting(_, chosen):
            _send_order(tables, group, chosen, Order.PROMOTE)


def _send_order(
    tables: WatchTables, group: WatchedGroup, name: str | None, order: Order, level: int = 0
) -> None:
    server = tables.server(name)
    term = getattr(group.step, "term", 0)
    if server is None or (server.name, order) in group.outstanding_orders:
        return
    group.outstanding_orders.add((server.name, order))
    order_term = group.term if order is Order.QUIESCE else term
    tables.emit(
        SendOrder(
            group.spec.name,
            server.name,
            server.control_address,
            order,
            order_term,
            level=level,
            hold_ms=QUIESCE_HOLD_MS if level else 0,
            attempt=group.attempt if order in (Order.FENCE, Order.PROMOTE) else "",
        )
    )


def handle_order_lost(
    tables: WatchTables, group: WatchedGroup, lost: OrderLost, now: float
) -> None:
    """Allow the order to be sent again."""
    group.outstanding_orders.discard((lost.endpoint, lost.order))


def handle_order_answered(
    tables: WatchTables, group: WatchedGroup, answered: OrderAnswered, now: float
) -> None:
    """Apply a server's answer to an order of the current step."""
    group.outstanding_orders.discard((answered.endpoint, answered.order))
    report = answered.report
    match (group.step, answered.order):
        case (Quiescing(term, writes_too), Order.QUIESCE):
            _handle_quiesced(tables, group, term, writes_too, answered, now)
        case (Fencing(term, started_at, replies), Order.FENCE) if answered.term == term:
            if not answered.accepted:
                why = f"{answered.endpoint} has promised term {report.promised}"
                abandon_attempt(tables, group, tables.detect_s / 2, now, why)
                return
            replies = {**replies, answered.endpoint: report}
            group.step = Fencing(term, started_at, replies)
            _choose_early(tables, group, term, replies, now)
        case (Promoting(term, chosen), Order.PROMOTE) if answered.term == term:
            if answered.accepted:
                _handle_promoted(tables, group, term, chosen, now)
            else:
                abandon_attempt(
                    tables, group, tables.detect_s / 2, now, f"{chosen} refused the promotion"
                )


def _handle_quiesced(
    tables: WatchTables,
    group: WatchedGroup,
    term: int,
    writes_too: bool,
    answered: OrderAnswered,
    now: float,
) -> None:
    if not answered.accepted:
        abandon_attempt(tables, group, tables.detect_s / 2, now, "the primary refused to quiesce")
        return
    if not writes_too:
        if answered.report.open_transactions == 0:
            _enter_step(group, Quiescing(term, writes_too=True), now)
            _continue_attempt(tables, group, now)
        return
    _enter_step(group, CatchingUp(term, answered.report.position), now)
    _fence_if_caught_up(tables, group, term, answered.report.position, now)


def _fence_if_caught_up(
    tables: WatchTables, group: WatchedGroup, term: int, position: int, now: float
) -> None:
    assert group.planned is not None
    target = tables.servers[group.planned.target]
    if target.report is not None and target.report.position >= position:
        _fence(tables, group, term, now)
    else:
        target.last_asked_at = -1e9


def _choose_early(
    tables: WatchTables,
    group: WatchedGroup,
    term: int,
    replies: dict[str, Report],
    now: float,
) -> None:
    """Choose at once if the replies so far already decide the choice.

    They do with a majority besides the old primary, or with the planned target
    among a majority.
    """
    without_old = [name for name in replies if name != group.primary]
    target_in = group.planned is not None and group.planned.target in replies
    if len(without_old) >= MAJORITY or (target_in and len(replies) >= MAJORITY):
        _choose_successor(tables, group, term, replies, now)


def _choose_successor(
    tables: WatchTables,
    group: WatchedGroup,
    term: int,
    replies: dict[str, Report],
    now: float,
) -> None:
    """Promote the most advanced server of a fenced majority."""
    if len(replies) < MAJORITY:
        return
    candidates = dict(replies)
    others = {name: report for name, report in replies.items() if name != group.primary}
    if len(others) >= MAJORITY:
        candidates = others
    chosen = max(candidates, key=lambda name: _candidate_key(tables, group, candidates[name]))
    tables.emit(LogMessage(group.spec.name, f"chose {chosen} as primary of term {term}"))
    _enter_step(group, Promoting(term, chosen), now)
    _continue_attempt(tables, group, now)


def _candidate_key(
    tables: WatchTables, group: WatchedGroup, report: Report
) -> tuple[LogPosition, bool, bool, str]:
    wanted = group.planned is not None and group.planned.target == report.endpoint
    staying = not (report.leaving or tables.servers[report.endpoint].leaving)
    return (report.log_position, wanted, staying, report.endpoint)


def _handle_promoted(
    tables: WatchTables, group: WatchedGroup, term: int, chosen: str, now: float
) -> None:
    group.term = term
    group.primary = chosen
    group.last_led_at = now
    tables.emit(NoticePrimary(group.spec.name, term, chosen))
    for name in group.names:
        if name != chosen:
            _order_follow(tables, group, tables.servers[name], now)
    plan = group.planned.plan if group.planned and group.planned.plan else group.record.done_plan
    record = GroupRecord(term, tables.box, LeadState.LED, chosen, plan)
    _enter_step(group, Recording(term, chosen), now)
    tables.emit(UpdateRecord(group.spec.name, record, group.version))


def _order_follow(
    tables: WatchTables, group: WatchedGroup, server: WatchedServer, now: float
) -> None:
    primary = tables.server(group.primary)
    if primary is None:
        return
    server.followed_at = now
    tables.emit(
        SendOrder(
            group.spec.name,
            server.name,
            server.control_address,
            Order.FOLLOW,
            group.term,
            primary_address=primary.control_address,
        )
    )


FOLLOW_RETRY_S = 0.3


def redirect_replicas(tables: WatchTables, group: WatchedGroup, now: float) -> None:
    """Order replicas that lack the newest term or its primary to follow it."""
    primary = tables.server(group.primary)
    if primary is None or primary.report is None or primary.report.role is not Role.PRIMARY:
        return
    for name in group.names:
        server = tables.servers[name]
        report = server.report
        if server is primary or report is None or now - server.followed_at < FOLLOW_RETRY_S:
            continue
        has_old_term = report.log_term < group.term
        misses_primary = report.primary_silent_ms > tables.detect_s * 1000
        if report.promised <= group.term and (has_old_term or misses_primary):
            _order_follow(tables, group, server, now)
