"""The platform's objects: configuration, boxes and the leadership record."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from wharftiller.core.errors import (
    BadRequestError,
    ConfigurationError,
    PlatformUnavailableError,
)
from wharftiller.core.leadership.record import LeadershipRecord
from wharftiller.core.sessions.routes import (
    BoundedReads,
    Consistency,
    GroupLimits,
    OwnWritesReads,
    PrimaryReads,
    Route,
    SessionConfiguration,
)
from wharftiller.core.sessions.workspaces import (
    Allowance,
    Workspace,
    WorkspaceDirectory,
    digest_of_key,
)
from wharftiller.daemons.sessions.interfaces import PlatformSnapshot
from wharftiller.daemons.sessions.membership.box import Box
from wharftiller.edges.leadership_json import record_from_json, record_to_json
from wharftiller.platform.answers import era_of

if TYPE_CHECKING:
    from wharftiller.decisions import DecisionLog
    from wharftiller.platform.answers import StoredObject
    from wharftiller.platform.store import ObjectStore

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
"""Kind and name of the object with the operator's configuration."""

OWN_KIND = "wharftiller"
"""Kind of the objects that boxes write."""

RECORD_NAME = "leadership"
"""Name of the object with the leadership record."""

HOLDERS_PREFIX = "holders."
"""Prefix of a group's name in the name of the object with the holders of its writes."""

ERA_FIELD = "era"
"""Field of the record and of holders: era of the platform's store in which they were written."""

BOX_PREFIX = "box."
"""Prefix of a box's name in the name of its object."""

BOX_PREFIX_END = "box/"
"""Sorts after the names of all boxes' objects and before the names of all others: lists are sorted
by name."""

MAX_LOGGED_NAME = 255
"""Characters of an object's name in the log."""

MAX_REGISTRATION_ATTEMPTS = 3
"""Attempts to replace an entry that other boxes change at the same time."""

DEFAULT_TIMEOUT_MS = 2_000
"""Statement timeout of a route that sets none, in milliseconds: the time that callers wait for a
session to open."""

DEFAULT_GOAL_MS = 500
"""Latency goal of a route that sets none, in milliseconds: a quarter of the timeout."""

DEFAULT_PRIORITY = 2
"""Priority of a route that sets none; a lower number comes first."""

DEFAULT_TX_IDLE_MS = 3_000
"""Idle limit of transactions where the configuration sets none, in milliseconds."""


KEYS_FIELD = "ApiKeys"
"""Field of the operator's document with a workspace's keys, which are secret."""

DIGESTS_FIELD = "KeyDigests"
"""Field that replaces `KEYS_FIELD` in the documents that boxes send each other."""


def decode_configuration(document: Any, *, needs_workspaces: bool = False) -> SessionConfiguration:
    """Decode the configuration from the operator's document or another box's copy of it.

    Parameters
    ----------
    needs_workspaces : bool
        Whether a document without workspaces is invalid.

    Raises
    ------
    ConfigurationError
        If the document is invalid; the message contains no key.
    """
    try:
        return _decode_configuration(document, needs_workspaces)
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        # The text of a ValueError contains the value, which may be a secret.
        why = f"no {error}" if isinstance(error, KeyError) else type(error).__name__
        raise ConfigurationError(
            f"invalid configuration document: {why}; correct it as the platform describes it"
        ) from None


def _decode_configuration(document: Any, needs_workspaces: bool) -> SessionConfiguration:
    routes = [_route(each) for each in document["Routes"]]
    groups = [_group(each) for each in document["Services"]]
    idle_ms = (document.get("Limits") or {}).get("TxIdleMs") or DEFAULT_TX_IDLE_MS
    tenants = document["Tenants"] if needs_workspaces else document.get("Tenants")
    sanitized = (
        document if tenants is None else {**document, "Tenants": [_tenant(t) for t in tenants]}
    )
    return SessionConfiguration(
        int(document["Version"]),
        {route.database: route for route in routes},
        {group.name: group for group in groups},
        float(idle_ms) / 1000,
        None if tenants is None else _workspaces(sanitized["Tenants"]),
        sanitized,
    )


def _tenant(value: Any) -> dict[str, Any]:
    """Return a workspace of the document with its keys replaced by their digests."""
    sanitized = {name: field for name, field in value.items() if name != KEYS_FIELD}
    if KEYS_FIELD in value:
        sanitized[DIGESTS_FIELD] = [digest_of_key(str(key)) for key in value[KEYS_FIELD]]
    return sanitized


def _workspaces(tenants: list[dict[str, Any]]) -> WorkspaceDirectory:
    """Return the directory of workspaces, which the platform calls tenants."""
    return WorkspaceDirectory((_workspace(each), each[DIGESTS_FIELD]) for each in tenants)


def _workspace(value: dict[str, Any]) -> Workspace:
    allowance = None
    if value.get("RatePerS") is not None:
        allowance = Allowance(float(value["RatePerS"]), float(value.get("Burst") or 0))
    return Workspace(str(value["Name"]), allowance)


def _group(value: Any) -> GroupLimits:
    return GroupLimits(
        name=str(value["Name"]),
        max_connections=int(value.get("MaxConns") or 1),
        sync_replicas=int(value.get("SyncReplicas") or 0),
    )


def _route(value: Any) -> Route:
    return Route(
        name=str(value["Name"]),
        # "Host" is the platform's name for the database.
        database=str(value["Host"]),
        group=str(value["Service"]),
        consistency=_consistency(value),
        timeout_s=float(value.get("TimeoutMs") or DEFAULT_TIMEOUT_MS) / 1000,
        latency_goal_s=float(value.get("LatencyGoalMs") or DEFAULT_GOAL_MS) / 1000,
        priority=int(value.get("Priority", DEFAULT_PRIORITY)),
        needs_no_key=value.get("AuthExempt") is True,
    )


