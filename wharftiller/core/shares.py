"""How many connections a box may hold, safe while boxes' lists differ."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wharftiller.core.tables import Tables

NEWCOMER_CONNECTIONS = 3
"""Connections of each server set aside for boxes too new to be in every list."""


def connection_share(tables: Tables, max_connections: int) -> int:
    """Return how many connections to one server this box may hold.

    A box counts every box that it saw listed within the list's greatest lag, and
    takes a full share only once it has itself been seen listed for twice that
    time, when every other box that still reads the list must have counted it.
    Until then it holds one of the connections set aside for newcomers. So the
    shares of boxes whose lists differ add up to no more than
    ``max_connections`` while at most ``NEWCOMER_CONNECTIONS`` boxes are new at
    once. The server's own refusal is the backstop beyond that. While the list
    cannot be read nothing changes: no newcomer becomes established.

    Parameters
    ----------
    max_connections : int
        What the server accepts from all boxes together.
    """
    if not _is_established(tables):
        return 1
    shared = max_connections - NEWCOMER_CONNECTIONS
    return max(1, shared // max(len(tables.boxes_seen), 1))


def _is_established(tables: Tables) -> bool:
    if tables.listed_since is None:
        return False
    return tables.listed_at - tables.listed_since >= 2 * tables.list_lag_s


def apply_listing(tables: Tables, names: tuple[str, ...], read_at: float) -> None:
    """Take in the platform's list of boxes as read from it at ``read_at`` (seconds).

    A list that is told again, because the platform is away, counts once.
    """
    if read_at <= tables.listed_at:
        return
    tables.listed_at = read_at
    for name in names:
        tables.boxes_seen[name] = read_at
    for name, seen in list(tables.boxes_seen.items()):
        if read_at - seen > tables.list_lag_s:
            del tables.boxes_seen[name]
    if tables.box not in names:
        tables.listed_since = None
    elif tables.listed_since is None:
        tables.listed_since = read_at
