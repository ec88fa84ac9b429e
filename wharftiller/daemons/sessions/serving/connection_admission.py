"""Admission of callers' connections: accepts, sheds and refuses them by the box's limits."""

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
"""Minimum time between log lines on refused and shed callers, in seconds."""


@attrs.define(eq=False)
class CallerConnection:
    """One caller's connection.

    Attributes
    ----------
    waiting : trio.CancelScope or None
        Cancels the wait for the caller's input; None unless it waits.
    is_shed : bool
        Whether it closes as soon as no statement or transaction is open.
    """

    waiting: trio.CancelScope | None = None
    is_shed: bool = False

    def shed(self) -> None:
        """Close the connection once its current statement is answered."""
        self.is_shed = True
        if self.waiting is not None:
            self.waiting.cancel()


class ConnectionAdmission:
    """Admits callers' connections to one box.

    Parameters
    ----------
    open_streams : callable
        Returns the number of open connections other than callers'.
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
        """Number of further callers' connections that can be accepted."""
        return self._limiter.room

    @property
    def is_nearly_full(self) -> bool:
        """Whether new callers should be directed to other boxes."""
        return self._limiter.is_nearly_full

    def admit(self) -> CallerConnection | None:
        """Accept a connection, shedding an idle one if needed; None if the box is full."""
        now = trio.current_time()
        self._limiter.set_own_connections(self._open_streams())
        if self._limiter.is_full and not self._make_room(now):
            self._refused += 1
            self._state.metrics.caller_connections["refused"] += 1
            return None
        caller = CallerConnection()
        self._limiter.add_handshake(caller, now)
        self._state.metrics.caller_connections["taken"] += 1
        return caller

    def _make_room(self, now: float) -> bool:
        closing = self._limiter.connection_to_close(now)
        if closing is None:
            return False
        self._limiter.remove(closing)
        closing.shed()
        self._shed += 1
        self._state.metrics.caller_connections["sent_away"] += 1
        return True

    def refusal(self) -> str:
        """Return the error text for a refused caller, whose next attempt may reach another box."""
        return f"{len(self)} sessions are open here; come back in {MIN_RETRY_AFTER_S * 1000:.0f} ms"

    def mark_idle(self, caller: CallerConnection) -> None:
        """Record that a session waits for its caller, outside any transaction."""
        self._limiter.set_idle(caller, trio.current_time())

    def mark_busy(self, caller: CallerConnection) -> None:
        """Record that a session runs a statement."""
        self._limiter.set_busy(caller)

    def release(self, caller: CallerConnection) -> None:
        """Record that a connection was closed."""
        self._limiter.remove(caller)

    def maintain(self, now: float) -> None:
        """Count the box's own connections; log refused and shed callers, rate limited."""
        self._limiter.set_own_connections(self._open_streams())
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
