"""Assign stewards to groups: a few in each data centre that holds the group's endpoints.

Every box computes the same assignment without communication. Boxes are ranked
per shard of groups, so that the cost of a changed list of boxes does not depend
on the number of groups.
"""

from __future__ import annotations

import xxhash

from wharftiller.core.rendezvous import rank, ranked

WATCH_SHARDS = 256
WATCHERS = 2
"""Stewards that watch a group, per data centre."""


def watch_shard(group: str) -> int:
    """Return the shard of ``group``."""
    return int(xxhash.xxh3_64_intdigest(group.encode()) % WATCH_SHARDS)


def watch_rank(
    shard: int, boxes: dict[str, str], box: str, endpoint_data_centres: frozenset[str]
) -> int | None:
    """Return the rank of ``box`` among the watchers of a shard; None if it does not watch.

    Parameters
    ----------
    boxes : dict of str to str
        Data centre by box. If empty, every box watches every group.
    endpoint_data_centres : frozenset of str
        Data centres that hold the group's endpoints. Only their boxes watch; if they
        have no box, those of all data centres do.
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
