"""Drain sessions and forwarded statements before the process ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.sessions.isolation import BALANCER_REACTION_S

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.forwarding.executor import ForwardedExecutor
    from wharftiller.daemons.sessions.serving.callers import SessionServer

KILL_MARGIN_S = 0.5
"""Time reserved before the platform kills a stopping process, in seconds."""

DRAIN_POLL_S = 0.05
"""Interval of checks whether all sessions have ended, in seconds."""


class Drain:
    """Drains a stopping box without interrupting a statement."""

    def __init__(self, sessions: SessionServer, executor: ForwardedExecutor) -> None:
        self._sessions = sessions
        self._executor = executor

    async def run(self, started: float, grace_s: float) -> None:
        """Return once everything has ended, at the latest shortly before the grace time is over.

        Parameters
        ----------
        started : float
            When the box was ordered to stop, in seconds.
        grace_s : float
            Time from then on until the process is killed, in seconds.
        """
        await trio.sleep(BALANCER_REACTION_S)
        self._sessions.close_idle()
        await self._wait_until_ended(started + grace_s / 2)
        self._sessions.close_all()
        await self._wait_until_ended(started + grace_s - KILL_MARGIN_S)

    async def _wait_until_ended(self, until: float) -> None:
        while (self._sessions.count or self._executor.count) and trio.current_time() < until:
            await trio.sleep(DRAIN_POLL_S)
