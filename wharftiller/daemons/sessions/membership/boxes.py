"""Requests to other boxes: queries, release of leases, notifications, state.

A query is one request to each of several boxes. Its replies carry the newest revision of
the record, the versions of configuration and endpoints, log positions of primaries
with their age, and the primaries that the box can reach. Leases are renewed by querying
every other box.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import attrs
import trio

from wharftiller.core.errors import BadRequestError, ExchangeError
from wharftiller.core.leadership.failover import takeover_rank
from wharftiller.core.leadership.lease import LEASE_S, MAX_BOX_LIST_AGE_S, RenewalReply
from wharftiller.core.rendezvous import ranked
from wharftiller.core.sessions.probe_outcomes import ProbeOutcome
from wharftiller.core.sessions.state_versions import StateVersions
from wharftiller.daemons.sessions.membership.box import Box
from wharftiller.daemons.sessions.membership.box_list import BoxList
from wharftiller.daemons.sessions.membership.replies import BoxReply, ReleaseReply
from wharftiller.edges.http_client import HttpClient, NoAnswerInTimeError
from wharftiller.edges.leadership_json import (
    record_from_json,
    record_to_json,
    report_from_json,
)

if TYPE_CHECKING:
    from collections.abc import Set

    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.daemons.sessions.state import SharedState
    from wharftiller.edges.transport import Transport

MAX_NAMED = 8
"""Maximum number of boxes named in one log line; the counts include all."""

MAX_PROBES = 2
"""Refused probes after which a box's process counts as ended."""

RENEWAL_S = 1.0
"""Time between lease renewals, in seconds: a lease of 6 s survives four failed ones."""

REPLIES_KEPT_S = 5.0
"""Age up to which the replies to a query show which boxes are alive, in seconds."""

RENEWAL_TIMEOUT_S = 0.7
"""Timeout of a query or a notification, in seconds."""

RELEASE_TIMEOUT_S = 1.5
"""Timeout of a request to release leases, in seconds; in-flight writes may end first."""

MAX_READ_AGE_S = 3600.0
"""Age reported if the platform was never read, in seconds; older reads report it too."""

CONTACT_RECENT_S = 1.0
"""A primary that answered within this time counts as reachable, in seconds."""


