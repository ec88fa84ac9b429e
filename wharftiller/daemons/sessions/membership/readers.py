"""Readers: in large deployments one box per data centre reads the platform for the others.

In a small deployment each box asks every other once a second. The cost grows with the
square of the number of boxes, so from `READERS_MIN_BOXES` on each box asks only a reader, which
returns its newest snapshot of the platform and the snapshot's age. A snapshot that lists the
requesting box renews its leases as a read of its own does. Boxes ask all others only while
the platform is unavailable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import trio

from wharftiller.core.errors import BadRequestError, ExchangeError
from wharftiller.core.rendezvous import ranked
from wharftiller.core.sessions.state_versions import StateVersions
from wharftiller.daemons.sessions.interfaces import PlatformSnapshot
from wharftiller.daemons.sessions.membership.box import Box
from wharftiller.daemons.sessions.membership.boxes import RENEWAL_TIMEOUT_S
from wharftiller.edges.leadership_json import record_from_json, record_to_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

READERS_MIN_BOXES = 16
"""Number of other boxes from which readers are used instead of renewals by all boxes."""

READERS_TRIED = 4
"""Readers tried in order before a box reads the platform itself.

If the platform rejects a third of the boxes, all four fail in one data centre of eighty. With two
readers all would fail in one of nine, and all boxes there would read the platform.
"""

READ_FRESH_S = 2.5
"""Age beyond which a reader's snapshot is stale, in seconds: three intervals of its reads."""

LISTS_KEPT = 16
"""Recent lists of boxes for which a reader sends only changes; for older ones it sends all.

Boxes ask once a second, and lists are read every 0.8 s.
"""

REQUEST_RECENT_S = 5.0
"""A box that has not asked its reader within this time counts as unresponsive, in seconds."""


@attrs.define
class LastRead:
    """The newest snapshot that this box read from the platform itself.

    Attributes
    ----------
    asked_at : float
        When the read was sent, in seconds.
    list_revision : int
        Revision at which its list of boxes was first read.
    """

    snapshot: PlatformSnapshot | None = None
    asked_at: float = 0.0
    list_revision: int = 0


@attrs.frozen
class ListChange:
    """The difference between two lists of boxes.

    Attributes
    ----------
    boxes : list of dict
        The entries that are new or changed, as JSON.
    gone : list of str
        Names that were removed.
    """

    boxes: list[dict[str, str]]
    gone: list[str]

    @classmethod
    def between(cls, old: dict[str, Box], new: dict[str, Box]) -> ListChange:
        """Return the change from ``old`` to ``new``."""
        changed = [attrs.asdict(box) for name, box in new.items() if old.get(name) != box]
        return cls(changed, sorted(old.keys() - new.keys()))


class SnapshotServer:
    """Serves this box's snapshots of the platform to other boxes.

    Attributes
    ----------
    asked_at : dict of str to float
        When each box last asked, in seconds.
    """

    def __init__(self, state: SharedState, incarnation: str) -> None:
        self._state = state
        self._incarnation = incarnation
        self._last = LastRead()
        self._lists: dict[int, dict[str, Box]] = {}
        self._changes: dict[int, ListChange] = {}
        self.asked_at: dict[str, float] = {}

    def store(self, snapshot: PlatformSnapshot, asked_at: float) -> None:
        """Store a snapshot that this box read, requested at ``asked_at`` (seconds)."""
        known = self._last.snapshot
        if known is None or known.boxes != snapshot.boxes:
            self._last.list_revision = snapshot.revision
            self._lists[snapshot.revision] = snapshot.boxes
            while len(self._lists) > LISTS_KEPT:
                del self._lists[min(self._lists)]
            self._changes.clear()
        self._last.snapshot = snapshot
        self._last.asked_at = asked_at

    def handle_read(self, request: Any) -> dict[str, Any]:
        """Return the parts of the newest snapshot that the requesting box lacks.

        Raises
        ------
        BadRequestError
            If the request is malformed.
        """
        try:
            name, incarnation = str(request["box"]), str(request["incarnation"])
            revision, list_revision = int(request["revision"]), int(request["list_revision"])
        except (KeyError, TypeError, ValueError) as error:
            raise BadRequestError(f"no question to a reader: {error!r}; run one version") from None
        now = trio.current_time()
        self.asked_at[name] = now
        snapshot = self._last.snapshot
        if snapshot is None:
            return {"read": False}
        listed = snapshot.boxes.get(name)
        reply: dict[str, Any] = {
            "read": True,
            "age_ms": int((now - self._last.asked_at) * 1000) + 1,
            "listed": listed is not None and listed.incarnation == incarnation,
            "revision": snapshot.record.revision,
            "era": snapshot.record.era,
            "confirmed": snapshot.record.is_confirmed,
            "record": None,
            "list_revision": self._last.list_revision,
            "boxes": None,
            "gone": [],
            "whole": False,
            "knows": self._state.state_versions.to_json(),
            "points": self._state.positions.to_json(),
        }
        if snapshot.record.revision > revision:
            reply["record"] = record_to_json(snapshot.record)
        if self._last.list_revision != list_revision:
            change = self._change_since(list_revision, snapshot.boxes)
            reply["boxes"] = change.boxes
            reply["gone"] = change.gone
            reply["whole"] = list_revision not in self._lists
        return reply

    def _change_since(self, list_revision: int, boxes: dict[str, Box]) -> ListChange:
        """Return the change from the list of a revision, empty if unknown, to ``boxes``.

        Cached, because many boxes ask for the same change.
        """
        change = self._changes.get(list_revision)
        if change is None:
            change = ListChange.between(self._lists.get(list_revision, {}), boxes)
            self._changes[list_revision] = change
        return change


