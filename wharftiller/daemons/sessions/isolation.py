"""Notice that this box is parted from most primaries and serves its callers badly.

In a data centre that a cut parts from most groups' primaries, writes to them are
refused, and reads too once nothing known is new enough. Boxes on the primaries' side
still serve. A box that cannot use most primaries, and hears no box of the data centres
where those stand, tells the balancer that it is not ready, so that new sessions go
to the other side, until one of those boxes answers or they have been silent for so long
that they may be dead. Once the balancer has seen that, it closes the sessions at rest
that it cannot serve: they open again elsewhere. All others are served as far as it can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Collection

    from wharftiller.daemons.sessions.boxes import Box, BoxDirectory
    from wharftiller.daemons.sessions.callers import SessionServer
    from wharftiller.daemons.sessions.state import SharedState

LOOK_S = 0.1
"""Time between looks at whether the groups can be served, in seconds."""

UNUSABLE_PART = 0.5
"""A box is isolated only if more than this part of the groups' primaries is beyond a cut.

Of two sides of a cut at most one is short of more than half of them.
"""

ASKED_ELSEWHERE = 2
"""Boxes of another data centre asked before it counts as silent."""

ASK_TIMEOUT_S = 0.25
"""Time a box elsewhere has to answer, in seconds: ninety round trips between data centres."""

BALANCER_SEES_S = 2.3
"""Time until the balancer has taken an unready box out, in seconds: two missed looks, 1 s apart."""

ISOLATED_MOST_S = 6.0
"""Time for which a box that lists boxes of a further data centre stays isolated, in seconds.

The silent side may be dead instead of cut off; by then (2 s and the leases of 6 s, from
the cut on) its primaries are being replaced on this side.
"""


class IsolationWatch:
    """Watches whether this box is parted from most primaries and the boxes beside them."""

    def __init__(
        self, state: SharedState, directory: BoxDirectory, sessions: SessionServer
    ) -> None:
        self._state = state
        self._directory = directory
        self._sessions = sessions
        self._since: float | None = None
        self._sent_away = False
        self._silent: frozenset[str] = frozenset()
        self._given_up = False

    @property
    def is_isolated(self) -> bool:
        """Whether new sessions are better served elsewhere."""
        return self._since is not None

    async def run(self) -> None:
        """Look for ever."""
        while True:
            await trio.sleep(LOOK_S)
            if self.is_isolated:
                await self._look_again()
            else:
                await self._look()

    async def _look(self) -> None:
        """Look whether most primaries stand in data centres of which no box answers."""
        away = self._centres_of_unusable()
        if not self._are_most(away):
            self._given_up = False
            return
        silent = await self._silent_among(frozenset(away.values()))
        if not silent:
            self._given_up = False
        if self._given_up:
            return
        beyond_cut = [group for group, centre in away.items() if centre in silent]
        if self._are_most(beyond_cut):
            self._begin(silent)

    def _begin(self, silent: frozenset[str]) -> None:
        """Be isolated from the data centres ``silent``."""
        self._since = trio.current_time()
        self._sent_away = False
        self._silent = silent
        self._state.log.change("isolated", **self._told())

    async def _look_again(self) -> None:
        """Look whether a box of the silent data centres answers again, or time is out."""
        assert self._since is not None
        silent = await self._silent_among(frozenset(self._elsewhere()))
        still = self._silent <= silent
        hears_others = bool(self._elsewhere().keys() - silent)
        time_out = trio.current_time() - self._since > ISOLATED_MOST_S
        if still and not (hears_others and time_out):
            self._send_away()
            return
        self._given_up = still
        self._since = None
        self._state.log.change("isolation_ended", **self._told())

    def _told(self) -> dict[str, list[str]]:
        return {"unusable": self._unusable(), "silent": sorted(self._silent)}

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

    def _are_most(self, groups: Collection[str]) -> bool:
        return len(groups) > UNUSABLE_PART * len(self._state.leases.record.groups)

    def _centres_of_unusable(self) -> dict[str, str]:
        """Return the other data centres where primaries stand that cannot be used, by group."""
        centres = {}
        for group in self._unusable():
            row = self._state.rows.get(self._state.lead(group) or "")
            if row is not None and row.entry.data_centre != self._state.data_centre:
                centres[group] = row.entry.data_centre
        return centres

    def _elsewhere(self) -> dict[str, list[str]]:
        """Return the boxes of every other data centre."""
        elsewhere: dict[str, list[str]] = {}
        for name, box in self._directory.boxes.items():
            if box.data_centre != self._state.data_centre and not box.retired:
                elsewhere.setdefault(box.data_centre, []).append(name)
        return elsewhere

    async def _silent_among(self, centres: frozenset[str]) -> frozenset[str]:
        """Return those of ``centres`` that have boxes, none of which answers."""
        elsewhere = self._elsewhere()
        answering: set[str] = set()

        async def ask(box: Box) -> None:
            if await self._directory.is_alive(box, ASK_TIMEOUT_S):
                answering.add(box.data_centre)

        async with trio.open_nursery() as nursery:
            for centre in centres & elsewhere.keys():
                for name in ranked(self._state.box, elsewhere[centre])[:ASKED_ELSEWHERE]:
                    nursery.start_soon(ask, self._directory.boxes[name])
        return frozenset(centres & elsewhere.keys()) - answering
