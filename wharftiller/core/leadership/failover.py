"""When to replace a primary, and by which endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.endpoints import EndpointRow

UNREACHABLE_S = 1.2
"""Time for which a primary must be unresponsive to every box before it is replaced, in seconds.

Replacing it loses the writes that no replica has received, so short pauses are waited out.
"""

UNREACHABLE_IN_PARTITION_S = 2.0
"""Time for which it must be unresponsive where some boxes are unresponsive too, in seconds.

The failover then also waits for the leases of those boxes (6 s), and is cancelled if the
primary answers meanwhile; together these must stay within 12 s.
"""

LAPSED_MARGIN_S = 2.2
"""Time before its shutdown at which a primary missing from the list is replaced, in seconds.

Longer than a planned failover takes. Until then its entry may reappear: an expired entry is
renewed within two seconds after a network partition heals.
"""

RANK_DELAY_S = 0.4
"""Delay per rank before a box replaces a lost primary, in seconds."""

HANDOVER_RANK_DELAY_S = 0.3
"""Delay per rank before a box starts a planned failover, in seconds."""

SEND_WINDOW_S = 2.0
"""Time after requesting an ordered record within which its holder may order the promotion.

Covers the reply to the update and the connection of the call, with a margin for a busy box.
"""

TAKE_OVER_ORDERED_S = 5.0
"""Time after which another box may take over a failover that may have been ordered, in seconds.

`SEND_WINDOW_S`, the timeout of the call (1.5 s) and a margin for a late effect.
"""

TAKE_OVER_SILENT_S = 2.0
"""Time after which an unordered failover is taken over from an unresponsive box, in seconds.

The takeover updates the record, so the former holder's own update fails and orders nothing.
"""

TAKE_OVER_S = 12.0
"""Time after which any unordered failover is taken over, in seconds.

Longer than a working holder takes: a lease (6 s) and its requests.
"""


@attrs.frozen
class Candidate:
    """A replica that could take over, with its last reported log position.

    Attributes
    ----------
    is_leaving : bool
        Whether it is about to end, and must hand over soon.
    """

    name: str
    received: LogPosition
    data_centre: str
    is_leaving: bool = False


def best_candidate(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the candidate with the highest log position; of equal ones, one that stays."""
    return max(
        candidates,
        key=lambda each: (each.received, not each.is_leaving, each.name),
        default=None,
    )


def must_hand_over(row: EndpointRow, rank: int, now: float) -> bool:
    """Return whether a responsive primary must hand over: it is leaving, or not listed."""
    if row.is_suspect(now) or row.leaving_since is None:
        return False
    wait_s = rank * HANDOVER_RANK_DELAY_S
    if row.missing_since is not None:
        wait_s += max(0.0, row.entry.leaving_serves_s - LAPSED_MARGIN_S)
    return now - row.leaving_since >= wait_s


def is_lost(row: EndpointRow | None, rank: int, now: float, *, all_answer: bool = True) -> bool:
    """Return whether a primary has been unresponsive to this box for long enough to replace it.

    Parameters
    ----------
    row : EndpointRow or None
        None if this box never saw it registered.
    rank : int
        Number of boxes that act before this one.
    all_answer : bool
        Whether every other box replies to this one.
    """
    if row is None:
        return True
    since = row.unreachable_since
    threshold_s = UNREACHABLE_S if all_answer else UNREACHABLE_IN_PARTITION_S
    return since is not None and now - since >= threshold_s + rank * RANK_DELAY_S


def takeover_rank(box: str, boxes: Iterable[str], group: str) -> int:
    """Return how many of ``boxes`` act before ``box`` in replacing ``group``'s primary."""
    return ranked(group, {box, *boxes}).index(box)
