"""Handle requests of other boxes: lease renewal and release, the record, this box's state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from wharftiller.core.errors import BadRequestError, UnknownPathError
from wharftiller.daemons.sessions.allowances.token_client import LOAN_PATH, TOKENS_PATH
from wharftiller.daemons.sessions.membership.boxes import CONTACT_RECENT_S
from wharftiller.edges.http_server import HttpRequest, HttpResponse
from wharftiller.edges.leadership_json import (
    record_from_json,
    record_to_json,
    report_to_json,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Handler = Callable[[Any], Awaitable[dict[str, Any]]]

    from wharftiller.core.leadership.completeness import AcknowledgementReport
    from wharftiller.core.leadership.record import LeadershipRecord
    from wharftiller.daemons.sessions.allowances.token_server import TokenServer
    from wharftiller.daemons.sessions.forwarding.executor import ForwardedExecutor
    from wharftiller.daemons.sessions.forwarding.gateway_client import GatewayClient
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.membership.readers import SnapshotServer
    from wharftiller.daemons.sessions.membership.tombstones import Tombstones
    from wharftiller.daemons.sessions.state import SharedState

WRITES_WAIT_S = 1.0
"""Time that in-flight writes get to end before a planned failover, in seconds."""

HOLDER_PATH = "/peer/holder"
"""Path of the question whether an endpoint of a group answers at an address."""

BOX_START_S = 2.0
"""Time for a box to start, in seconds; a stopping box is avoided for its grace period and this."""

STATE_PATH = "/peer/known"
"""Path of the request for this box's state; replies may be large and are compressed."""


def _as_async(handler: Callable[[Any], dict[str, Any]]) -> Handler:
    """Wrap a synchronous handler as an asynchronous one."""

    async def handler_async(request: Any) -> dict[str, Any]:
        return handler(request)

    return handler_async