class BoxDirectory:
    """The other boxes, and this box's requests to them.

    Attributes
    ----------
    list : BoxList
        Every box; replaced whenever it changes.
    listed_since : float or None
        When this process first read its own entry in the list of boxes, in seconds.
    listed_at : float
        When the newest read that showed the entry was requested, in seconds.
    changed_at : float
        When the list last changed, in seconds.
    queried_at : float
        When other boxes were last queried, in seconds.
    platform_answers : bool
        Whether this box's last read of the platform succeeded.
    platform_read_at : float
        When the newest successful read of the platform by any box was sent, in seconds.
    """

    def __init__(self, state: SharedState, transport: Transport, box: Box) -> None:
        self._state = state
        self._transport = transport
        self._clients: dict[str, HttpClient] = {}
        self._alive_clients: dict[str, HttpClient] = {}
        self._box = box
        self.incarnation = box.incarnation
        self.list = BoxList(box, {})
        self.changed_at = -math.inf
        self._replies: dict[str, BoxReply] = {}
        self._responding: set[str] = set()
        self.listed_since: float | None = None
        self.listed_at = -math.inf
        self.queried_at = -math.inf
        self.platform_answers = False
        self.platform_read_at = -math.inf

    @property
    def boxes(self) -> dict[str, Box]:
        """The other boxes by name, including tombstoned ones."""
        return self.list.others

    @property
    def replies(self) -> dict[str, BoxReply]:
        """The replies to the last query; empty if it is older than `REPLIES_KEPT_S`."""
        if trio.current_time() - self.queried_at > REPLIES_KEPT_S:
            return {}
        return self._replies

    @property
    def is_reading_box(self) -> bool:
        """Whether this box ranks first of those that can read the platform."""
        reading = [name for name, reply in self.replies.items() if reply.platform_answers]
        return takeover_rank(self._box.name, reading, "reader") == 0

    def replace_list(self, boxes: dict[str, Box]) -> None:
        """Replace the list of the other boxes with one read from the platform."""
        if boxes == self.boxes:
            return
        gone = self.boxes.keys() - boxes.keys()
        self._log_change(boxes.keys() - self.boxes.keys(), gone, len(boxes))
        for name in gone:
            self._replies.pop(name, None)
            self._responding.discard(name)
        self.list = BoxList(self._box, boxes)
        self.changed_at = trio.current_time()

    def _log_change(self, new: Set[str], gone: Set[str], listed: int) -> None:
        """Log a change of the list in one line.

        One line per box would grow with the square of the number of boxes when all start.
        """
        if new or gone:
            self._state.log.change(
                "boxes_listed",
                new=sorted(new)[:MAX_NAMED],
                new_count=len(new),
                gone=sorted(gone)[:MAX_NAMED],
                gone_count=len(gone),
                listed=listed,
            )

    async def query_boxes(
        self,
        *,
        no_older_than_s: float = 0.0,
        check: tuple[str, ...] = (),
        among: list[Box] | None = None,
    ) -> bool:
        """Query the other boxes; return whether their replies renewed the leases.

        The request holds this box's name, the revision of its record and the endpoints to
        check; `replies` keeps the replies. They renew the leases if every box whose reply is
        needed replied and has read the platform, and the list of boxes is recent.

        Parameters
        ----------
        no_older_than_s : float
            Send nothing and return False if the last query began within this time, in seconds.
        check : tuple of str
            Endpoints that the others probe before they reply, if they had no recent contact.
        among : list of Box or None
            The boxes to query instead of all others; their replies renew no lease.
        """
        asked_at = trio.current_time()
        if asked_at - self.queried_at < no_older_than_s:
            return False
        self.queried_at = asked_at
        boxes = dict(self.boxes) if among is None else {box.name: box for box in among}
        replies: dict[str, BoxReply] = {}

        async def ask(box: Box) -> None:
            reply = await self._query(box, asked_at, check)
            if reply is not None:
                replies[box.name] = reply

        async with trio.open_nursery() as nursery:
            for box in boxes.values():
                nursery.start_soon(ask, box)
        self._record_contact(boxes, replies)
        answers = [reply.answer for reply in replies.values()]
        before = self._state.leases.record.revision
        renewed = self._state.leases.apply_renewal(answers, asked_at)
        if renewed or self._state.leases.record.revision != before:
            self._state.wake()
        return renewed

    def _record_contact(self, boxes: dict[str, Box], replies: dict[str, BoxReply]) -> None:
        for name in boxes:
            if name in replies and name not in self._responding:
                self._state.log.change("box_answers", other=name)
            elif name not in replies and name in self._responding:
                self._state.log.change("box_silent", other=name)
        self._responding = self._responding - boxes.keys() | replies.keys()
        self._replies = replies

    async def _query(self, box: Box, asked_at: float, check: tuple[str, ...]) -> BoxReply | None:
        revision = self._state.leases.record.revision
        request = {"box": self._state.box, "revision": revision, "check": check}
        try:
            value = await self.post(box, "/peer/round", request, RENEWAL_TIMEOUT_S)
            return self._take_reply(box, value, asked_at)
        except (ExchangeError, BadRequestError) as error:
            self._state.log.event("box_did_not_answer", other=box.name, why=str(error))
            return None

    def _take_reply(self, box: Box, value: Any, asked_at: float) -> BoxReply:
        try:
            record = self._state.leases.record
            if value["record"] is not None:
                record = record_from_json(value["record"], value["revision"])
            self._state.positions.merge(value["points"], asked_at)
            answer = RenewalReply(box.name, bool(value["read"]), record)
            reachable = frozenset(map(str, value["hears"]))
            read_at = asked_at - int(value["read_age_ms"]) / 1000
            self.platform_read_at = max(self.platform_read_at, read_at)
            return BoxReply(
                answer,
                bool(value["platform"]),
                str(value["incarnation"]),
                StateVersions.from_json(value["knows"]),
                reachable,
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise BadRequestError(
                f"{box.name} sent a malformed renewal reply: {error!r}; "
                "run the same version on all boxes"
            ) from None

    def read_age_ms(self) -> int:
        """Return the age of the newest known read of the platform, in milliseconds."""
        age_s = min(trio.current_time() - self.platform_read_at, MAX_READ_AGE_S)
        return int(age_s * 1000) + 1

    def live(self) -> list[str]:
        """Return the other boxes that are presumed alive."""
        if self.replies:
            return list(self.replies)
        return [name for name, box in self.boxes.items() if not box.retired]

    def boxes_to_json(self) -> list[dict[str, str]]:
        """Return all known boxes, this one included, as JSON."""
        return [attrs.asdict(box) for box in (self._box, *self.boxes.values())]

    def relay_to(self, endpoint: str) -> str | None:
        """Return the relay address of a box that reaches ``endpoint``, preferably a near one."""
        reaching = [n for n, reply in self.replies.items() if endpoint in reply.reachable]
        near = [n for n in reaching if self._is_near(n)]
        for name in ranked(self._state.box + endpoint, near or reaching):
            box = self.boxes.get(name)
            if box is not None:
                return box.relay
        return None

    def _is_near(self, name: str) -> bool:
        box = self.boxes.get(name)
        return box is not None and box.data_centre == self._state.data_centre

    async def post(self, box: Box, path: str, body: Any, timeout_s: float) -> Any:
        """Send a request to a box; return the body of its reply.

        Raises
        ------
        ExchangeError
            If it does not reply in time, or not with status 200.
        """
        return await self._post_on(self._client(box.address), box, path, body, timeout_s)

    async def is_alive(self, box: Box, timeout_s: float) -> bool:
        """Return whether a box answers a probe within ``timeout_s``."""
        try:
            await self._probe(box, timeout_s)
        except ExchangeError as error:
            self._state.log.event("box_did_not_answer", other=box.name, why=str(error))
            return False
        return True

    async def probe_outcome(self, box: Box, timeout_s: float) -> ProbeOutcome:
        """Probe a box and return the outcome."""
        for _ in range(MAX_PROBES):
            try:
                await self._probe(box, timeout_s)
            except NoAnswerInTimeError:
                return ProbeOutcome.SILENT
            except ExchangeError:
                # Only the connection may have ended: a live process accepts a new one.
                continue
            return ProbeOutcome.ANSWERED
        return ProbeOutcome.REFUSED

    async def _probe(self, box: Box, timeout_s: float) -> None:
        """Probe on a separate connection: a renewal on the shared one may wait for endpoints."""
        client = self._alive_clients.get(box.address)
        if client is None:
            client = self._alive_clients[box.address] = HttpClient(self._transport, box.address)
        await self._post_on(client, box, "/peer/alive", {}, timeout_s)

    @staticmethod
    async def _post_on(client: HttpClient, box: Box, path: str, body: Any, timeout_s: float) -> Any:
        answer = await client.request("POST", path, body, timeout_s=timeout_s)
        if answer.status != 200:
            raise ExchangeError(
                f"{box.name} answered {path} with status {answer.status}; expected 200"
            )
        return answer.json()

    def _client(self, address: str) -> HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = HttpClient(self._transport, address)
        return client

    def listed_s(self, now: float) -> float:
        """Return for how long this process has certainly been listed until now, in seconds.

        An entry is removed at the earliest `TOMBSTONE_S` after a read showed it without a
        tombstone, so 0 is returned once the newest such read is about that old.
        """
        if self.listed_since is None or now - self.listed_at > MAX_BOX_LIST_AGE_S + LEASE_S:
            return 0.0
        return now - self.listed_since

    async def request_release(self, box: Box, record: LeadershipRecord) -> ReleaseReply | None:
        """Request that a box releases its leases on the primaries being replaced.

        Returns
        -------
        ReleaseReply or None
            None if it did not release them.
        """
        body = {"revision": record.revision, "record": record_to_json(record)}
        try:
            value = await self.post(box, "/peer/stop", body, RELEASE_TIMEOUT_S)
            if not isinstance(value, dict) or value.get("stopped") is not True:
                return None
            listed_s = float(value.get("listed_ms") or 0) / 1000
            return ReleaseReply(listed_s, report_from_json(value))
        except (ExchangeError, BadRequestError) as error:
            self._state.log.event("word_not_given", other=box.name, why=str(error))
            return None

    async def send_record(self, record: LeadershipRecord, boxes: list[Box] | None = None) -> None:
        """Send a new record to ``boxes``, or to every other box if None."""
        body = {"revision": record.revision, "record": record_to_json(record)}
        await self._notify("/peer/record", body, boxes)

    async def notify_change(self, boxes: list[Box]) -> None:
        """Notify ``boxes`` that a newer configuration or list of endpoints may exist."""
        await self._notify("/peer/news", {}, boxes)

    async def send_leaving(self) -> None:
        """Notify the boxes of this data centre that this one is stopping."""
        near = [box for name, box in self.boxes.items() if self._is_near(name)]
        await self._notify("/peer/leaving", {"box": self._state.box}, near)

    async def _notify(self, path: str, body: Any, boxes: list[Box] | None = None) -> None:
        async def notify(box: Box) -> None:
            try:
                await self.post(box, path, body, RENEWAL_TIMEOUT_S)
            except ExchangeError as error:
                self._state.log.event("box_not_told", other=box.name, what=path, why=str(error))

        async with trio.open_nursery() as nursery:
            for box in list(self.boxes.values()) if boxes is None else boxes:
                nursery.start_soon(notify, box)

    async def fetch_state(
        self, address: str, own: StateVersions, timeout_s: float
    ) -> dict[str, Any] | None:
        """Return the state of the box at ``address`` beyond ``own``; None if it does not answer.

        Uses a separate connection: a large configuration on a slow link would delay renewals.
        """
        client = HttpClient(self._transport, address)
        try:
            answer = await client.request(
                "POST", "/peer/known", {"knows": own.to_json()}, timeout_s=timeout_s
            )
            value = answer.json()
        except ExchangeError as error:
            self._state.log.event("box_did_not_answer", other=address, why=str(error))
            return None
        finally:
            await client.aclose()
        return value if isinstance(value, dict) else None
