"""Writes and writing transactions of this box that are under way, by group."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.define
class _GroupInFlight:
    """What is under way in one group."""

    writes: int = 0
    transactions: int = 0


class InFlightWork:
    """Counts what a planned change of primary waits for.

    Parameters
    ----------
    changed : callable
        Called whenever something ends.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self._groups: dict[str, _GroupInFlight] = collections.defaultdict(_GroupInFlight)

    def transaction_began(self, group: str) -> None:
        """Count a transaction that may write and is open on the primary."""
        self._groups[group].transactions += 1

    def transaction_ended(self, group: str) -> None:
        """Count a transaction's end."""
        self._groups[group].transactions -= 1
        self._on_change()

    def write_began(self, group: str) -> None:
        """Count a single write of this box."""
        self._groups[group].writes += 1

    def write_ended(self, group: str) -> None:
        """Count a single write's end."""
        self._groups[group].writes -= 1
        self._on_change()

    def is_quiet(self, group: str) -> bool:
        """Return whether no write or transaction of this box is under way in ``group``."""
        work = self._groups[group]
        return work.writes == 0 and work.transactions == 0
