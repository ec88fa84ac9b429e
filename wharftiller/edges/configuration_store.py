"""The configuration as objects of the platform: a small head and shards of specs.

Shard objects are immutable; the head refers to those in force, so a change takes
effect by one conditional update of the head. Replaced shard objects are listed as
retired and deleted some changes later.
"""

from __future__ import annotations

import attrs
import xxhash

from wharftiller.core.configuration import Configuration, GroupSpec, PoolSpec
from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.edges.codec import from_peer, to_json
from wharftiller.edges.platform import PlatformClient, StoredObject

HEAD_KEY = "config/head"
SHARD_COUNT = 256
MAX_APPLIED_PLANS = 64
MAX_RETIRED_SHARDS = 16


@attrs.frozen
class Shard:
    """The pools and groups whose names hash to one number."""

    groups: dict[str, GroupSpec] = attrs.field(factory=dict)
    pools: dict[str, PoolSpec] = attrs.field(factory=dict)


@attrs.frozen
class AppliedPlan:
    """A plan that took effect, and the generation it created."""

    plan: str
    generation: int


@attrs.frozen
class Head:
    """The object that refers to the shards in force.

    Attributes
    ----------
    shards : dict of str to str
        Key of the shard's object by shard number; empty shards are left out.
    applied : list of AppliedPlan
        The most recent plans, oldest first.
    retired : list of str
        Keys of replaced objects, oldest first.
    """

    generation: int = 0
    shards: dict[str, str] = attrs.field(factory=dict)
    applied: list[AppliedPlan] = attrs.field(factory=list)
    retired: list[str] = attrs.field(factory=list)

    def generation_of(self, plan: str) -> int | None:
        """Return the generation that ``plan`` created; None if it is not listed."""
        for applied in self.applied:
            if applied.plan == plan:
                return applied.generation
        return None


@attrs.frozen
class StoredConfiguration:
    """A configuration with the head it was read from."""

    head: Head
    head_version: int
    configuration: Configuration


def shard_number(name: str) -> str:
    """Return the number of the shard that holds ``name``."""
    return str(xxhash.xxh3_64_intdigest(name.encode()) % SHARD_COUNT)


class ConfigurationStore:
    """Reads and replaces the configuration; caches the shards of the last read."""

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._shards: dict[str, Shard] = {}

    async def load(self) -> StoredConfiguration:
        """Return the configuration in force.

        Raises
        ------
        PlatformUnavailableError
            If the platform does not answer, or the configuration changed during the read.
        """
        return await self.load_from(await self._platform.read(HEAD_KEY))

    async def load_from(self, stored: StoredObject | None) -> StoredConfiguration:
        """Return the configuration that the head ``stored`` refers to."""
        if stored is None:
            return StoredConfiguration(Head(), 0, Configuration())
        head = from_peer(stored.value, Head)
        shards = {key: await self._shard(key) for key in head.shards.values()}
        self._shards = shards
        groups = {name: spec for shard in shards.values() for name, spec in shard.groups.items()}
        pools = {name: spec for shard in shards.values() for name, spec in shard.pools.items()}
        return StoredConfiguration(
            head, stored.version, Configuration(head.generation, pools, groups)
        )

    async def _shard(self, key: str) -> Shard:
        cached = self._shards.get(key)
        if cached is not None:
            return cached
        stored = await self._platform.read(key)
        if stored is None:
            raise PlatformUnavailableError(
                f"{key} was deleted; the configuration changed during the read. Read it again"
            )
        return from_peer(stored.value, Shard)

    async def replace(self, base: StoredConfiguration, target: Configuration, plan: str) -> int:
        """Replace ``base`` by ``target`` and return the new generation.

        Raises
        ------
        ConflictError
            If ``base`` is no longer in force.
        """
        generation = base.head.generation + 1
        before = _split(base.configuration)
        after = _split(target)
        shards = dict(base.head.shards)
        retired = list(base.head.retired)
        for number in sorted({*before, *after}):
            if before.get(number) == after.get(number):
                continue
            if number in shards:
                retired.append(shards.pop(number))
            if number in after:
                shards[number] = await self._write_shard(number, plan, after[number])
        applied = [*base.head.applied, AppliedPlan(plan, generation)][-MAX_APPLIED_PLANS:]
        head = Head(generation, shards, applied, retired[-MAX_RETIRED_SHARDS:])
        await self._platform.update(HEAD_KEY, to_json(head), base.head_version, attempt=plan)
        await self._delete(retired[:-MAX_RETIRED_SHARDS])
        return generation

    async def _write_shard(self, number: str, plan: str, shard: Shard) -> str:
        key = f"config/shard/{number}/{plan}"
        existing = await self._platform.read(key)
        version = existing.version if existing else 0
        await self._platform.update(key, to_json(shard), version)
        return key

    async def _delete(self, keys: list[str]) -> None:
        for key in keys:
            await self._platform.delete(key)


def _split(configuration: Configuration) -> dict[str, Shard]:
    shards: dict[str, Shard] = {}
    for name, group in configuration.groups.items():
        shards.setdefault(shard_number(name), Shard()).groups[name] = group
    for name, pool in configuration.pools.items():
        shards.setdefault(shard_number(name), Shard()).pools[name] = pool
    return shards
