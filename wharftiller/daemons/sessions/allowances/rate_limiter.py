"""Admit operations of workspaces within their allowances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.core.sessions.allowances import (
    PREFETCH_S,
    TOKEN_LIFE_S,
    PrefetchedTokens,
    token_server_order,
)
from wharftiller.core.sessions.retry_after import SHORT_RETRY_AFTER_S, Cause
from wharftiller.daemons.sessions.serving.routed import RateLimitedError
from wharftiller.edges.allowances_json import TokenRequest

if TYPE_CHECKING:
    from wharftiller.core.sessions.allowances import Grant
    from wharftiller.core.sessions.workspaces import Workspace
    from wharftiller.daemons.sessions.allowances.token_client import TokenClient
    from wharftiller.daemons.sessions.allowances.token_server import TokenServer
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

TOKEN_SERVERS_TRIED = 3
"""Boxes tried in turn before an operation is refused."""

SILENT_S = 1.0
"""Time for which a token server that did not answer is skipped, in seconds."""

TOKEN_VALID_S = TOKEN_LIFE_S - PREFETCH_S
"""Time from taking a token until its operation must be sent, in seconds.

Token servers count a token for `TOKEN_LIFE_S` after its grant.
"""


@attrs.define(eq=False)
class Admission:
    """Admission of one operation, with its token.

    Attributes
    ----------
    taken_at : float
        When the token was taken, in seconds.
    may_have_run : bool
        Whether the operation was sent to an endpoint that did not report that it was not run.
    holds_token : bool
        Whether there is a token that can be returned.
    """

    workspace: Workspace | None
    taken_at: float
    may_have_run: bool = False
    holds_token: bool = False

    def did_not_run(self) -> None:
        """Record that the endpoint did not run it: the token is used for the next attempt."""
        self.may_have_run = False


class RateLimiter:
    """Admits the operations that one box runs.

    Parameters
    ----------
    token_server : TokenServer
        Grants where this box is the token server itself.
    """

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        token_client: TokenClient,
        token_server: TokenServer,
    ) -> None:
        self._state = state
        self._directory = directory
        self._token_client = token_client
        self._token_server = token_server
        self._prefetched: dict[str, PrefetchedTokens] = {}
        self._silent_until: dict[str, float] = {}

    async def admit(self, workspace: Workspace | None) -> Admission:
        """Take a token for one operation.

        Raises
        ------
        RateLimitedError
            If the workspace has used its allowance, or no token server answers.
        """
        admission = Admission(workspace, trio.current_time())
        await self._take(admission)
        return admission

    async def ensure_token(self, admission: Admission) -> None:
        """Take another token if the operation's token does not cover the next attempt.

        It does not if the operation waited so long that the token server no longer counts the
        token, or if an earlier attempt may have run on an endpoint that failed or did not answer.

        Raises
        ------
        RateLimitedError
            If the workspace has used its allowance by now, or no token server answers.
        """
        is_late = trio.current_time() - admission.taken_at > TOKEN_VALID_S
        if is_late and not admission.may_have_run:
            self._record_expired(admission)
        if is_late or admission.may_have_run:
            await self._take(admission)
        admission.may_have_run = True

    def _record_expired(self, admission: Admission) -> None:
        workspace = admission.workspace
        if workspace is not None and workspace.name in self._prefetched:
            self._prefetched[workspace.name].record_expired()

    async def _take(self, admission: Admission) -> None:
        workspace = admission.workspace
        admission.taken_at = trio.current_time()
        admission.holds_token = False
        if workspace is None or workspace.allowance is None:
            return
        prefetched = self._prefetched.setdefault(workspace.name, PrefetchedTokens())
        if prefetched.use(admission.taken_at):
            admission.holds_token = True
            return
        grant = await self._request_tokens(workspace, prefetched)
        if prefetched.use(trio.current_time()):
            self._state.metrics.allowances["granted"] += 1
            admission.holds_token = True
            return
        self._state.metrics.allowances["refused"] += 1
        rate = workspace.allowance.rate_per_s
        raise RateLimitedError(
            f"workspace {workspace.name} has no token left here of its {rate:g} a second",
            Cause.ALLOWANCE,
            grant.after_s,
        )

    def refund(self, admission: Admission) -> None:
        """Return the token of an operation that did not run."""
        workspace = admission.workspace
        if workspace is not None and admission.holds_token and not admission.may_have_run:
            self._prefetched[workspace.name].refund(trio.current_time())

    async def _request_tokens(self, workspace: Workspace, prefetched: PrefetchedTokens) -> Grant:
        """Request tokens from the workspace's token server; add and return what it grants.

        Raises
        ------
        RateLimitedError
            If neither it nor the boxes that stand in for it answer.
        """
        now = trio.current_time()
        wanted = prefetched.next_request_size(now)
        order = token_server_order(workspace.name, self._directory.list.near)
        candidates = [each for each in order if self._silent_until.get(each, now) <= now]
        for name in candidates[:TOKEN_SERVERS_TRIED]:
            request = TokenRequest(workspace, wanted, prefetched.take_expired(name, now))
            try:
                grant = await self._request_from(name, request)
            except (ExchangeError, KeyError) as error:
                self._silent_until[name] = trio.current_time() + SILENT_S
                self._state.log.event("keeper_silent", other=name, why=str(error))
                continue
            prefetched.add(grant.tokens, now, name)
            return grant
        self._state.metrics.allowances["unanswered"] += 1
        raise RateLimitedError(
            f"no box that keeps the allowance of workspace {workspace.name} answers",
            Cause.BOX_LOST,
            SHORT_RETRY_AFTER_S,
        )

    async def _request_from(self, name: str, request: TokenRequest) -> Grant:
        if name == self._state.box:
            return await self._token_server.grant(request)
        return await self._token_client.request_tokens(self._directory.boxes[name], request)
