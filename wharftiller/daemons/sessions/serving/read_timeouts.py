"""Cancel slow reads at a soft deadline, but only if another endpoint can run them.

A slow endpoint continues a cancelled read. Where no other endpoint can run it, a retry
would only add load and a new connection.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
import trio

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

POLL_S = 0.05
"""Interval of checks for slow reads, in seconds; well below any route's time-out."""


@attrs.frozen(eq=False)
class _Waiting:
    """A read that waits for an endpoint's answer.

    Attributes
    ----------
    soft_deadline : float
        Time from which it is cancelled if another endpoint can run it, in seconds.
    """

    scope: trio.CancelScope
    soft_deadline: float
    can_run_elsewhere: Callable[[], bool]


class ReadTimeouts:
    """Enforces soft deadlines on the reads of one box."""

    def __init__(self) -> None:
        self._waiting: set[_Waiting] = set()
        self._has_waiting = trio.Event()

    @contextmanager
    def limit(
        self, until: float, soft_deadline: float, can_run_elsewhere: Callable[[], bool]
    ) -> Iterator[None]:
        """Cancel what runs inside at ``until``, or from ``soft_deadline`` if ``can_run_elsewhere``.

        Both times are in seconds. Cancelled code ends without an error.
        """
        with trio.CancelScope(deadline=until) as scope:
            waiting = _Waiting(scope, soft_deadline, can_run_elsewhere)
            self._waiting.add(waiting)
            self._has_waiting.set()
            try:
                yield
            finally:
                self._waiting.discard(waiting)

    async def run(self) -> None:
        """Check soft deadlines forever, while reads wait."""
        while True:
            await self._has_waiting.wait()
            await trio.sleep(POLL_S)
            now = trio.current_time()
            for waiting in list(self._waiting):
                if now >= waiting.soft_deadline and waiting.can_run_elsewhere():
                    waiting.scope.cancel()
            if not self._waiting:
                self._has_waiting = trio.Event()
