"""Assemble the timeline of one request from the decision logs of several boxes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

CONTEXT_BEFORE_S = 3.0
"""Time before the start of a request from which other events are included, in seconds."""

CONTEXT_AFTER_S = 0.5
"""Time after its last line up to which other events are included, in seconds."""

REQUEST_EVENTS = frozenset(
    {
        "answered",
        "refused",
        "unsettled",
        "endpoint_passed_over",
        "lines_left_out",
        "rollback_failed",
    }
)
"""Events about single requests or the log; all others are about a box's view."""


@attrs.frozen
class LoggedEvent:
    """One line of a decision log.

    Attributes
    ----------
    at : float
        Time of day, in seconds.
    fields : dict
        All other fields of the line.
    """

    at: float
    box: str
    event: str
    fields: dict[str, Any]

    def as_line(self) -> str:
        """Return the event and its fields on one line."""
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at:.3f} {self.box} {self.event} {fields}".rstrip()


def read_events(lines: Iterable[str]) -> Iterator[LoggedEvent]:
    """Yield the events among ``lines``; ignore prefixes that log collectors add."""
    for line in lines:
        start = line.find('{"event"')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            at, box, event = float(fields.pop("at")), fields.pop("box"), fields.pop("event")
        except (ValueError, KeyError):
            continue
        fields.pop("part", None)
        yield LoggedEvent(at, str(box), str(event), fields)


def timeline_of(request_id: str, events: Iterable[LoggedEvent]) -> list[LoggedEvent]:
    """Return the request's events and its boxes' changes of view around them, by time."""
    ordered = sorted(events, key=lambda each: each.at)
    own = [each for each in ordered if each.fields.get("request") == request_id]
    if not own:
        return []
    took_s = max(float(each.fields.get("took_ms", 0)) for each in own) / 1000
    begin = own[0].at - took_s - CONTEXT_BEFORE_S
    end = own[-1].at + CONTEXT_AFTER_S
    boxes = {each.box for each in own}
    return [
        each
        for each in ordered
        if each in own
        or (each.box in boxes and begin <= each.at <= end and each.event not in REQUEST_EVENTS)
    ]
