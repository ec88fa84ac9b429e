"""What the platform's objects say, decoded once: configuration, endpoints, boxes, the record."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from wharftiller.core.errors import (
    BadRequestError,
    ConfigurationError,
    PlatformUnavailableError,
    WharfError,
)
from wharftiller.core.leadership.record import LeadershipRecord
from wharftiller.core.sessions.routes import (
    BoundedReads,
    Consistency,
    EndpointEntry,
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
from wharftiller.edges.transport import split_address
from wharftiller.platform.store import era_of

if TYPE_CHECKING:
    from wharftiller.core.sessions.bounds import PlatformBounds
    from wharftiller.decisions import DecisionLog
    from wharftiller.platform.store import ObjectStore, StoredObject

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
"""The operator's configuration is one object."""

ENDPOINT_KIND = "servers"
"""Kind of the objects by which endpoints register themselves."""

LEADS = "primary"
LEAVES = "draining"
ENDPOINT_ROLES = frozenset({LEADS, "replica"})
ENDPOINT_STATES = frozenset({"ready", LEAVES})
"""Words by which endpoints say what they are."""

STARTED_FIELD = "born"
"""Where an endpoint says when its process started, in milliseconds of the Unix clock."""

OWN_KIND = "wharftiller"
"""Kind of everything that boxes keep."""

RECORD_NAME = "leadership"
"""Name of the record of leadership."""

ERA_FIELD = "era"
"""Field of the record that names the platform's era in which it was written."""

BOX_PREFIX = "box."
"""Goes before a box's name in the name of its entry."""

AFTER_BOXES = "box/"
"""Follows the name of every box's entry and goes before the record's: lists are in the order
of names."""

DEFAULT_TIMEOUT_MS = 2_000
"""A statement's time-out where a route names none, in milliseconds: as long as callers wait
for a session to open."""

DEFAULT_GOAL_MS = 500
"""A route's latency goal where it names none, in milliseconds: a quarter of the time-out."""

DEFAULT_PRIORITY = 2
"""Priority of a route that names none: after those that name 0 or 1."""

DEFAULT_TX_IDLE_MS = 3_000
"""How long a transaction may rest where no limit is named, in milliseconds."""


KEYS_FIELD = "ApiKeys"
"""Where the operator's document lists a workspace's keys, which are secrets."""

DIGESTS_FIELD = "KeyDigests"
"""Where a document that boxes hand one another lists the keys' digests instead."""


class EndpointNotUnderstoodError(WharfError):
    """An entry among the endpoints' that names none."""

    kind = "endpoint_not_understood"


def decode_configuration(document: Any, *, needs_workspaces: bool = False) -> SessionConfiguration:
    """Return the configuration that the operator's document, or another box's copy, holds.

    Parameters
    ----------
    needs_workspaces : bool
        Whether a document that lists no workspaces is refused.

    Raises
    ------
    ConfigurationError
        If it lacks something; the message tells no key.
    """
    try:
        return _decode_configuration(document, needs_workspaces)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        # Of a value that is no number the error would tell the value.
        why = f"no {error}" if isinstance(error, KeyError) else type(error).__name__
        raise ConfigurationError(
            f"the configuration is not as the platform describes it: {why}; write it anew"
        ) from None


def _decode_configuration(document: Any, needs_workspaces: bool) -> SessionConfiguration:
    routes = [_route(each) for each in document["Routes"]]
    groups = [_group(each) for each in document["Services"]]
    idle_ms = (document.get("Limits") or {}).get("TxIdleMs") or DEFAULT_TX_IDLE_MS
    listed = document["Tenants"] if needs_workspaces else document.get("Tenants")
    kept = document if listed is None else {**document, "Tenants": [_tenant(t) for t in listed]}
    return SessionConfiguration(
        int(document["Version"]),
        {route.database: route for route in routes},
        {group.name: group for group in groups},
        float(idle_ms) / 1000,
        None if listed is None else _workspaces(kept["Tenants"]),
        kept,
    )


def _tenant(value: Any) -> dict[str, Any]:
    """Return what the document says of a workspace, with digests in place of keys."""
    kept = {name: field for name, field in value.items() if name != KEYS_FIELD}
    if KEYS_FIELD in value:
        kept[DIGESTS_FIELD] = [digest_of_key(str(key)) for key in value[KEYS_FIELD]]
    return kept


def _workspaces(tenants: list[dict[str, Any]]) -> WorkspaceDirectory:
    """Return the directory; the platform calls a workspace a tenant."""
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
        # The platform calls the database's name a host.
        database=str(value["Host"]),
        group=str(value["Service"]),
        consistency=_consistency(value),
        timeout_s=float(value.get("TimeoutMs") or DEFAULT_TIMEOUT_MS) / 1000,
        latency_goal_s=float(value.get("LatencyGoalMs") or DEFAULT_GOAL_MS) / 1000,
        priority=int(value.get("Priority", DEFAULT_PRIORITY)),
        needs_no_key=value.get("AuthExempt") is True,
    )


def _consistency(value: Any) -> Consistency:
    age_s = float(value.get("MaxStalenessMs") or 0) / 1000
    match value.get("Kind"):
        case "bounded_staleness":
            return BoundedReads(age_s)
        case "read_own_writes":
            return OwnWritesReads(age_s)
        case _:
            # The strictest reading is right for every kind.
            return PrimaryReads()


