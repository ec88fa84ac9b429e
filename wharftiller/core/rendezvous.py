"""Rendezvous hashing: every box ranks the same boxes the same way, asking nobody."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by their weight for ``key``, heaviest first."""
    return sorted(names, key=lambda name: (-_weight(key, name), name))


def rank(key: str, names: Iterable[str], name: str) -> int:
    """Return how many of ``names`` go before ``name`` for ``key``."""
    own = _weight(key, name)
    return sum(1 for other in names if other != name and _weight(key, other) > own)


def _weight(key: str, name: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode()))
