"""Ask other boxes that keep workspaces' buckets, over kept connections."""

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
"""Time a keeper has to grant, in seconds: some ten round trips in a data centre, and less than
the goal of any urgent route."""

LOAN_TIMEOUT_S = 0.05
"""Time that the keeper of another data centre has to lend, in seconds: the box that waits for the
tokens waits twice as long."""


class TokenClient:
    """Connections of one box to keepers."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._pools: dict[str, HttpPool] = {}

    async def ask_tokens(self, keeper: Box, question: TokenRequest) -> Grant:
        """Return what ``keeper`` grants.

        Raises
        ------
        ExchangeError
            If it does not answer in time.
        """
        body = token_request_to_json(question)
        return grant_from_json(await self._post(keeper, TOKENS_PATH, body, TOKENS_TIMEOUT_S))

    async def ask_loan(
        self, keeper: Box, workspace: Workspace, question: LoanRequest
    ) -> LoanReply | None:
        """Return what ``keeper`` lends; None if it is not the keeper by its own list.

        Raises
        ------
        ExchangeError
            If it does not answer in time.
        """
        body = loan_request_to_json(workspace, question)
        return loan_reply_from_json(await self._post(keeper, LOAN_PATH, body, LOAN_TIMEOUT_S))

    async def _post(self, keeper: Box, path: str, body: Any, timeout_s: float) -> Any:
        pool = self._pools.get(keeper.address)
        if pool is None:
            pool = HttpPool(self._transport, keeper.address, TOKENS_TIMEOUT_S)
            self._pools[keeper.address] = pool
        with trio.move_on_after(timeout_s):
            answer = await pool.post(path, body)
            if answer.status != 200:
                raise ExchangeError(f"{keeper.name} answered {answer.status}")
            return answer.json()
        raise ExchangeError(f"{keeper.name} answered nothing in time")
