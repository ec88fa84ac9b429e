"""The connection share of a box, safe while boxes read different lists."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wharftiller.core.tables import Tables

NEW_BOX_CONNECTIONS = 3
"""Connections of each server reserved for boxes too new to be in every list."""


def connection_share(tables: Tables, max_connections: int) -> int:
    """Return how many connections to one server this box may hold.

    A box counts every box listed within the list's maximum lag. It takes a full
    share once it has been listed itself for twice that lag, when every other box
    that reads the list has counted it; until then it holds one of the reserved
    connections. The shares of all boxes therefore add up to at most
    ``max_connections`` while at most ``NEW_BOX_CONNECTIONS`` boxes are new at
    once; beyond that the server refuses connections. While the list cannot be
    read, shares stay as they are.

    Parameters
    ----------
    max_connections : int
        Maximum number of connections that the server accepts from all boxes together.
    """
    if not _is_established(tables):
        return 1
    shared = max_connections - NEW_BOX_CONNECTIONS
    return max(1, shared // max(len(tables.boxes_seen), 1))


def _is_established(tables: Tables) -> bool:
    if tables.listed_since is None:
        return False
    return tables.list_read_at - tables.listed_since >= 2 * tables.list_lag_s


def apply_box_list(tables: Tables, names: tuple[str, ...], read_at: float) -> None:
    """Apply the platform's list of boxes as read from it at ``read_at`` (seconds).

    A list that is delivered again, while the platform is unavailable, is ignored.
    """
    if read_at <= tables.list_read_at:
        return
    tables.list_read_at = read_at
    for name in names:
        tables.boxes_seen[name] = read_at
    for name, seen in list(tables.boxes_seen.items()):
        if read_at - seen > tables.list_lag_s:
            del tables.boxes_seen[name]
    if tables.box not in names:
        tables.listed_since = None
    elif tables.listed_since is None:
        tables.listed_since = read_at