def _consistency(value: Any) -> Consistency:
    max_age_s = float(value.get("MaxStalenessMs") or 0) / 1000
    match value.get("Kind"):
        case "bounded_staleness":
            return BoundedReads(max_age_s)
        case "read_own_writes":
            return OwnWritesReads(max_age_s)
        case _:
            # The strictest consistency satisfies unknown kinds too.
            return PrimaryReads()


class SharedPlatformObjects:
    """The list of boxes and the leadership record, stored as objects of one kind.

    An entry of the list is changed only at the revision at which it was read or written. A call
    that got no answer may take effect seconds later, when the box may run another process.
    """

    def __init__(self, store: ObjectStore, log: DecisionLog) -> None:
        self._store = store
        self._log = log
        self._last: PlatformSnapshot | None = None
        self._is_unchanged = False
        self._entry_revisions: dict[Box, int] = {}

    async def read(self) -> PlatformSnapshot:
        """Read the current snapshot.

        After two lists without a change only the leadership record is listed. Its response has
        the platform's revision: if that is unchanged, the last snapshot is still valid, which
        saves the transfer of all boxes' objects between data centres.
        """
        last = self._last
        if last is not None and self._is_unchanged:
            _, revision = await self._store.list_all(OWN_KIND, after=BOX_PREFIX_END)
            if revision == last.revision:
                return last
        snapshot = await self._read_all()
        self._is_unchanged = last is not None and snapshot.revision == last.revision
        self._last = snapshot
        return snapshot

    async def _read_all(self) -> PlatformSnapshot:
        objects, revision = await self._store.list_all(OWN_KIND)
        boxes: dict[str, Box] = {}
        entry_revisions: dict[Box, int] = {}
        tombstones: dict[str, int] = {}
        record = LeadershipRecord(era=era_of(revision))
        for name, stored in objects.items():
            if name == RECORD_NAME:
                record = self._record(stored)
            elif name.startswith(BOX_PREFIX):
                box = self._decode_box(stored)
                if box is not None:
                    boxes[box.name] = box
                    entry_revisions[box] = stored.revision
                    if box.retired:
                        tombstones[box.name] = stored.revision
        revisions = {name: stored.revision for name, stored in objects.items()}
        # What was written or read after this list was made stays known.
        later = {box: at for box, at in self._entry_revisions.items() if at > revision}
        self._entry_revisions = entry_revisions | later
        return PlatformSnapshot(record, boxes, revision, tombstones, revisions)

    def _decode_box(self, stored: StoredObject) -> Box | None:
        if not isinstance(stored.spec, dict):
            self._log_odd_box(stored, "it is not a table of fields")
            return None
        values = {each.name: stored.spec.get(each.name, "") for each in attrs.fields(Box)}
        if not all(isinstance(value, str) for value in values.values()):
            self._log_odd_box(stored, "a field is no text")
            return None
        return Box(**values) if values["address"] else None

    def _log_odd_box(self, stored: StoredObject, why: str) -> None:
        self._log.event("box_not_understood", name=stored.name[:MAX_LOGGED_NAME], why=why)

    def _record(self, stored: StoredObject) -> LeadershipRecord:
        try:
            record = record_from_json(stored.spec, stored.revision)
        except BadRequestError as error:
            raise PlatformUnavailableError(str(error)) from error
        # A record of an earlier era may be older than an update acknowledged in that era.
        record_era = stored.spec.get(ERA_FIELD)
        era = era_of(stored.revision)
        is_confirmed = record_era is None or record_era == era
        return attrs.evolve(record, is_confirmed=is_confirmed, era=era)

    async def register(self, box: Box) -> None:
        """Add ``box`` to the list, or replace the entry that stands in its place."""
        name, spec = BOX_PREFIX + box.name, attrs.asdict(box)
        for _ in range(MAX_REGISTRATION_ATTEMPTS):
            stored = await self._store.put(OWN_KIND, name, spec, 0)
            if stored.spec != spec:
                stored = await self._store.put(OWN_KIND, name, spec, stored.revision)
            if stored.spec == spec:
                self._entry_revisions[box] = stored.revision
                return
        raise PlatformUnavailableError(
            f"the entry of {box.name} changed {MAX_REGISTRATION_ATTEMPTS} times while it was "
            "replaced; the next read tries again"
        )

    async def retire(self, box: Box, by: str) -> bool:
        """Write a tombstone over the entry ``box``; return False if another is in its place."""
        revision = self._entry_revisions.get(box)
        if revision is None:
            return False
        spec = attrs.asdict(attrs.evolve(box, retired=by))
        stored = await self._store.put(OWN_KIND, BOX_PREFIX + box.name, spec, revision)
        return bool(stored.spec == spec)

    async def withdraw(self, box: Box) -> bool:
        """Remove the entry ``box`` from the list; return False if another one is in its place."""
        revision = self._entry_revisions.get(box)
        if revision is None:
            return False
        return await self._store.delete(OWN_KIND, BOX_PREFIX + box.name, revision)

    async def replace_record(self, record: LeadershipRecord) -> LeadershipRecord:
        """Replace the record if it is at ``record.revision``; return the one then stored."""
        spec = {**record_to_json(record), ERA_FIELD: self._store.era}
        stored = await self._store.put(OWN_KIND, RECORD_NAME, spec, record.revision)
        return self._record(stored)
