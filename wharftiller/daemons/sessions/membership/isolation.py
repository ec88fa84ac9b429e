"""Detect whether this box is cut off from most primaries, and shed sessions if it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.rendezvous import ranked
from wharftiller.core.sessions.isolation import (
    EnterIsolation,
    Isolation,
    IsolationInputs,
    LeaveIsolation,
    ShedSessions,
)

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.serving.callers import SessionServer
    from wharftiller.daemons.sessions.state import SharedState

POLL_S = 0.1
"""Time between checks of whether the groups can be served, in seconds."""

MAX_PROBED_BOXES = 2
"""Boxes probed in another data centre; it is unresponsive if none answers."""

PROBE_TIMEOUT_S = 0.25
"""Timeout of such a probe, in seconds; allows one retransmission, sent after 0.2 s."""


class IsolationWatch:
    """Detects whether this box is cut off from most primaries and the boxes near them."""

    def __init__(
        self, state: SharedState, directory: BoxDirectory, sessions: SessionServer
    ) -> None:
        self._state = state
        self._directory = directory
        self._sessions = sessions
        self._isolation = Isolation()

    @property
    def is_isolated(self) -> bool:
        """Whether new sessions should go to another data centre."""
        return self._isolation.since is not None

    async def run(self) -> None:
        """Check periodically, forever."""
        while True:
            await trio.sleep(POLL_S)
            await self._check()

    async def _check(self) -> None:
        inputs = self._inputs()
        to_probe = self._isolation.centres_to_probe(inputs)
        if to_probe:
            silent = await self._silent_among(to_probe)
            inputs = attrs.evolve(self._inputs(), silent=silent)
        fields = {"unusable": sorted(inputs.unusable)}
        match self._isolation.decide(inputs):
            case EnterIsolation(silent):
                self._state.log.change("isolated", silent=sorted(silent), **fields)
            case LeaveIsolation():
                self._state.log.change("isolation_ended", silent=sorted(silent), **fields)
            case ShedSessions(groups):
                closed = self._sessions.shed(groups)
                self._state.log.change("sessions_sent_away", sessions=closed, **fields)

    def _inputs(self) -> IsolationInputs:
        unusable = self._unusable()
        return IsolationInputs(
            now=trio.current_time(),
            groups=len(self._state.leases.record.groups),
            unusable=unusable,
            away=self._primary_centres(unusable),
            elsewhere=frozenset(self._directory.list.elsewhere),
        )

    def _unusable(self) -> frozenset[str]:
        """Return the groups to whose primary this box cannot send a statement now.

        A relay counts only after contact with the primary through it: relays are chosen
        from replies that other boxes sent before the cut.
        """
        now = trio.current_time()
        unusable = set()
        for group in self._state.leases.record.groups:
            if not self._state.serves_group(group):
                if not self._state.gateway_usable.get(group, True):
                    unusable.add(group)
                continue
            row = self._state.usable_primary(group)
            if row is None or row.is_suspect(now):
                unusable.add(group)
        return frozenset(unusable)

    def _primary_centres(self, unusable: frozenset[str]) -> dict[str, str]:
        """Return the data centre of each ``unusable`` primary outside this one, by group."""
        centres = {}
        for group in unusable:
            row = self._state.endpoints.rows.get(self._state.lead(group) or "")
            if row is not None and row.entry.data_centre != self._state.data_centre:
                centres[group] = row.entry.data_centre
        return centres

    async def _silent_among(self, centres: frozenset[str]) -> frozenset[str]:
        """Return those of ``centres`` whose probed boxes all fail to answer."""
        elsewhere = self._directory.list.elsewhere
        responding: set[str] = set()

        async def probe(box: Box) -> None:
            if await self._directory.is_alive(box, PROBE_TIMEOUT_S):
                responding.add(box.data_centre)

        async with trio.open_nursery() as nursery:
            for centre in centres & elsewhere.keys():
                for name in ranked(self._state.box, elsewhere[centre])[:MAX_PROBED_BOXES]:
                    nursery.start_soon(probe, self._directory.boxes[name])
        return frozenset(centres & elsewhere.keys()) - responding
