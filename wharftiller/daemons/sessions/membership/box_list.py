"""The list of all boxes, and what follows from it, worked out once for each list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.rendezvous import ranked

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.membership.box import Box


class BoxList:
    """One list of boxes; never changes.

    Lists change with starts and ends of boxes, but are asked some hundred times a second
    even where nothing happens. Working these answers out for every question took 55 of the
    98 ms a second that an idle box among 195 used under a profiler, in virtual time, and grew
    with the number of boxes.

    Parameters
    ----------
    own : Box
        The box that keeps the list.
    others : dict of str to Box
        The other boxes, those marked as dead among them.
    """

    def __init__(self, own: Box, others: dict[str, Box]) -> None:
        self._own = own
        self._readers: list[Box] | None = None
        self.others = others
        self.data_centres = frozenset({own.data_centre, *(b.data_centre for b in others.values())})
        self.live: dict[str, list[str]] = {own.data_centre: [own.name]}
        for name, box in others.items():
            if not box.retired:
                self.live.setdefault(box.data_centre, []).append(name)

    @property
    def near(self) -> list[str]:
        """Names of this box and of the live ones in its data centre."""
        return self.live[self._own.data_centre]

    @property
    def elsewhere(self) -> dict[str, list[str]]:
        """Names of the live boxes of every other data centre."""
        return {
            centre: names for centre, names in self.live.items() if centre != self._own.data_centre
        }

    @property
    def readers(self) -> list[Box]:
        """The boxes that may read for this data centre, best first, this one among them."""
        if self._readers is None:
            known = {**self.others, self._own.name: self._own}
            self._readers = [known[name] for name in ranked("reader", self.near)]
        return self._readers