class BoxServer:
    """Handles other boxes' requests.

    Parameters
    ----------
    state_json : callable
        Returns the part of this box's state that the requesting box lacks, as JSON.
    check_endpoints : callable
        Probes those of the named endpoints that had no recent contact.
    handle_holder_question : callable
        Tells whether an endpoint of a group answers at an address.
    grace_s : float
        Time between a box's stop signal and its kill, in seconds.
    """

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        tombstones: Tombstones,
        snapshot_server: SnapshotServer,
        state_json: Callable[[Any], dict[str, Any]],
        check_endpoints: Callable[[list[str]], Awaitable[None]],
        handle_holder_question: Handler,
        forwarded_executor: ForwardedExecutor,
        token_server: TokenServer,
        gateway_client: GatewayClient,
        grace_s: float,
    ) -> None:
        self._state = state
        self._directory = directory
        self._tombstones = tombstones
        self._check_endpoints = check_endpoints
        self._gateway_client = gateway_client
        self._grace_s = grace_s
        self._handlers = {
            ("POST", "/peer/round"): self._handle_renewal,
            ("POST", "/peer/read"): _as_async(snapshot_server.handle_read),
            ("POST", "/peer/stop"): self._handle_release_request,
            ("POST", "/peer/record"): _as_async(self._adopt_record),
            ("POST", "/peer/news"): _as_async(self._handle_change),
            ("POST", "/peer/alive"): _as_async(lambda _: {}),
            ("POST", HOLDER_PATH): handle_holder_question,
            ("POST", "/peer/run"): forwarded_executor.run,
            ("POST", "/peer/end"): _as_async(forwarded_executor.end),
            ("POST", TOKENS_PATH): token_server.handle_token_request,
            ("POST", LOAN_PATH): _as_async(token_server.handle_loan_request),
            ("POST", "/peer/leaving"): self._handle_leaving,
            ("POST", STATE_PATH): _as_async(state_json),
        }

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request."""
        handler = self._handlers.get((request.method, request.path))
        if handler is None:
            raise UnknownPathError(f"no {request.method} {request.path}; boxes ask under /peer/")
        compressed = request.path == STATE_PATH
        return HttpResponse(200, await handler(request.json()), compressed=compressed)

    async def _handle_renewal(self, request: Any) -> dict[str, Any]:
        if not isinstance(request, dict) or not isinstance(request.get("revision"), int):
            raise BadRequestError("a round's question names its revision; run one version")
        state = self._state
        self._tombstones.record_renewal(str(request.get("box")))
        endpoints = request.get("check") or ()
        if isinstance(endpoints, list) and endpoints:
            await self._check_endpoints([str(each) for each in endpoints])
        record = state.leases.record
        is_newer = record.revision > request["revision"]
        return {
            "incarnation": self._directory.incarnation,
            "platform": self._directory.platform_answers,
            "read_age_ms": self._directory.read_age_ms(),
            "read": state.leases.read_from_platform,
            "revision": record.revision,
            "record": record_to_json(record) if is_newer else None,
            "knows": state.state_versions.to_json(),
            "points": state.positions.to_json(),
            "hears": self._reachable_primaries(),
        }

    def _handle_change(self, _: Any) -> dict[str, Any]:
        """Check for a newer configuration or list of endpoints."""
        self._state.check_soon.set()
        return {}

    async def _handle_leaving(self, value: Any) -> dict[str, Any]:
        """Forward nothing new to a box that is stopping."""
        if not isinstance(value, dict) or not isinstance(value.get("box"), str):
            raise BadRequestError("a leaving box names itself; run one version")
        await self._gateway_client.stop_forwarding(value["box"], self._grace_s + BOX_START_S)
        return {}

    def _reachable_primaries(self) -> list[str]:
        """Return the primaries with recent direct contact, not through a relay."""
        now = trio.current_time()
        leads = [self._state.lead(group) for group in self._state.leases.record.groups]
        rows = [
            self._state.endpoints.rows[lead] for lead in leads if lead in self._state.endpoints.rows
        ]
        return [
            row.name
            for row in rows
            if row.unreachable_since is None
            and now - row.last_contact_at < CONTACT_RECENT_S
            and self._state.endpoints.relay_for(row) is None
        ]

    def _adopt_record(self, value: Any) -> dict[str, Any]:
        """Adopt a record if it is newer."""
        try:
            record = record_from_json(value["record"], value["revision"])
        except (KeyError, TypeError) as error:
            raise BadRequestError(f"no record was told: {error!r}; run one version") from None
        if self._state.leases.adopt(record):
            self._state.log.change("record_adopted", revision=record.revision, source="box")
            self._state.check_soon.set()
            self._state.wake()
        return {}

    async def _handle_release_request(self, value: Any) -> dict[str, Any]:
        """Release the leases on the primaries being replaced."""
        self._adopt_record(value)
        record = self._state.leases.record
        if record.revision < value["revision"] or not record.failovers:
            return {"stopped": False}
        await self.release_leases(record)
        now = trio.current_time()
        report = self.acknowledgement_report(record)
        return {
            "stopped": True,
            "listed_ms": int(self._directory.listed_s(now) * 1000),
            **report_to_json(report),
        }

    def acknowledgement_report(self, record: LeadershipRecord) -> AcknowledgementReport:
        """Return what this process has acknowledged in the groups that fail over.

        All of them: this box may not have the configuration yet by which replicas are synchronous.
        """
        return self._state.acknowledgement_report(self._directory.incarnation, record.failovers)

    async def release_leases(self, record: LeadershipRecord) -> None:
        """Release the leases on primaries being replaced; if planned, once writes have ended."""
        leases = self._state.leases
        for group, failover in record.failovers.items():
            leases.close(group, failover.old.endpoint)
        for group, failover in record.failovers.items():
            if failover.planned:
                await self._wait_for_writes(group)
            self._state.leases.release_lease(group, failover.old.endpoint)
        self._state.log.change("word_given", groups=sorted(record.failovers))
        self._state.wake()

    async def _wait_for_writes(self, group: str) -> None:
        """Wait until this box's writes in ``group`` have ended, for `WRITES_WAIT_S` at most."""
        with trio.move_on_after(WRITES_WAIT_S):
            while not self._state.work.is_idle(group):
                await self._state.wait_for_change()
