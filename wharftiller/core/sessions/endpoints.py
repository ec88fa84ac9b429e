"""What this box knows of each endpoint from its own answers."""

from __future__ import annotations

import math

import attrs

from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.routes import EndpointEntry

SERVICE_WEIGHT = 0.15
"""Weight of the newest statement in the smoothed service time."""

FIRST_SERVICE_S = 0.02
"""Service time assumed of an endpoint that has not answered yet, in seconds."""

SILENCE_FLOOR_S = 0.3
"""An answer owed for less than this is never taken as silence, in seconds.

A packet that is lost is sent again after 0.2 s, the least that the kernel waits: one loss
is no silence.
"""

SILENCE_FACTOR = 6.0
"""An answer owed for so many service times is taken as silence."""

LEAVING_MARGIN_S = 1.5
"""How long before a leaving primary may end it is used no more, in seconds.

For the announcement's way here (a read of the platform every 0.8 s) and a statement's way
there (0.7 s to get a connection).
"""

MISSING_GONE_S = 2.5
"""Time after which an endpoint that is missing from the list is gone, in seconds.

Entries lapse while the platform is away; those of living endpoints are back two
seconds after it returns.
"""


@attrs.define
class EndpointRow:
    """One endpoint.

    Attributes
    ----------
    outstanding : dict of int to float
        Send times of the statements not answered yet, by connection number.
    last_contact_at : float
        When it last answered anything, in seconds.
    unreachable_since : float or None
        Since when nothing has been heard although something was asked.
    position, position_at : LogPosition or None, float
        End of its log as it last told, and when it told it.
    behind, behind_at : LogPosition or None, float
        A position it refused for, and when.
    leaving_since : float or None
        When this box learned that it is about to end.
    missing_since : float or None
        Since when it is missing from the list of registered endpoints.
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
        """Whether its entry stood in the newest list known."""
        return not self.gone and self.missing_since is None

    @property
    def may_need_successor(self) -> bool:
        """Whether it is silent or about to end, so that a group that it leads needs another."""
        return self.unreachable_since is not None or self.leaving_since is not None

    def may_still_lead(self, now: float) -> bool:
        """Return whether a primary that is about to end may still be sent statements."""
        if self.leaving_since is None:
            return True
        return now - self.leaving_since < self.entry.leaving_serves_s - LEAVING_MARGIN_S

    def is_presumed_removed(self, now: float) -> bool:
        """Return whether it is missing from the list for good."""
        if self.missing_since is None:
            return False
        return self.leaving_since is not None or now - self.missing_since >= MISSING_GONE_S

    def take_entry(self, entry: EndpointEntry) -> bool:
        """Take in its entry; return whether another process of the same name started since."""
        before, self.entry = self.entry, entry
        if None in (before.started_ms, entry.started_ms) or before.started_ms == entry.started_ms:
            return False
        # What the process before held, told and owed says nothing of this one.
        self.outstanding.clear()
        self.position = self.behind = None
        self.unreachable_since = None
        self.service_s = FIRST_SERVICE_S
        return True

    def sent(self, connection: int, now: float) -> None:
        """Note that an answer is owed on ``connection``."""
        self.outstanding[connection] = now

    def answered(
        self, connection: int, now: float, position: LogPosition | None, *, works: bool = True
    ) -> None:
        """Note an answer and the log position that came with it.

        Parameters
        ----------
        works : bool
            Whether it answers a caller's statement, so that its time counts.
        """
        sent_at = self.outstanding.pop(connection, None)
        self.heard(now, position)
        if sent_at is not None and works:
            self.service_s += SERVICE_WEIGHT * (now - sent_at - self.service_s)

    def heard(self, now: float, position: LogPosition | None = None) -> None:
        """Note that it is alive."""
        self.last_contact_at = now
        self.unreachable_since = None
        if position is not None:
            self.position = position
            self.position_at = now

    def given_up(self, connection: int, now: float) -> None:
        """Note that an answer owed did not come, or not in time."""
        sent_at = self.outstanding.pop(connection, now)
        if self.last_contact_at <= sent_at:
            self.failed(sent_at)

    def failed(self, since: float) -> None:
        """Note that it could not be reached, as of ``since``."""
        if self.unreachable_since is None:
            self.unreachable_since = since

    def refused_as_behind(self, position: LogPosition, now: float) -> None:
        """Note that its log lacked ``position``."""
        self.behind = position
        self.behind_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether an answer is owed for so long that it may be dead."""
        if not self.outstanding:
            return False
        limit = max(SILENCE_FLOOR_S, SILENCE_FACTOR * self.service_s)
        oldest = min(self.outstanding.values())
        return self.last_contact_at <= oldest and now - oldest > limit

    def is_suspect(self, now: float) -> bool:
        """Return whether nothing new should be sent to it if another will do."""
        return self.unreachable_since is not None or self.is_silent(now)
