"""The rules ONE and STALE, from what servers ran and what consumers were told."""

from __future__ import annotations

from review.common.consumers import Consumers
from review.common.deployment import Record
from review.common.servers import Commit, Group


def commits_at_old_primary(group: Group, consumers: Consumers, record: Record) -> int:
    """Return how many writes committed at an old primary and were acknowledged (ONE)."""
    found = 0
    for run in group.commits:
        if run.commit.term >= run.newest_term:
            continue
        for request in run.commit.requests:
            asked = consumers.asked.get(request)
            if asked is not None and asked.succeeded:
                found += 1
                record.note(
                    "BROKEN_ONE",
                    request=request,
                    box=asked.box,
                    server=run.server,
                    committed=record.at(run.at),
                    promoted=record.at(group.promoted_at[run.newest_term]),
                    acknowledged=record.at(asked.answered_at or 0.0),
                )
    return found


def stale_primary_reads(group: Group, consumers: Consumers, record: Record) -> int:
    """Return how many reads of a primary route lack a commit acknowledged before (STALE)."""
    database = f"booking-{group.name}"
    kept = frozenset(group.newest.log)
    acknowledged = _acknowledged(group, consumers, kept)
    found = 0
    for run in group.reads:
        asked = consumers.asked.get(run.request)
        if asked is None or asked.database != database or not asked.succeeded:
            continue
        missing = [
            commit for at, commit in acknowledged if at < asked.sent_at and not run.holds(commit)
        ]
        if missing:
            found += 1
            record.note(
                "BROKEN_STALE",
                request=run.request,
                box=asked.box,
                server=run.server,
                sent=record.at(asked.sent_at),
                executed=record.at(run.at),
                log=run.position,
                lacks=len(missing),
                first=f"{missing[0].term}.{missing[0].number}",
            )
    return found


def _acknowledged(
    group: Group, consumers: Consumers, kept: frozenset[Commit]
) -> list[tuple[float, Commit]]:
    """Return the commits that no promotion rolled back, with the time of their acknowledgement."""
    found = []
    for run in group.commits:
        for request in run.commit.requests:
            asked = consumers.asked.get(request)
            if asked is None or not asked.succeeded or asked.answered_at is None:
                continue
            if run.commit in kept:
                found.append((asked.answered_at, run.commit))
    return found


def lost_commits(group: Group, consumers: Consumers, record: Record) -> int:
    """Return how many acknowledged commits a promoted server's log lacked (LOST)."""
    found = 0
    for term, log in group.promoted_logs.items():
        held = frozenset(log)
        promoted_at = group.promoted_at[term]
        for run in group.commits:
            acknowledged = [
                asked
                for request in run.commit.requests
                if (asked := consumers.asked.get(request)) is not None and asked.succeeded
            ]
            if not acknowledged or run.commit.term >= term or run.commit in held:
                continue
            asked = acknowledged[0]
            if asked.answered_at is None or asked.answered_at > promoted_at:
                continue
            found += 1
            record.note(
                "BROKEN_LOST",
                request=asked.request,
                commit=f"{run.commit.term}.{run.commit.number}",
                committed=record.at(run.at),
                acknowledged=record.at(asked.answered_at),
                promoted=record.at(promoted_at),
            )
    return found


def served_share(consumers: Consumers, since: float, until: float) -> float:
    """Return the share of the requests sent from ``since`` to ``until`` that were served."""
    sent = [asked for asked in consumers.asked.values() if since <= asked.sent_at < until]
    failed = sum(since <= at < until for at in consumers.no_session_at)
    return sum(asked.succeeded for asked in sent) / max(1, len(sent) + failed)