def decode_endpoint(stored: StoredObject, bounds: PlatformBounds) -> EndpointEntry:
    """Return the endpoint that registered itself in ``stored``.

    Raises
    ------
    EndpointNotUnderstoodError
        If the entry lacks something or holds something else: another writer's names no endpoint.
    """
    spec = stored.spec
    if not isinstance(spec, dict):
        raise EndpointNotUnderstoodError("it holds no fields")
    address = _text(spec, "Address")
    try:
        split_address(address)
    except ValueError as error:
        raise EndpointNotUnderstoodError(str(error)) from None
    state = _word(spec, "State", ENDPOINT_STATES)
    return EndpointEntry(
        name=stored.name,
        group=_text(spec, "Service"),
        address=address,
        data_centre=_text(spec, "Zone"),
        leads=_word(spec, "DbRole", ENDPOINT_ROLES) == LEADS,
        leaving=state == LEAVES,
        leaving_serves_s=bounds.leaving_serves_s,
        started_ms=_started_ms(spec),
    )


def _text(spec: dict[str, Any], name: str) -> str:
    value = spec.get(name)
    if not isinstance(value, str) or not value:
        raise EndpointNotUnderstoodError(f"its {name} is no text")
    return value


def _word(spec: dict[str, Any], name: str, known: frozenset[str]) -> str:
    value = _text(spec, name)
    if value not in known:
        raise EndpointNotUnderstoodError(f"its {name} is none of {', '.join(sorted(known))}")
    return value


def _started_ms(spec: dict[str, Any]) -> int | None:
    """Return when the endpoint's process started; None if it does not say so."""
    value = spec.get(STARTED_FIELD)
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool):
        raise EndpointNotUnderstoodError(f"its {STARTED_FIELD} is no whole number")
    return value


class EndpointDecoder:
    """Decodes lists of endpoints; what cannot be understood is said once."""

    def __init__(self, bounds: PlatformBounds, log: DecisionLog) -> None:
        self._bounds = bounds
        self._log = log
        self._said: dict[str, int] = {}

    def decode(self, objects: dict[str, StoredObject]) -> list[EndpointEntry]:
        """Return every endpoint that can be understood; the others hold nobody up."""
        entries = []
        for stored in objects.values():
            try:
                entries.append(decode_endpoint(stored, self._bounds))
            except EndpointNotUnderstoodError as error:
                self._say(stored, str(error))
        self._said = {name: said for name, said in self._said.items() if name in objects}
        return entries

    def _say(self, stored: StoredObject, why: str) -> None:
        if self._said.get(stored.name) != stored.revision:
            self._said[stored.name] = stored.revision
            self._log.event("endpoint_not_understood", endpoint=stored.name, why=why)


class SharedPlatformObjects:
    """The boxes' list and the record of leadership, kept as objects of one kind."""

    def __init__(self, store: ObjectStore, log: DecisionLog) -> None:
        self._store = store
        self._log = log
        self._last: PlatformSnapshot | None = None
        self._is_calm = False

    async def read(self) -> PlatformSnapshot:
        """Read everything as it stands now.

        While nothing changes only the record is listed, whose answer tells the platform's
        revision: where that is the last list's, no entry has changed, and the bytes of all
        entries need not cross between data centres.
        """
        last = self._last
        if last is not None and self._is_calm:
            _, revision = await self._store.list_all(OWN_KIND, after=AFTER_BOXES)
            if revision == last.revision:
                return last
        listing = await self._read_all()
        self._is_calm = last is not None and listing.revision == last.revision
        self._last = listing
        return listing

    async def _read_all(self) -> PlatformSnapshot:
        objects, revision = await self._store.list_all(OWN_KIND)
        boxes: dict[str, Box] = {}
        marks: dict[str, int] = {}
        record = LeadershipRecord(era=era_of(revision))
        for name, stored in objects.items():
            if name == RECORD_NAME:
                record = self._record(stored)
            elif name.startswith(BOX_PREFIX):
                box = self._decode_box(stored)
                if box is not None:
                    boxes[box.name] = box
                    if box.retired:
                        marks[box.name] = stored.revision
        revisions = {name: stored.revision for name, stored in objects.items()}
        return PlatformSnapshot(record, boxes, revision, marks, revisions)

    def _decode_box(self, stored: StoredObject) -> Box | None:
        try:
            values = {each.name: str(stored.spec.get(each.name, "")) for each in attrs.fields(Box)}
            return Box(**values) if values["address"] else None
        except (AttributeError, TypeError) as error:
            self._log.event("box_not_understood", name=stored.name, why=repr(error))
            return None

    def _record(self, stored: StoredObject) -> LeadershipRecord:
        try:
            record = record_from_json(stored.spec, stored.revision)
        except BadRequestError as error:
            raise PlatformUnavailableError(str(error)) from error
        # Written in an era before this one, it may be older than what was acknowledged then.
        written_in = stored.spec.get(ERA_FIELD)
        era = era_of(stored.revision)
        is_confirmed = written_in is None or written_in == era
        return attrs.evolve(record, is_confirmed=is_confirmed, era=era)

    async def register(self, box: Box) -> None:
        """Put ``box`` into the list, or its new process in its place."""
        name = BOX_PREFIX + box.name
        spec = attrs.asdict(box)
        stands = await self._store.put(OWN_KIND, name, spec, 0)
        if stands.spec != spec:
            await self._store.put(OWN_KIND, name, spec, None)

    async def retire(self, box: Box, by: str) -> None:
        """Mark a box as dead."""
        await self._store.put(
            OWN_KIND, BOX_PREFIX + box.name, attrs.asdict(attrs.evolve(box, retired=by)), None
        )

    async def withdraw(self, box: Box) -> None:
        """Take ``box`` out of the list."""
        await self._store.delete(OWN_KIND, BOX_PREFIX + box.name)

    async def replace_record(self, record: LeadershipRecord) -> LeadershipRecord:
        """Replace the record of ``record.revision``; return what stands there afterwards."""
        spec = {**record_to_json(record), ERA_FIELD: self._store.era}
        stands = await self._store.put(OWN_KIND, RECORD_NAME, spec, record.revision)
        return self._record(stands)
