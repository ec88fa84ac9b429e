"""State of each endpoint, as this box observes it."""

from __future__ import annotations

import math

import attrs

from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.routes import EndpointEntry

SERVICE_WEIGHT = 0.15
"""Weight of the newest statement in the smoothed service time."""

FIRST_SERVICE_S = 0.02
"""Service time assumed for an endpoint that has not answered yet, in seconds."""

MIN_SILENCE_S = 0.3
"""Minimum time without a reply before an endpoint counts as unresponsive, in seconds.

Longer than the kernel's minimum retransmission timeout of 0.2 s, so that one lost packet does
not suffice.
"""

SILENCE_FACTOR = 6.0
"""Service times without a reply after which an endpoint counts as unresponsive."""

LEAVING_MARGIN_S = 1.5
"""Time before the end of a leaving primary's service at which it gets no more statements, in
seconds.

Covers the delay of its announcement (the platform is read every 0.8 s) and of a statement
(0.7 s to get a connection).
"""

MISSING_GONE_S = 2.5
"""Time after which an endpoint that is missing from the list counts as removed, in seconds.

Entries expire while the platform is unavailable; live endpoints register again within two
seconds of its return.
"""


@attrs.define
class EndpointRow:
    """One endpoint.

    Attributes
    ----------
    outstanding : dict of int to float
        Send times of the statements not answered yet, in seconds, by connection number.
    service_s : float
        Smoothed service time of a statement, in seconds.
    last_contact_at : float
        Time of its last reply of any kind, in seconds.
    unreachable_since : float or None
        Time since which requests to it have failed, in seconds.
    position, position_at : LogPosition or None, float
        End of its log as it last reported it, and the time of that report.
    behind, behind_at : LogPosition or None, float
        Position that its log lacked at the last such refusal, and the time of that.
    leaving_since : float or None
        Time at which this box received the announcement that it is about to stop.
    missing_since : float or None
        Time since which it is missing from the list of registered endpoints.
    """

    entry: EndpointEntry
    outstanding: dict[int, float] = attrs.field(factory=dict)
    service_s: float = FIRST_SERVICE_S
    last_contact_at: float = -math.inf
    unreachable_since: float | None = None
    position: LogPosition | None = None
    position_at: float = -math.inf
    behind: LogPosition | None = None
    behind_at: float = -math.inf
    gone: bool = False
    leaving_since: float | None = None
    missing_since: float | None = None

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.entry.name

    @property
    def is_listed(self) -> bool:
        """Whether the newest list contains it."""
        return not self.gone and self.missing_since is None

    @property
    def may_need_successor(self) -> bool:
        """Whether it is unreachable or about to stop: a group that it leads needs a successor."""
        return self.unreachable_since is not None or self.leaving_since is not None

    def may_still_lead(self, now: float) -> bool:
        """Return whether statements may still be sent to a primary that may be leaving."""
        if self.leaving_since is None:
            return True
        return now - self.leaving_since < self.entry.leaving_serves_s - LEAVING_MARGIN_S

    def is_presumed_removed(self, now: float) -> bool:
        """Return whether it has been missing from the list for long enough to count as removed."""
        if self.missing_since is None:
            return False
        return self.leaving_since is not None or now - self.missing_since >= MISSING_GONE_S

    def update_entry(self, entry: EndpointEntry) -> bool:
        """Replace its entry; return whether its process was restarted since the last one."""
        before, self.entry = self.entry, entry
        if None in (before.started_ms, entry.started_ms) or before.started_ms == entry.started_ms:
            return False
        # The state of the former process does not apply to the new one.
        self.outstanding.clear()
        self.position = self.behind = None
        self.unreachable_since = None
        self.service_s = FIRST_SERVICE_S
        return True

    def record_sent(self, connection: int, now: float) -> None:
        """Record that a reply is outstanding on ``connection``."""
        self.outstanding[connection] = now

    def record_reply(
        self,
        connection: int,
        now: float,
        position: LogPosition | None,
        *,
        is_statement: bool = True,
    ) -> None:
        """Record a reply and the log position that it carried.

        Parameters
        ----------
        is_statement : bool
            Whether it answers a caller's statement and so counts for the service time.
        """
        sent_at = self.outstanding.pop(connection, None)
        self.record_contact(now, position)
        if sent_at is not None and is_statement:
            self.service_s += SERVICE_WEIGHT * (now - sent_at - self.service_s)

    def record_contact(self, now: float, position: LogPosition | None = None) -> None:
        """Record a contact and the log position that came with it."""
        self.last_contact_at = now
        self.unreachable_since = None
        if position is not None:
            self.position = position
            self.position_at = now

    def record_timeout(self, connection: int, now: float) -> None:
        """Record that an outstanding reply was lost or timed out."""
        sent_at = self.outstanding.pop(connection, now)
        if self.last_contact_at <= sent_at:
            self.record_unreachable(sent_at)

    def record_unreachable(self, since: float) -> None:
        """Record that it has been unreachable since ``since`` (seconds)."""
        if self.unreachable_since is None:
            self.unreachable_since = since

    def record_behind(self, position: LogPosition, now: float) -> None:
        """Record a refusal because its log lacked ``position``."""
        self.behind = position
        self.behind_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether a reply is outstanding for so long that it counts as unresponsive."""
        if not self.outstanding:
            return False
        limit_s = max(MIN_SILENCE_S, SILENCE_FACTOR * self.service_s)
        oldest = min(self.outstanding.values())
        return self.last_contact_at <= oldest and now - oldest > limit_s

    def is_suspect(self, now: float) -> bool:
        """Return whether other endpoints should be preferred for new statements."""
        return self.unreachable_since is not None or self.is_silent(now)