class SnapshotClient:
    """Requests snapshots of the platform from readers.

    Attributes
    ----------
    newer_state_at : str or None
        Address of a reader with newer state than this box.
    is_silent : bool
        Whether the last reader asked did not answer or had no recent snapshot.

    Parameters
    ----------
    apply : callable
        Applies a snapshot, given when it was requested; returns whether it lists this box.
    """

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        box: Box,
        apply: Callable[[PlatformSnapshot, float], bool],
    ) -> None:
        self._state = state
        self._directory = directory
        self._box = box
        self._apply = apply
        self._list_revision = 0
        self._boxes: dict[str, Box] = {}
        self.newer_state_at: str | None = None
        self.is_silent = False

    @property
    def data_centre(self) -> str:
        """The data centre of this box."""
        return self._box.data_centre

    @property
    def applies(self) -> bool:
        """Whether the deployment is large enough for readers."""
        return len(self._directory.boxes) >= READERS_MIN_BOXES

    def readers(self) -> list[Box]:
        """Return the candidate readers of this box's data centre by rank, this box included."""
        return self._directory.list.readers

    @property
    def is_reader(self) -> bool:
        """Whether this box reads for the others in its data centre."""
        return self.readers()[0].name == self._box.name

    @property
    def may_be_asked(self) -> bool:
        """Whether other boxes of this data centre may ask this one for its snapshots."""
        return self._box in self.readers()[:READERS_TRIED]

    def watchers(self) -> list[Box]:
        """Return the other boxes that watch the platform: only the readers, if readers are used.

        The others receive changes from their reader within a second.
        """
        boxes = self._directory.list
        if not self.applies:
            return list(boxes.others.values())
        readers = [ranked("reader", names)[0] for names in boxes.live.values()]
        return [boxes.others[name] for name in readers if name != self._box.name]

    async def ask(self) -> bool:
        """Ask the readers in order; return whether a recent snapshot was applied."""
        for reader in self.readers()[:READERS_TRIED]:
            if reader.name == self._box.name:
                return False
            if await self._ask(reader):
                return True
        return False

    async def _ask(self, reader: Box) -> bool:
        asked_at = trio.current_time()
        request = {
            "box": self._box.name,
            "incarnation": self._box.incarnation,
            "revision": self._state.leases.record.revision,
            "list_revision": self._list_revision,
        }
        try:
            value = await self._directory.post(reader, "/peer/read", request, RENEWAL_TIMEOUT_S)
            return self._take_reply(reader, value, asked_at)
        except (ExchangeError, BadRequestError) as error:
            self._state.log.event("reader_did_not_answer", other=reader.name, why=str(error))
            self.is_silent = True
            return False

    def _take_reply(self, reader: Box, value: Any, asked_at: float) -> bool:
        try:
            if not value["read"]:
                self.is_silent = True
                return False
            has_newer = self._state.state_versions.lacks(StateVersions.from_json(value["knows"]))
            self.newer_state_at = reader.address if has_newer else None
            if not value["listed"]:
                return False
            # Counts from when the request was sent, before the reader computed the age.
            read_at = asked_at - float(value["age_ms"]) / 1000
            record = self._state.leases.record
            if value["record"] is not None:
                record = record_from_json(value["record"], value["revision"])
            elif record.revision > value["revision"]:
                record = attrs.evolve(record, revision=value["revision"])
            # As the reader read it: a record restored from a backup renews no lease here either.
            record = attrs.evolve(
                record,
                era=int(value.get("era") or 0),
                is_confirmed=value.get("confirmed") is not False,
            )
            if value["boxes"] is not None:
                boxes = {} if value["whole"] else dict(self._boxes)
                for name in value["gone"]:
                    boxes.pop(name, None)
                boxes.update((each["name"], Box(**each)) for each in value["boxes"])
                self._boxes = boxes
                self._list_revision = int(value["list_revision"])
            self._state.positions.merge(value["points"], asked_at)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise BadRequestError(
                f"{reader.name} sent a malformed reply: {error!r}; "
                "run the same version on all boxes"
            ) from None
        self._directory.platform_read_at = max(self._directory.platform_read_at, read_at)
        snapshot = PlatformSnapshot(record, dict(self._boxes))
        if value["revision"] == record.revision and not self._apply(snapshot, read_at):
            return False
        is_fresh = trio.current_time() - read_at < READ_FRESH_S
        self.is_silent = not is_fresh
        return is_fresh
