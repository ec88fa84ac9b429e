"""Hold the newest configuration and compute the changes since older ones."""

from __future__ import annotations

import collections

import attrs

from wharftiller.core.configuration import Configuration, GroupSpec, PoolSpec
from wharftiller.core.rendezvous import ranked

CHANGES_KEPT = 1024
"""Changes kept for incremental updates; an older requester gets the whole configuration."""

RELAYS = 3
"""Boxes per data centre that watch the platform for the others."""


@attrs.frozen
class ConfigurationChange:
    """The difference between one generation of the configuration and a later one.

    Attributes
    ----------
    base : int
        The generation it applies to; 0 if it holds the whole configuration.
    removed_groups, removed_pools : tuple of str
        Names that the later generation lacks.
    """

    base: int
    generation: int
    groups: dict[str, GroupSpec] = attrs.field(factory=dict)
    pools: dict[str, PoolSpec] = attrs.field(factory=dict)
    removed_groups: tuple[str, ...] = ()
    removed_pools: tuple[str, ...] = ()


def change_between(old: Configuration, new: Configuration) -> ConfigurationChange:
    """Return the change from ``old`` to ``new``."""
    return ConfigurationChange(
        old.generation,
        new.generation,
        {name: spec for name, spec in new.groups.items() if old.groups.get(name) != spec},
        {name: spec for name, spec in new.pools.items() if old.pools.get(name) != spec},
        tuple(name for name in old.groups if name not in new.groups),
        tuple(name for name in old.pools if name not in new.pools),
    )


def apply_change(old: Configuration, change: ConfigurationChange) -> Configuration | None:
    """Return ``old`` with ``change`` applied; None if it applies to another generation."""
    if change.base not in (0, old.generation):
        return None
    start = old if change.base else Configuration()
    groups = {**start.groups, **change.groups}
    pools = {**start.pools, **change.pools}
    for name in change.removed_groups:
        groups.pop(name, None)
    for name in change.removed_pools:
        pools.pop(name, None)
    return Configuration(change.generation, pools, groups)


@attrs.define
class ConfigurationHolder:
    """The newest configuration of this box; its generation never decreases."""

    _current: Configuration = attrs.field(factory=Configuration)
    _changes: collections.deque[ConfigurationChange] = attrs.field(
        factory=lambda: collections.deque(maxlen=CHANGES_KEPT)
    )

    @property
    def current(self) -> Configuration:
        """The configuration in force."""
        return self._current

    def take(self, configuration: Configuration) -> bool:
        """Apply ``configuration`` if it is newer; return whether it was."""
        if configuration.generation <= self._current.generation:
            return False
        if self._current.generation:
            self._changes.append(change_between(self._current, configuration))
        self._current = configuration
        return True

    def take_change(self, change: ConfigurationChange) -> bool:
        """Apply ``change`` if its base matches and it is newer; return whether it was applied."""
        configuration = apply_change(self._current, change)
        return configuration is not None and self.take(configuration)

    def change_since(self, generation: int) -> ConfigurationChange:
        """Return the change from ``generation`` to the current configuration."""
        if generation and any(change.base == generation for change in self._changes):
            return self._merged_since(generation)
        return change_between(Configuration(), self._current)

    def _merged_since(self, generation: int) -> ConfigurationChange:
        old = Configuration(generation)
        merged = ConfigurationChange(generation, generation)
        for change in self._changes:
            if change.base == merged.generation:
                merged = _merge(merged, change)
        return attrs.evolve(merged, base=old.generation)


def _merge(earlier: ConfigurationChange, later: ConfigurationChange) -> ConfigurationChange:
    groups = {**earlier.groups, **later.groups}
    pools = {**earlier.pools, **later.pools}
    for name in later.removed_groups:
        groups.pop(name, None)
    for name in later.removed_pools:
        pools.pop(name, None)
    removed_groups = {*earlier.removed_groups, *later.removed_groups} - set(groups)
    removed_pools = {*earlier.removed_pools, *later.removed_pools} - set(pools)
    return ConfigurationChange(
        earlier.base,
        later.generation,
        groups,
        pools,
        tuple(sorted(removed_groups)),
        tuple(sorted(removed_pools)),
    )


def choose_relays(data_centre: str, boxes: list[str]) -> list[str]:
    """Return the boxes that watch the platform for ``data_centre``, by rank."""
    return ranked(f"relay/{data_centre}", boxes)[:RELAYS]
