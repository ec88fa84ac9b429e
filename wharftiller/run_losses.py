"""What was not served within its goal in a run: by cause and moment, from the boxes' logs."""

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
"""Time that one row stands for, in seconds."""

NOT_LOGGED = "not logged"
"""Cause of what was left out of the logs by rate: counted, its cause is not told."""

SLOW = "slow"
"""Cause of a late answer about whose primary nothing out of the ordinary was known."""

CONNECTION_LIMIT = "door"
"""Cause of callers that found no room for a session."""

UNSUCCESSFUL_EVENTS = ("refused", "unsettled")
"""Events of statements that ended without a result."""


@attrs.define
class Loss:
    """Statements of one cause in one slice of time.

    Attributes
    ----------
    begin : float
        Start of the slice, in seconds after the first line.
    refused, unknown, late : int
        Refused, without a known outcome, and answered later than their goal.
    too_early : int
        Of the refused, those whose primary had been silent for less time than it takes
        until it may be replaced: no box could have served them elsewhere.
    """

    begin: float
    cause: str
    refused: int = 0
    unknown: int = 0
    late: int = 0
    too_early: int = 0

    @property
    def total(self) -> int:
        """All statements of it."""
        return self.refused + self.unknown + self.late


def losses_of(events: Iterable[LoggedEvent], first: float) -> list[Loss]:
    """Return every loss in order of time; ``first`` is the first line's time, in seconds."""
    losses: dict[tuple[float, str], Loss] = {}

    def loss(event: LoggedEvent, cause: str) -> Loss:
        begin = (event.at - first) // SLICE_S * SLICE_S
        return losses.setdefault((begin, cause), Loss(begin, cause))

    for event in events:
        fields = event.fields
        match event.event:
            case "refused":
                row = loss(event, _cause_of(fields))
                row.refused += 1
                row.too_early += _is_too_early(fields)
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
    """Return the cause told; where an endpoint itself refused, its reason."""
    return str(fields.get("cause") or fields.get("reason"))


def _cause_of_late(fields: dict[str, object]) -> str:
    if fields.get("moving"):
        return Cause.CHANGE_OF_PRIMARY.value
    return SLOW if fields.get("lead_silent_ms") is None else Cause.PRIMARY_SILENT.value


def _is_too_early(fields: dict[str, object]) -> bool:
    silent_ms = fields.get("lead_silent_ms")
    return isinstance(silent_ms, int) and silent_ms < UNREACHABLE_S * 1000
