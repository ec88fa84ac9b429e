"""Which stewards watch a group: a few in each data centre, agreed by nobody asking.

Groups are put into a fixed number of shards, and boxes are ranked a shard, so
that a changed list of boxes costs the same however many groups there are.
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


def watch_rank(shard: int, boxes: dict[str, str], box: str) -> int | None:
    """Return how many other watchers of a shard act before ``box``; None if it does not watch.

    Parameters
    ----------
    boxes : dict of str to str
        Data centre by box. While no list is known every box watches everything.
    """
    if not boxes:
        return 0
    data_centre = boxes.get(box)
    if data_centre is None:
        return None
    key = f"watch/{shard}"
    neighbours = [name for name, place in boxes.items() if place == data_centre]
    here = rank(key, neighbours, box)
    if here >= WATCHERS:
        return None
    places = ranked(key, set(boxes.values()))
    return places.index(data_centre) + len(places) * here
