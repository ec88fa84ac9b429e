"""Callers' connections of this box: takes them while it has room, tells what it refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.sessions.connection_limits import ConnectionLimiter
from wharftiller.core.sessions.retry_after import MIN_RETRY_AFTER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.core.sessions.connection_limits import BoxLimits
    from wharftiller.daemons.sessions.state import SharedState

LOG_INTERVAL_S = 1.0
"""Time between log lines of callers refused or sent away, in seconds."""


@attrs.define(eq=False)
class CallerConnection:
    """One caller's connection.

    Attributes
    ----------
    waiting : trio.CancelScope or None
        Ends its wait for the caller; None while nothing is waited for.
    is_shed : bool
        Whether it ends as soon as nothing of its caller is under way.
    """

    waiting: trio.CancelScope | None = None
    is_shed: bool = False

    def send_away(self) -> None:
        """End the connection; a statement that is under way is answered first."""
        self.is_shed = True
        if self.waiting is not None:
            self.waiting.cancel()


class ConnectionAdmission:
    """The door of one box.

    Parameters
    ----------
    open_streams : callable
        Returns how many connections other than callers' are open.
    """

    def __init__(
        self, state: SharedState, limits: BoxLimits, open_streams: Callable[[], int]
    ) -> None:
        self._state = state
        self._open_streams = open_streams
        self._limiter: ConnectionLimiter[CallerConnection] = ConnectionLimiter(limits)
        self._logged_at = 0.0
        self._refused = 0
        self._shed = 0

    def __len__(self) -> int:
        return len(self._limiter)

    @property
    def room(self) -> int:
        """How many callers' connections can be taken."""
        return self._limiter.room

    @property
    def is_nearly_full(self) -> bool:
        """Whether new callers are better sent to other boxes."""
        return self._limiter.is_nearly_full

    def enter(self) -> CallerConnection | None:
        """Take one more connection; None if there is no room for it."""
        now = trio.current_time()
        self._limiter.note_own(self._open_streams())
        if self._limiter.is_full and not self._make_room(now):
            self._refused += 1
            self._state.metrics.doors["refused"] += 1
            return None
        caller = CallerConnection()
        self._limiter.came(caller, now)
        self._state.metrics.doors["taken"] += 1
        return caller

    def _make_room(self, now: float) -> bool:
        closing = self._limiter.who_leaves(now)
        if closing is None:
            return False
        self._limiter.left(closing)
        closing.send_away()
        self._shed += 1
        self._state.metrics.doors["sent_away"] += 1
        return True

    def refusal(self) -> str:
        """Return what a caller that was not taken is told: the next try reaches another box."""
        return f"{len(self)} sessions are open here; come back in {MIN_RETRY_AFTER_S * 1000:.0f} ms"

    def rests(self, caller: CallerConnection) -> None:
        """Note that a session waits for its caller, outside any transaction."""
        self._limiter.rests(caller, trio.current_time())

    def works(self, caller: CallerConnection) -> None:
        """Note that a session has a statement under way."""
        self._limiter.works(caller)

    def leave(self, caller: CallerConnection) -> None:
        """Note that a connection ended."""
        self._limiter.left(caller)

    def maintain(self, now: float) -> None:
        """Count the box's own connections; tell what was refused, a line at most a second."""
        self._limiter.note_own(self._open_streams())
        if now - self._logged_at < LOG_INTERVAL_S or not (self._refused or self._shed):
            return
        self._logged_at = now
        self._state.log.event(
            "door_full",
            refused=self._refused,
            sent_away=self._shed,
            open=len(self),
            room=self.room,
        )
        self._refused = self._shed = 0
