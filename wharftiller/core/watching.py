"""Which stewards watch a group: a few in each data centre that holds its endpoints.

Every box ranks them the same way, asking nobody. Groups are put into a fixed
number of shards, and boxes are ranked a shard, so that a changed list of boxes
costs the same however many groups there are.
"""

from __future__ import annotations

import xxhash

from wharftiller.core.rendezvous import rank, ranked

WATCH_SHARDS = 256
WATCHERS = 2
"""Stewards of each data centre that watch a group."""


def watch_shard(group: str) -> int:
    """Return the shard of ``group``."""
    return int(xxhash.xxh3_64_intdigest(group.encode()) % WATCH_SHARDS)


def watch_rank(
    shard: int, boxes: dict[str, str], box: str, endpoint_places: frozenset[str]
) -> int | None:
    """Return how many other watchers of a shard act before ``box``; None if it does not watch.

    Parameters
    ----------
    boxes : dict of str to str
        Data centre by box. While no list is known every box watches everything.
    endpoint_places : frozenset of str
        Data centres that hold the group's endpoints; only their boxes watch,
        unless none of them has a box.
    """
    if not boxes:
        return 0
    data_centre = boxes.get(box)
    places = endpoint_places & set(boxes.values()) or set(boxes.values())
    if data_centre is None or data_centre not in places:
        return None
    key = f"watch/{shard}"
    neighbours = [name for name, place in boxes.items() if place == data_centre]
    here = rank(key, neighbours, box)
    if here >= WATCHERS:
        return None
    return ranked(key, places).index(data_centre) + len(places) * here
