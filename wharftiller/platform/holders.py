"""The holders of each group's writes as objects of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from wharftiller.core.errors import BadRequestError
from wharftiller.core.leadership.holders import HolderSet
from wharftiller.edges.holders_json import holders_from_json, holders_to_json
from wharftiller.platform.answers import era_of
from wharftiller.platform.objects import ERA_FIELD, HOLDERS_PREFIX, OWN_KIND

if TYPE_CHECKING:
    from wharftiller.decisions import DecisionLog
    from wharftiller.platform.answers import StoredObject
    from wharftiller.platform.store import ObjectStore


class PlatformHolders:
    """One object for each group whose replicas are synchronous."""

    def __init__(self, store: ObjectStore, log: DecisionLog) -> None:
        self._store = store
        self._log = log

    def is_current(self, holders: HolderSet) -> bool:
        """Return whether ``holders`` was read since the platform's last restoration."""
        return holders.revision > 0 and era_of(holders.revision) == self._store.era

    async def read(self, group: str, *, may_be_old: bool = False) -> HolderSet:
        """Return the stored holders of ``group``; not known if none can be read."""
        name = HOLDERS_PREFIX + group
        stored = await self._store.get(OWN_KIND, name, may_be_old=may_be_old)
        return HolderSet() if stored is None else self._decode(stored)

    async def replace(self, group: str, holders: HolderSet) -> HolderSet:
        """Replace those of ``holders.revision``; return the ones stored afterwards."""
        update = attrs.evolve(holders, updates=holders.updates + 1)
        spec = {**holders_to_json(group, update), ERA_FIELD: self._store.era}
        name = HOLDERS_PREFIX + group
        return self._decode(await self._store.put(OWN_KIND, name, spec, holders.revision))

    def _decode(self, stored: StoredObject) -> HolderSet:
        try:
            holders = holders_from_json(stored.spec, stored.revision)
            is_restored = stored.spec.get(ERA_FIELD) != era_of(stored.revision)
            return attrs.evolve(holders, is_restored=is_restored)
        except BadRequestError as error:
            self._log.event("holders_not_understood", name=stored.name, why=str(error))
            return HolderSet(revision=stored.revision)
