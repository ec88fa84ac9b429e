"""Client of gateway boxes, with detection of gateways that stop responding."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import BadRequestError, ExchangeError
from wharftiller.edges.forwarded_json import reply_from_json, statement_to_json
from wharftiller.edges.http_client import HttpPool, NotSentError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wharftiller.daemons.sessions.forwarding.gateways import Gateways
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState
    from wharftiller.edges.forwarded_json import ForwardedReply, ForwardedStatement
    from wharftiller.edges.transport import Transport

CONNECT_TIMEOUT_S = 0.3
"""Time-out for connecting to a gateway, in seconds: allows one retransmission after 0.2 s."""

REPLY_SLACK_S = 0.05
"""Time beyond a statement's time-out for the gateway's reply to arrive, in seconds."""

UNRESPONSIVE_S = 0.3
"""Time without a reply after which a gateway with outstanding statements is probed, in seconds."""

PROBE_TIMEOUT_S = 0.25
"""Time-out of that probe, in seconds: allows one retransmission after 0.2 s."""

WATCH_POLL_S = 0.1
"""Interval between checks of gateways with outstanding statements, in seconds."""

NOT_RUN_STATUSES = (400, 404, 413)
"""HTTP statuses of requests that were rejected unread: nothing was run."""


class GatewayLostError(ExchangeError):
    """The gateway stopped responding while it ran a statement."""


@attrs.define(eq=False)
class _GatewayLink:
    """Connections to one gateway and its outstanding statements.

    Attributes
    ----------
    outstanding : dict
        Cancel scope of each statement without a reply, with its sending time in seconds.
    probed_at : float
        Time of the last probe, in seconds.
    """

    box: Box
    pool: HttpPool
    outstanding: dict[trio.CancelScope, float] = attrs.field(factory=dict)
    last_contact_at: float = -math.inf
    probed_at: float = -math.inf
    lost: bool = False


class GatewayClient:
    """Sends statements to gateways and tracks those that are outstanding."""

    def __init__(
        self,
        state: SharedState,
        gateways: Gateways,
        directory: BoxDirectory,
        transport: Transport,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._gateways = gateways
        self._directory = directory
        self._transport = transport
        self._nursery = nursery
        self._links: dict[str, _GatewayLink] = {}
        self._has_outstanding = trio.Event()

    async def forward(
        self, gateway: Box, message: ForwardedStatement, until: float
    ) -> ForwardedReply:
        """Return a gateway's reply to a statement that times out at ``until`` (seconds).

        Raises
        ------
        NotSentError
            If the statement did not reach the gateway or was rejected unread.
        ExchangeError
            If no usable reply came: the statement may have run.
        """
        link = self._link(gateway)
        body = statement_to_json(message)
        with self._outstanding(link, until) as scope:
            try:
                response = await link.pool.post("/peer/run", body)
            except NotSentError:
                self._mark_lost(link, "it accepts no connection")
                raise
        if scope.cancelled_caught:
            if link.lost:
                raise GatewayLostError(f"{gateway.name}, which ran it, stopped answering")
            raise GatewayLostError(f"{gateway.name} did not answer in time")
        link.last_contact_at = trio.current_time()
        if response.status != 200:
            detail = f"{gateway.name} could not run it: {response.body[:80]!r}"
            raise (
                NotSentError(detail)
                if response.status in NOT_RUN_STATUSES
                else ExchangeError(detail)
            )
        try:
            return reply_from_json(response.json())
        except BadRequestError as error:
            raise ExchangeError(str(error)) from error

    async def send_end(self, gateway: Box, transaction: str) -> None:
        """Ask a gateway to roll a transaction back; give up after `CONNECT_TIMEOUT_S`.

        Raises
        ------
        ExchangeError
            If the request fails.
        """
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            await self._link(gateway).pool.post("/peer/end", {"transaction": transaction})

    def _link(self, gateway: Box) -> _GatewayLink:
        link = self._links.get(gateway.name)
        if link is None or link.box.incarnation != gateway.incarnation:
            pool = HttpPool(self._transport, gateway.address, CONNECT_TIMEOUT_S)
            link = self._links[gateway.name] = _GatewayLink(gateway, pool)
        return link

    @contextmanager
    def _outstanding(self, link: _GatewayLink, until: float) -> Iterator[trio.CancelScope]:
        """Track an outstanding statement; cancelled on time-out or when ``link`` is lost."""
        link.lost = False
        with trio.CancelScope(deadline=until + REPLY_SLACK_S) as scope:
            link.outstanding[scope] = trio.current_time()
            self._has_outstanding.set()
            try:
                yield scope
            finally:
                del link.outstanding[scope]

    async def watch_gateways(self) -> None:
        """Probe unresponsive gateways; cancel the outstanding statements of lost ones."""
        while True:
            await self._has_outstanding.wait()
            await trio.sleep(WATCH_POLL_S)
            now = trio.current_time()
            for link in list(self._links.values()):
                oldest = min(link.outstanding.values(), default=now)
                since = max(oldest, link.last_contact_at, link.probed_at)
                if now - since > UNRESPONSIVE_S:
                    link.probed_at = now
                    self._nursery.start_soon(self._probe, link)
            if not any(link.outstanding for link in self._links.values()):
                self._has_outstanding = trio.Event()

    async def _probe(self, link: _GatewayLink) -> None:
        if not await self._directory.is_alive(link.box, PROBE_TIMEOUT_S):
            self._mark_lost(link, "it has outstanding statements and does not answer a probe")

    def _mark_lost(self, link: _GatewayLink, why: str) -> None:
        self._gateways.skip(link.box.name)
        self._state.log.event("home_lost", other=link.box.name, owed=len(link.outstanding), why=why)
        link.lost = True
        for scope in link.outstanding:
            scope.cancel()

    async def stop_forwarding(self, name: str, for_s: float) -> None:
        """Send no new statements to a box that is stopping, for ``for_s`` seconds."""
        self._gateways.skip(name, for_s)
        link = self._links.get(name)
        if link is not None:
            await link.pool.aclose()
