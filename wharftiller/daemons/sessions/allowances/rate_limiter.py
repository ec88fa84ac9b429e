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
"""Boxes asked one after the other before an operation is refused."""

SILENT_S = 1.0
"""Time for which a keeper that did not answer is passed over, in seconds."""


USED_WITHIN_S = TOKEN_LIFE_S - PREFETCH_S
"""Time from taking a token until its operation must be sent, in seconds; keepers count on it."""


@attrs.define(eq=False)
class Admission:
    """The token of one operation.

    Attributes
    ----------
    taken_at : float
        When it was taken, in seconds.
    may_have_run : bool
        Whether the operation was sent to an endpoint that did not say that it has not run it.
    holds_token : bool
        Whether there is a token that can be given back.
    """

    workspace: Workspace | None
    taken_at: float
    may_have_run: bool = False
    holds_token: bool = False

    def did_not_run(self) -> None:
        """Note that the endpoint said so: the token stands for the next try."""
        self.may_have_run = False


class RateLimiter:
    """Admits the operations that one box runs.

    Parameters
    ----------
    desk : TokenServer
        Grants where this box is the keeper itself.
    """

    def __init__(
        self, state: SharedState, directory: BoxDirectory, links: TokenClient, desk: TokenServer
    ) -> None:
        self._state = state
        self._directory = directory
        self._links = links
        self._desk = desk
        self._held: dict[str, PrefetchedTokens] = {}
        self._silent_until: dict[str, float] = {}

    async def admit(self, workspace: Workspace | None) -> Admission:
        """Take a token for one operation.

        Raises
        ------
        RateLimitedError
            If the workspace has used its allowance, or no keeper answers.
        """
        admission = Admission(workspace, trio.current_time())
        await self._take(admission)
        return admission

    async def about_to_run(self, admission: Admission) -> None:
        """Take another token if the one that was taken does not stand for what is sent now.

        It does not where the operation waited for so long that its keeper counts it no more, and
        where it may have run already, on an endpoint that did not answer or failed it.

        Raises
        ------
        RateLimitedError
            If the workspace has used its allowance by now, or no keeper answers.
        """
        is_late = trio.current_time() - admission.taken_at > USED_WITHIN_S
        if is_late and not admission.may_have_run:
            self._note_lapsed(admission)
        if is_late or admission.may_have_run:
            await self._take(admission)
        admission.may_have_run = True

    def _note_lapsed(self, admission: Admission) -> None:
        workspace = admission.workspace
        if workspace is not None and workspace.name in self._held:
            self._held[workspace.name].lapse_one()

    async def _take(self, admission: Admission) -> None:
        workspace = admission.workspace
        admission.taken_at = trio.current_time()
        admission.holds_token = False
        if workspace is None or workspace.allowance is None:
            return
        held = self._held.setdefault(workspace.name, PrefetchedTokens())
        if held.use(admission.taken_at):
            admission.holds_token = True
            return
        grant = await self._ask(workspace, held)
        if held.use(trio.current_time()):
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

    def give_back(self, admission: Admission) -> None:
        """Return the token of an operation that did not run."""
        workspace = admission.workspace
        if workspace is not None and admission.holds_token and not admission.may_have_run:
            self._held[workspace.name].give_back(trio.current_time())

    async def _ask(self, workspace: Workspace, held: PrefetchedTokens) -> Grant:
        """Take in and return what the workspace's keeper in this data centre grants.

        Raises
        ------
        RateLimitedError
            If neither it nor who would follow it answers.
        """
        now = trio.current_time()
        wanted = held.wanted(now)
        order = token_server_order(workspace.name, self._directory.list.near)
        able = [each for each in order if self._silent_until.get(each, now) <= now]
        for keeper in able[:TOKEN_SERVERS_TRIED]:
            question = TokenRequest(workspace, wanted, held.lapsed(keeper, now))
            try:
                grant = await self._ask_one(keeper, question)
            except (ExchangeError, KeyError) as error:
                self._silent_until[keeper] = trio.current_time() + SILENT_S
                self._state.log.event("keeper_silent", other=keeper, why=str(error))
                continue
            held.granted(grant.tokens, now, keeper)
            return grant
        self._state.metrics.allowances["unanswered"] += 1
        raise RateLimitedError(
            f"no box that keeps the allowance of workspace {workspace.name} answers",
            Cause.BOX_LOST,
            SHORT_RETRY_AFTER_S,
        )

    async def _ask_one(self, keeper: str, question: TokenRequest) -> Grant:
        if keeper == self._state.box:
            return await self._desk.grant(question)
        return await self._links.ask_tokens(self._directory.boxes[keeper], question)
