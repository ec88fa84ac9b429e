"""Grant tokens of the workspaces that this box serves; borrow from other data centres, and lend."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.core.sessions.allowances import (
    TokenAllocator,
    TokenServerHistory,
    token_server_order,
)
from wharftiller.core.sessions.probe_outcomes import ProbeOutcome
from wharftiller.edges.allowances_json import (
    TokenRequest,
    grant_to_json,
    loan_reply_to_json,
    loan_request_from_json,
    token_request_from_json,
)

if TYPE_CHECKING:
    from wharftiller.core.sessions.allowances import AllowanceBounds, Grant, LoanRequest
    from wharftiller.core.sessions.workspaces import Workspace
    from wharftiller.daemons.sessions.allowances.token_client import TokenClient
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.box_list import BoxList
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

LENDER_SILENT_S = 2.0
"""Time for which a token server that did not answer is sent no loan request, in seconds.

In a partition each loan request delays the operation that waits for it by the whole timeout.
"""

RECHECK_S = 0.4
"""Time between probes of a box that this one stands in for, in seconds: several before it is
presumed to have stopped."""

PROBE_TIMEOUT_S = 0.4
"""Timeout of these probes, in seconds: longer than that of token requests, so that a slow token
server that still grants to some boxes is found alive."""


class TokenServer:
    """Serves the token requests and loan requests that one box receives."""

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        token_client: TokenClient,
        bounds: AllowanceBounds,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._directory = directory
        self._token_client = token_client
        self._nursery = nursery
        self._history = TokenServerHistory(state.box)
        others = [centre for centre in bounds.centres if centre != state.data_centre]
        self._allocator = TokenAllocator(bounds, self._history, state.data_centre, others)
        self._recorded_list: BoxList | None = None
        self._was_listed = False
        self._lender_silent_until: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}

    @property
    def bucket_count(self) -> int:
        """Number of buckets that this box serves."""
        return len(self._allocator)

    async def grant(self, request: TokenRequest) -> Grant:
        """Grant tokens from this box's bucket; borrow from other data centres if it is short."""
        now = trio.current_time()
        self._record_list(now)
        workspace = self._configured(request.workspace)
        self._probe_preceding(workspace, now)
        grant = self._allocator.grant(workspace, request.wanted, request.unused, now)
        is_short = grant.tokens == 0
        loan_requests = self._allocator.loan_requests(workspace, is_short, now)
        if not loan_requests:
            return grant
        if not is_short:
            self._nursery.start_soon(self._borrow, workspace, loan_requests)
            return grant
        await self._borrow(workspace, loan_requests)
        grant = self._allocator.grant(workspace, request.wanted, 0, trio.current_time())
        self._state.log.event(
            "allowance_short", workspace=workspace.name, granted_after_loans=grant.tokens
        )
        return grant

    async def _borrow(self, workspace: Workspace, loan_requests: dict[str, LoanRequest]) -> None:
        """Borrow from the token servers of other data centres."""
        elsewhere = self._directory.list.elsewhere
        now = trio.current_time()
        async with trio.open_nursery() as nursery:
            for centre, request in loan_requests.items():
                names = elsewhere.get(centre)
                if not names:
                    continue
                lender = self._directory.boxes[token_server_order(workspace.name, names)[0]]
                if self._lender_silent_until.get(lender.name, now) <= now:
                    nursery.start_soon(self._borrow_from, lender, centre, workspace, request)

    async def _borrow_from(
        self, lender: Box, centre: str, workspace: Workspace, request: LoanRequest
    ) -> None:
        requested_at = trio.current_time()
        try:
            reply = await self._token_client.request_loan(lender, workspace, request)
        except ExchangeError as error:
            self._lender_silent_until[lender.name] = trio.current_time() + LENDER_SILENT_S
            self._state.log.event("loan_not_answered", other=lender.name, why=str(error))
            return
        if reply is not None:
            self._allocator.accept_loan(workspace, centre, reply, requested_at, trio.current_time())

    def _probe_preceding(self, workspace: Workspace, now: float) -> None:
        """Probe the boxes that this one stands in for, at most every `RECHECK_S`."""
        for name in self._allocator.preceding_boxes(workspace.name):
            box = self._directory.boxes.get(name)
            if box is not None and now - self._probed_at.get(name, -math.inf) >= RECHECK_S:
                self._probed_at[name] = now
                self._nursery.start_soon(self._probe, box)

    async def _probe(self, box: Box) -> None:
        outcome = await self._directory.probe_outcome(box, PROBE_TIMEOUT_S)
        self._allocator.note_probe(box.name, outcome, trio.current_time())
        if outcome is not ProbeOutcome.ANSWERED:
            self._state.log.event("keeper_replaced", other=box.name, sign=outcome.value)

    async def handle_token_request(self, value: Any) -> dict[str, Any]:
        """Reply to another box's token request; raises `BadRequestError` if it is malformed."""
        return grant_to_json(await self.grant(token_request_from_json(value)))

    def handle_loan_request(self, value: Any) -> dict[str, Any]:
        """Reply to another data centre's loan request; raises `BadRequestError` if malformed."""
        workspace, request = loan_request_from_json(value)
        now = trio.current_time()
        self._record_list(now)
        return loan_reply_to_json(self._allocator.lend(self._configured(workspace), request, now))

    def _configured(self, received: Workspace) -> Workspace:
        """Return a workspace as configured on this box, or else as received."""
        directory = self._state.configuration.workspaces
        configured = directory.named(received.name) if directory is not None else None
        return configured or received

    def maintain(self, now: float) -> None:
        """Record the current list of boxes, and drop idle buckets."""
        self._record_list(now)
        self._allocator.drop_idle(now)

    def _has_shared_list(self) -> bool:
        """Return whether this box has the same list of its data centre as the others.

        A box that has just started gets it from the platform or from a peer; while the platform
        is unavailable the peers may have just started too and lack it as well.
        """
        if self._directory.listed_since is not None:
            return True
        return self._directory.platform_answers and len(self._directory.list.near) > 1

    def _record_list(self, now: float) -> None:
        boxes = self._directory.list
        is_listed = self._has_shared_list()
        if boxes is not self._recorded_list or is_listed != self._was_listed:
            self._recorded_list = boxes
            self._was_listed = is_listed
            names = [name for name in boxes.near if is_listed or name != self._state.box]
            self._history.record_list(tuple(names), now)
