"""Operators' intents and their application to a configuration."""

from __future__ import annotations

from typing import Any

import attrs

from wharftiller.core.configuration import (
    Configuration,
    GroupSpec,
    PoolSpec,
    QueueRule,
    ReadRule,
    WantedPrimary,
    WriteRule,
)
from wharftiller.core.errors import ConfigurationError


@attrs.frozen
class CreateGroup:
    """Add a database group."""

    group: GroupSpec


@attrs.frozen
class RemoveGroup:
    """Remove a group that no pool uses."""

    name: str


@attrs.frozen
class CreatePool:
    """Add a pool."""

    pool: PoolSpec


@attrs.frozen
class ChangePool:
    """Change a pool's rules, groups or businesses; a rule that is None stays as it is."""

    name: str
    read_rule: ReadRule | None = None
    write_rule: WriteRule | None = None
    queue_rule: QueueRule | None = None
    add_groups: tuple[str, ...] = ()
    add_businesses: dict[str, str] = attrs.field(factory=dict)
    remove_businesses: tuple[str, ...] = ()


@attrs.frozen
class RemovePool:
    """Remove a pool."""

    name: str


@attrs.frozen
class ChangePrimary:
    """Make another endpoint the primary of a group, without failed writes."""

    group: str
    endpoint: str


@attrs.frozen
class DrainEndpoint:
    """Send an endpoint no new work; if it is the primary, fail over first."""

    group: str
    endpoint: str


@attrs.frozen
class ReturnEndpoint:
    """Send work to a drained endpoint again."""

    group: str
    endpoint: str


Intent = (
    CreateGroup
    | RemoveGroup
    | CreatePool
    | ChangePool
    | RemovePool
    | ChangePrimary
    | DrainEndpoint
    | ReturnEndpoint
)

INTENT_KINDS: dict[str, type[Any]] = {
    "create_group": CreateGroup,
    "remove_group": RemoveGroup,
    "create_pool": CreatePool,
    "change_pool": ChangePool,
    "remove_pool": RemovePool,
    "change_primary": ChangePrimary,
    "drain_endpoint": DrainEndpoint,
    "return_endpoint": ReturnEndpoint,
}


def apply_intent(configuration: Configuration, intent: Intent, plan: str) -> Configuration:
    """Return ``configuration`` with ``intent`` applied; the generation stays the same.

    Raises
    ------
    ConfigurationError
        If it names something that does not exist, creates something that does, or breaks
        a rule of its kind.
    """
    groups = dict(configuration.groups)
    pools = dict(configuration.pools)
    match intent:
        case CreateGroup(group):
            _expect_new("group", group.name, groups)
            groups[group.name] = group
        case RemoveGroup(name):
            _require_known("group", name, groups)
            _expect_unused(name, pools)
            del groups[name]
        case CreatePool(pool):
            _expect_new("pool", pool.name, pools)
            pools[pool.name] = pool
        case ChangePool():
            pools[intent.name] = _apply_pool_change(
                _require_known("pool", intent.name, pools), intent
            )
        case RemovePool(name):
            _require_known("pool", name, pools)
            del pools[name]
        case ChangePrimary(name, endpoint):
            group = _require_known("group", name, groups)
            _expect_endpoint(group, endpoint)
            groups[name] = attrs.evolve(group, wanted_primary=WantedPrimary(endpoint, plan))
        case DrainEndpoint(name, endpoint):
            groups[name] = _with_leaving(
                _require_known("group", name, groups), endpoint, leaving=True
            )
        case ReturnEndpoint(name, endpoint):
            groups[name] = _with_leaving(
                _require_known("group", name, groups), endpoint, leaving=False
            )
    return Configuration(configuration.generation, pools, groups)


def _expect_new(kind: str, name: str, existing: dict[str, Any]) -> None:
    if name in existing:
        raise ConfigurationError(f"{kind} {name!r} exists already. Change it, or pick another name")


def _require_known(kind: str, name: str, existing: dict[str, Any]) -> Any:
    if name not in existing:
        raise ConfigurationError(
            f"{kind} {name!r} is not configured; known are {sorted(existing)}. Check the spelling"
        )
    return existing[name]


def _expect_unused(name: str, pools: dict[str, PoolSpec]) -> None:
    users = sorted(pool.name for pool in pools.values() if name in pool.groups)
    if users:
        raise ConfigurationError(f"group {name!r} is used by pools {users}. Remove them first")


def _expect_endpoint(group: GroupSpec, endpoint: str) -> None:
    names = [spec.name for spec in group.endpoints]
    if endpoint not in names:
        raise ConfigurationError(
            f"endpoint {endpoint!r} is none of group {group.name!r}'s {names}. Name one of them"
        )


def _with_leaving(group: GroupSpec, endpoint: str, *, leaving: bool) -> GroupSpec:
    _expect_endpoint(group, endpoint)
    endpoints = tuple(
        attrs.evolve(spec, leaving=leaving) if spec.name == endpoint else spec
        for spec in group.endpoints
    )
    return attrs.evolve(group, endpoints=endpoints)


def _apply_pool_change(pool: PoolSpec, change: ChangePool) -> PoolSpec:
    misplaced = sorted(
        name
        for name, group in change.add_businesses.items()
        if pool.businesses.get(name, group) != group
    )
    if misplaced:
        raise ConfigurationError(
            f"businesses {misplaced} have rows on another group, which would be left behind. "
            "Leave them where they are"
        )
    businesses = {**pool.businesses, **change.add_businesses}
    for name in change.remove_businesses:
        businesses.pop(name, None)
    return attrs.evolve(
        pool,
        groups=tuple(dict.fromkeys((*pool.groups, *change.add_groups))),
        businesses=businesses,
        read_rule=change.read_rule or pool.read_rule,
        write_rule=change.write_rule or pool.write_rule,
        queue_rule=change.queue_rule or pool.queue_rule,
    )


def differences(old: Any, new: Any, path: str = "") -> list[str]:
    """Return a line for each path at which two JSON values differ."""
    if old == new:
        return []
    if isinstance(old, dict) and isinstance(new, dict):
        lines = []
        for key in sorted({*old, *new}):
            inner = f"{path}.{key}" if path else str(key)
            lines.extend(differences(old.get(key), new.get(key), inner))
        return lines
    if isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        return [
            line
            for number, (left, right) in enumerate(zip(old, new, strict=True))
            for line in differences(left, right, f"{path}[{number}]")
        ]
    return [f"{path}: {_short_text(old)} -> {_short_text(new)}"]


def _short_text(value: Any) -> str:
    match value:
        case None:
            return "nothing"
        case dict() if "name" in value:
            return f"{value['name']!r}"
        case _:
            return repr(value)
