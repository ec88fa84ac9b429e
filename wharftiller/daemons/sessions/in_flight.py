"""Counts of in-flight writes and write transactions of this box, by group."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.define
class _GroupInFlight:
    """In-flight work of one group."""

    writes: int = 0
    transactions: int = 0


class InFlightWork:
    """Counts the work that a planned failover waits for.

    Parameters
    ----------
    changed : callable
        Called when a write or transaction ends.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        self._groups: dict[str, _GroupInFlight] = collections.defaultdict(_GroupInFlight)

    def transaction_began(self, group: str) -> None:
        """Count the start of a transaction on the primary that may write."""
        self._groups[group].transactions += 1

    def transaction_ended(self, group: str) -> None:
        """Count the end of such a transaction."""
        self._groups[group].transactions -= 1
        self._on_change()

    def write_began(self, group: str) -> None:
        """Count the start of an autocommit write."""
        self._groups[group].writes += 1

    def write_ended(self, group: str) -> None:
        """Count the end of an autocommit write."""
        self._groups[group].writes -= 1
        self._on_change()

    def is_idle(self, group: str) -> bool:
        """Return whether this box has no in-flight write or write transaction in ``group``."""
        work = self._groups[group]
        return work.writes == 0 and work.transactions == 0
