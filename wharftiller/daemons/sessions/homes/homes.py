"""Which boxes serve a group's statements, as this box sees the deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.rendezvous import ranked
from wharftiller.core.sessions.homes import HomePlan, homes_of, plan_homes

if TYPE_CHECKING:
    from collections.abc import Collection

    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

AVOIDED_S = 3.0
"""Time for which a home that did not answer is passed over, in seconds: a restart takes 1 to 2."""

RANKINGS_KEPT = 200
"""Rankings of boxes kept, each for one group and one choice of usable boxes."""


class Homes:
    """The homes of every group, by the list of boxes and by who answered lately."""

    def __init__(self, state: SharedState, directory: BoxDirectory) -> None:
        self._state = state
        self._directory = directory
        self._avoided_until: dict[str, float] = {}
        self._ranked: dict[tuple[str, tuple[str, ...]], list[str]] = {}
        state.endpoints.share_of_group = self.share
        state.serves_group = self.serves

    def plan(self, group: str) -> HomePlan:
        """Return how ``group``'s connections are dealt out among the boxes listed."""
        limits = self._state.configuration.groups.get(group)
        most = limits.max_connections if limits is not None else 1
        centres = {box.data_centre for box in self._directory.boxes.values()}
        centres.add(self._state.data_centre)
        return plan_homes(most, len(self._directory.boxes) + 1, len(centres))

    def share(self, group: str) -> int:
        """Return how many connections to one endpoint of ``group`` this box may keep."""
        plan = self.plan(group)
        return plan.share if plan.homes is None or self.serves(group) else 1

    def serves(self, group: str) -> bool:
        """Return whether this box runs ``group``'s statements by itself."""
        plan = self.plan(group)
        return plan.homes is None or self._state.box in self._homes_near(group, plan, ())

    def all_homes(self, group: str) -> list[str] | None:
        """Return ``group``'s homes in all data centres; None if every box is one."""
        plan = self.plan(group)
        if plan.homes is None:
            return None
        centres: dict[str, list[str]] = {self._state.data_centre: [self._state.box]}
        for name, box in self._directory.boxes.items():
            if not box.retired:
                centres.setdefault(box.data_centre, []).append(name)
        return [home for names in centres.values() for home in homes_of(group, names, plan)]

    def choose(self, group: str, tried: Collection[str]) -> Box | None:
        """Return the home to pass a statement to; None if this box is the one."""
        homes = self._homes_near(group, self.plan(group), tried)
        if not homes or self._state.box in homes:
            return None
        # Boxes spread over the homes; each keeps to one while it answers.
        return self._directory.boxes[ranked(self._state.box + group, homes)[0]]

    def avoid(self, name: str, for_s: float = AVOIDED_S) -> None:
        """Pass over a box for a while: it did not answer, or it is stopping."""
        self._avoided_until[name] = trio.current_time() + for_s

    def _homes_near(self, group: str, plan: HomePlan, tried: Collection[str]) -> list[str]:
        near = tuple(self._near(tried))
        order = self._ranked.get((group, near))
        if order is None:
            if len(self._ranked) > RANKINGS_KEPT:
                self._ranked.clear()
            order = self._ranked[group, near] = ranked(group, near)
        return plan.among(order)

    def _near(self, tried: Collection[str]) -> list[str]:
        """Return the boxes of this data centre that may be homes, this one among them."""
        now = trio.current_time()
        near = [self._state.box]
        for name, box in self._directory.boxes.items():
            if box.data_centre != self._state.data_centre or box.retired or name in tried:
                continue
            if self._avoided_until.get(name, now) <= now:
                near.append(name)
        return near
