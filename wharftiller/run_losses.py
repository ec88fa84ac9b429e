"""Statements not served within their goal in a run, by cause and time, from the boxes' logs."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from wharftiller.core.leadership.failover import UNREACHABLE_S
from wharftiller.core.sessions.retry_after import Cause

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wharftiller.request_timeline import LoggedEvent

SLICE_S = 2.0
"""Length of a time slice, in seconds."""

NOT_LOGGED = "not logged"
"""Cause of statements whose lines the rate limit dropped; only their count is logged."""

SLOW = "slow"
"""Cause of a late answer while the primary was in contact."""

CONNECTION_LIMIT = "door"
"""Cause of connections refused at the connection limit."""

UNSUCCESSFUL_EVENTS = ("refused", "unsettled")
"""Events of statements that ended without a result."""


@attrs.define
class Loss:
    """Statements of one cause in one time slice.

    Attributes
    ----------
    begin : float
        Start of the slice, in seconds after the first line.
    refused, unknown, late : int
        Statements refused, with an unknown outcome, and answered later than their goal.
    before_failover : int
        Refused statements whose primary had not been silent long enough for a failover:
        no box could have served them.
    """

    begin: float
    cause: str
    refused: int = 0
    unknown: int = 0
    late: int = 0
    before_failover: int = 0

    @property
    def total(self) -> int:
        """All statements of the row."""
        return self.refused + self.unknown + self.late


def losses_of(events: Iterable[LoggedEvent], first_at: float) -> list[Loss]:
    """Return the losses by time; ``first_at`` is the first line's time, in seconds."""
    losses: dict[tuple[float, str], Loss] = {}

    def loss(event: LoggedEvent, cause: str) -> Loss:
        begin = (event.at - first_at) // SLICE_S * SLICE_S
        return losses.setdefault((begin, cause), Loss(begin, cause))

    for event in events:
        fields = event.fields
        match event.event:
            case "refused":
                row = loss(event, _cause_of(fields))
                row.refused += 1
                row.before_failover += _is_before_failover(fields)
            case "unsettled":
                loss(event, _cause_of(fields)).unknown += 1
            case "answered" if fields.get("late"):
                loss(event, _cause_of_late(fields)).late += 1
            case "door_full":
                loss(event, CONNECTION_LIMIT).refused += int(fields.get("refused") or 0)
            case "lines_left_out":
                for name, count in _counts(fields).items():
                    if name in UNSUCCESSFUL_EVENTS:
                        loss(event, NOT_LOGGED).refused += count
    return sorted(losses.values(), key=lambda each: (each.begin, each.cause))


def _counts(fields: dict[str, object]) -> collections.Counter[str]:
    counts = fields.get("counts")
    return collections.Counter(counts if isinstance(counts, dict) else {})


def _cause_of(fields: dict[str, object]) -> str:
    """Return the logged cause, or the reason if an endpoint itself refused."""
    return str(fields.get("cause") or fields.get("reason"))


def _cause_of_late(fields: dict[str, object]) -> str:
    if fields.get("moving"):
        return Cause.CHANGE_OF_PRIMARY.value
    return SLOW if fields.get("lead_silent_ms") is None else Cause.PRIMARY_SILENT.value


def _is_before_failover(fields: dict[str, object]) -> bool:
    silent_ms = fields.get("lead_silent_ms")
    return isinstance(silent_ms, int) and silent_ms < UNREACHABLE_S * 1000
