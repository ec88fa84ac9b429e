"""Notice that this box is parted from the rest and serves its callers badly.

In a cut-off data centre most primaries are out of reach: writes are refused, and
reads too once nothing known is new enough. Boxes elsewhere still serve. Such a box
tells the balancer that it is not ready, so that new sessions go to them. Once the
balancer has seen that, it closes the sessions at rest that it cannot serve: they
open again elsewhere. All others are served as far as it can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.rendezvous import ranked

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.boxes import Box, BoxDirectory
    from wharftiller.daemons.sessions.callers import SessionServer
    from wharftiller.daemons.sessions.state import SharedState

LOOK_S = 0.1
"""Time between looks at whether the groups can be served, in seconds."""

UNUSABLE_PART = 0.5
"""A box is cut off only if more than this part of the groups' primaries cannot be used.

Of two sides of a cut at most one is short of more than half of them.
"""

ASKED_ELSEWHERE = 2
"""Boxes of each other data centre asked before the rest counts as out of reach."""

ASK_TIMEOUT_S = 0.25
"""Time a box elsewhere has to answer, in seconds: ninety round trips between data centres."""

BALANCER_SEES_S = 2.3
"""Time until the balancer has taken an unready box out, in seconds: two missed looks, 1 s apart."""


class IsolationWatch:
    """Watches whether this box is parted from the others and most primaries."""

    def __init__(
        self, state: SharedState, directory: BoxDirectory, sessions: SessionServer
    ) -> None:
        self._state = state
        self._directory = directory
        self._sessions = sessions
        self._since: float | None = None
        self._sent_away = False

    @property
    def is_isolated(self) -> bool:
        """Whether new sessions are better served elsewhere."""
        return self._since is not None

    async def run(self) -> None:
        """Look for ever."""
        while True:
            await trio.sleep(LOOK_S)
            suspected = self.is_isolated or self._most_are_unusable()
            isolated = suspected and not await self._anyone_answers()
            if isolated != self.is_isolated:
                self._changed(isolated)
            elif isolated:
                self._send_away()

    def _changed(self, isolated: bool) -> None:
        self._since = trio.current_time() if isolated else None
        self._sent_away = False
        self._state.log.change(
            "isolated" if isolated else "isolation_ended",
            unusable=self._unusable(),
            elsewhere=[box.name for box in self._asked()],
        )

    def _send_away(self) -> None:
        """Close the sessions at rest that cannot be served, once the balancer knows."""
        if self._sent_away or self._since is None:
            return
        if trio.current_time() - self._since < BALANCER_SEES_S:
            return
        self._sent_away = True
        sent = self._sessions.send_away(self._unusable())
        self._state.log.change("sessions_sent_away", sessions=sent)

    def _unusable(self) -> list[str]:
        """Return the groups to whose primary this box cannot send a statement now.

        A way through another box counts only once the primary was heard on it: such ways
        are chosen by what other boxes told before the cut.
        """
        now = trio.current_time()
        unusable = []
        for group in self._state.leases.record.groups:
            if not self._state.serves_group(group):
                if not self._state.told_usable.get(group, True):
                    unusable.append(group)
                continue
            row = self._state.startable(group)
            if row is None or row.is_suspect(now):
                unusable.append(group)
        return unusable

    def _most_are_unusable(self) -> bool:
        groups = self._state.leases.record.groups
        return len(self._unusable()) > UNUSABLE_PART * len(groups)

    def _asked(self) -> list[Box]:
        """Return the boxes of the other data centres that stand for the rest."""
        elsewhere: dict[str, list[str]] = {}
        for name, box in self._directory.boxes.items():
            if box.data_centre != self._state.data_centre and not box.retired:
                elsewhere.setdefault(box.data_centre, []).append(name)
        chosen = []
        for names in elsewhere.values():
            chosen += ranked(self._state.box, names)[:ASKED_ELSEWHERE]
        return [self._directory.boxes[name] for name in chosen]

    async def _anyone_answers(self) -> bool:
        """Return whether any box of another data centre answers, or there is none to ask."""
        asked = self._asked()
        if not asked:
            return True
        answered = False

        async def ask(box: Box, scope: trio.CancelScope) -> None:
            nonlocal answered
            if await self._directory.is_alive(box, ASK_TIMEOUT_S):
                answered = True
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for box in asked:
                nursery.start_soon(ask, box, nursery.cancel_scope)
        return answered
