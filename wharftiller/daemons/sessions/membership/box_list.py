"""The list of all boxes and values derived from it, computed once per list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.rendezvous import ranked

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.membership.box import Box


class BoxList:
    """An immutable list of boxes.

    The derived values are read hundreds of times a second, but change only when a box
    starts or ends.

    Parameters
    ----------
    own : Box
        This box.
    others : dict of str to Box
        The other boxes, including tombstoned ones.
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
        """Names of the live boxes in this box's data centre, this one included."""
        return self.live[self._own.data_centre]

    @property
    def elsewhere(self) -> dict[str, list[str]]:
        """Names of the live boxes of every other data centre, by data centre."""
        return {
            centre: names for centre, names in self.live.items() if centre != self._own.data_centre
        }

    @property
    def readers(self) -> list[Box]:
        """The boxes that may read for this data centre, by rank, this one included."""
        if self._readers is None:
            known = {**self.others, self._own.name: self._own}
            self._readers = [known[name] for name in ranked("reader", self.near)]
        return self._readers
