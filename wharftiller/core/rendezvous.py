"""Rendezvous hashing: every box ranks a set of names alike, without communication."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` by descending weight for ``key``."""
    return sorted(names, key=lambda name: (-_weight(key, name), name))


def rank(key: str, names: Iterable[str], name: str) -> int:
    """Return how many of ``names`` have a greater weight for ``key`` than ``name``."""
    own = _weight(key, name)
    return sum(1 for other in names if other != name and _weight(key, other) > own)


def _weight(key: str, name: str) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode()))
