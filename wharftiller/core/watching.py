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
    shard: int, boxes: dict[str, str], box: str, endpoint_data_centres: frozenset[str]
) -> int | None:
    """Return how many other watchers of a shard act before ``box``; None if it does not watch.

    Parameters
    ----------
    boxes : dict of str to str
        Data centre by box. While no list is known every box watches everything.
    endpoint_data_centres : frozenset of str
        Data centres that hold the group's endpoints; only their boxes watch,
        unless none of them has a box.
    """
    if not boxes:
        return 0
    data_centre = boxes.get(box)
    data_centres = endpoint_data_centres & set(boxes.values()) or set(boxes.values())
    if data_centre is None or data_centre not in data_centres:
        return None
    key = f"watch/{shard}"
    peers = [name for name, box_data_centre in boxes.items() if box_data_centre == data_centre]
    local_rank = rank(key, peers, box)
    if local_rank >= WATCHERS:
        return None
    return ranked(key, data_centres).index(data_centre) + len(data_centres) * local_rank
