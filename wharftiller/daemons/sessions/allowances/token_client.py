"""Request tokens and loans from other boxes, over persistent connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.edges.allowances_json import (
    TokenRequest,
    grant_from_json,
    loan_reply_from_json,
    loan_request_to_json,
    token_request_to_json,
)
from wharftiller.edges.http_client import HttpPool

if TYPE_CHECKING:
    from wharftiller.core.sessions.allowances import Grant, LoanReply, LoanRequest
    from wharftiller.core.sessions.workspaces import Workspace
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.edges.transport import Transport

TOKENS_PATH = "/peer/allowance"
LOAN_PATH = "/peer/loan"

TOKENS_TIMEOUT_S = 0.1
"""Timeout of a token request, in seconds: several round trips in a data centre, and below the
latency goal of urgent routes."""

LOAN_TIMEOUT_S = 0.05
"""Timeout of a loan request, in seconds: half of `TOKENS_TIMEOUT_S`, as a token request waits for
the loans."""


class TokenClient:
    """Client of one box to the token servers on other boxes."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._pools: dict[str, HttpPool] = {}

    async def request_tokens(self, box: Box, request: TokenRequest) -> Grant:
        """Return what ``box`` grants.

        Raises
        ------
        ExchangeError
            If it does not answer in time.
        """
        body = token_request_to_json(request)
        return grant_from_json(await self._post(box, TOKENS_PATH, body, TOKENS_TIMEOUT_S))

    async def request_loan(
        self, box: Box, workspace: Workspace, request: LoanRequest
    ) -> LoanReply | None:
        """Return what ``box`` lends; None if it is not the token server by its own list.

        Raises
        ------
        ExchangeError
            If it does not answer in time.
        """
        body = loan_request_to_json(workspace, request)
        return loan_reply_from_json(await self._post(box, LOAN_PATH, body, LOAN_TIMEOUT_S))

    async def _post(self, box: Box, path: str, body: Any, timeout_s: float) -> Any:
        pool = self._pools.get(box.address)
        if pool is None:
            pool = HttpPool(self._transport, box.address, TOKENS_TIMEOUT_S)
            self._pools[box.address] = pool
        with trio.move_on_after(timeout_s):
            answer = await pool.post(path, body)
            if answer.status != 200:
                raise ExchangeError(f"{box.name} answered {answer.status}")
            return answer.json()
        raise ExchangeError(f"{box.name} did not answer in time")
