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
"""How long a primary must be silent to every box before it is replaced, in seconds.

Writes that no replica had received yet are lost with it (20 to 60 ms of them), so
a pause of a second is borne first; every further second stops the group's writes.
"""

UNREACHABLE_BEHIND_CUT_S = 2.0
"""How long it must be silent where some boxes are silent too, in seconds.

The change then waits for those boxes' leases (6 s) and is called off if the primary
answers meanwhile; all together must stay within 12 s.
"""

LAPSED_MARGIN_S = 2.2
"""How long before it may end a primary missing from the list is replaced, in seconds.

A planned change takes one to two. Until then its entry may come back: a lapsed one does
within two seconds after a cut heals.
"""

RANK_DELAY_S = 0.4
"""Time by which each further box leaves the first move to those before it, in seconds."""

HANDOVER_RANK_DELAY_S = 0.3
"""Time by which each further box leaves a planned change to those before it, in seconds."""

SEND_WINDOW_S = 2.0
"""Time after asking for an ordered record within which its holder may order the promotion.

A read of the answer and the call's own connection, with a margin for a busy box.
"""

TAKE_OVER_ORDERED_S = 5.0
"""Time after which another box may take over a change that may have been ordered, in seconds.

The holder's window (2 s), its call's time-out (1.5 s) and a margin for a late effect.
"""

TAKE_OVER_SILENT_S = 2.0
"""Time after which a change that was not ordered is taken over from a silent box, in seconds.

Its holder cannot order it any more: that needs an update of the record as it stood.
"""

TAKE_OVER_S = 12.0
"""Time after which any change that was not ordered is taken over, in seconds.

More than the longest that a working holder takes: the lease (6 s) and its questions.
"""


@attrs.frozen
class Candidate:
    """A replica that could take over, as it last told."""

    name: str
    received: LogPosition
    data_centre: str


def best_candidate(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the candidate that has received most; ties go by name."""
    return max(candidates, key=lambda each: (each.received, each.name), default=None)


def must_hand_over(row: EndpointRow, rank: int, now: float) -> bool:
    """Return whether an answering primary must hand over: it is leaving, or not listed."""
    if row.is_suspect(now) or row.leaving_since is None:
        return False
    wait_s = rank * HANDOVER_RANK_DELAY_S
    if row.missing_since is not None:
        wait_s += max(0.0, row.entry.leaving_serves_s - LAPSED_MARGIN_S)
    return now - row.leaving_since >= wait_s


def is_lost(row: EndpointRow | None, rank: int, now: float, *, all_answer: bool = True) -> bool:
    """Return whether a primary has been silent to this box for long enough.

    Parameters
    ----------
    row : EndpointRow or None
        None if this box never saw it registered.
    turn : int
        How many boxes go first.
    all_answer : bool
        Whether every other box answers this one.
    """
    if row is None:
        return True
    since = row.unreachable_since
    threshold_s = UNREACHABLE_S if all_answer else UNREACHABLE_BEHIND_CUT_S
    return since is not None and now - since >= threshold_s + rank * RANK_DELAY_S


def takeover_rank(box: str, boxes: Iterable[str], group: str) -> int:
    """Return how many of ``boxes`` go before ``box`` in replacing ``group``'s primary."""
    return ranked(group, {box, *boxes}).index(box)
