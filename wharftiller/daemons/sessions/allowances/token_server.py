"""Grant tokens of the workspaces that this box keeps; borrow from other data centres, and lend."""

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
"""Time for which a keeper that did not answer is asked for no loan, in seconds.

In a cut each question costs the operation that waits for it the whole time to answer.
"""


RECHECK_S = 0.4
"""Time between questions to one keeper in whose place this box is asked, in seconds: several
before it counts as silent."""

ANSWER_S = 0.4
"""Time that keeper has to answer, in seconds: four times what those have that ask it for tokens,
so that one which still grants to some of them is heard."""


class TokenServer:
    """The keeper's side of one box."""

    def __init__(
        self,
        state: SharedState,
        directory: BoxDirectory,
        links: TokenClient,
        bounds: AllowanceBounds,
        nursery: trio.Nursery,
    ) -> None:
        self._state = state
        self._directory = directory
        self._links = links
        self._nursery = nursery
        self._history = TokenServerHistory(state.box)
        others = [centre for centre in bounds.centres if centre != state.data_centre]
        self._keeper = TokenAllocator(bounds, self._history, state.data_centre, others)
        self._noted: BoxList | None = None
        self._noted_listed = False
        self._lender_silent_until: dict[str, float] = {}
        self._looked_at: dict[str, float] = {}

    @property
    def kept(self) -> int:
        """Buckets that this box keeps."""
        return len(self._keeper)

    async def grant(self, question: TokenRequest) -> Grant:
        """Grant tokens from this box's bucket, with what other data centres lend."""
        now = trio.current_time()
        self._note_list(now)
        workspace = self._known(question.workspace)
        self._look_at_keeper(workspace, now)
        grant = self._keeper.grant(workspace, question.wanted, question.unused, now)
        is_short = grant.tokens == 0
        questions = self._keeper.questions(workspace, is_short, now)
        if not questions:
            return grant
        if not is_short:
            self._nursery.start_soon(self._borrow, workspace, questions)
            return grant
        await self._borrow(workspace, questions)
        grant = self._keeper.grant(workspace, question.wanted, 0, trio.current_time())
        self._state.log.event(
            "allowance_short", workspace=workspace.name, granted_after_loans=grant.tokens
        )
        return grant

    async def _borrow(self, workspace: Workspace, questions: dict[str, LoanRequest]) -> None:
        """Ask the keepers of other data centres for what they do not use."""
        elsewhere = self._directory.list.elsewhere
        now = trio.current_time()
        async with trio.open_nursery() as nursery:
            for centre, question in questions.items():
                names = elsewhere.get(centre)
                if not names:
                    continue
                keeper = self._directory.boxes[token_server_order(workspace.name, names)[0]]
                if self._lender_silent_until.get(keeper.name, now) <= now:
                    nursery.start_soon(self._borrow_from, keeper, centre, workspace, question)

    async def _borrow_from(
        self, keeper: Box, centre: str, workspace: Workspace, question: LoanRequest
    ) -> None:
        asked_at = trio.current_time()
        try:
            answer = await self._links.ask_loan(keeper, workspace, question)
        except ExchangeError as error:
            self._lender_silent_until[keeper.name] = trio.current_time() + LENDER_SILENT_S
            self._state.log.event("loan_not_answered", other=keeper.name, why=str(error))
            return
        if answer is not None:
            self._keeper.take_loan(workspace, centre, answer, asked_at, trio.current_time())

    def _look_at_keeper(self, workspace: Workspace, now: float) -> None:
        """Ask the boxes in whose place this one is asked whether they live, now and then."""
        for name in self._keeper.before(workspace.name):
            box = self._directory.boxes.get(name)
            if box is not None and now - self._looked_at.get(name, -math.inf) >= RECHECK_S:
                self._looked_at[name] = now
                self._nursery.start_soon(self._look_at, box)

    async def _look_at(self, box: Box) -> None:
        sign = await self._directory.probe_outcome(box, ANSWER_S)
        self._keeper.note_probe(box.name, sign, trio.current_time())
        if sign is not ProbeOutcome.ANSWERED:
            self._state.log.event("keeper_replaced", other=box.name, sign=sign.value)

    async def handle_token_request(self, question: Any) -> dict[str, Any]:
        """Grant another box's question; raises `BadRequestError` if it is none."""
        return grant_to_json(await self.grant(token_request_from_json(question)))

    def handle_loan_request(self, question: Any) -> dict[str, Any]:
        """Answer another data centre's keeper; raises `BadRequestError` if it asks nothing."""
        workspace, asked = loan_request_from_json(question)
        now = trio.current_time()
        self._note_list(now)
        return loan_reply_to_json(self._keeper.lend(self._known(workspace), asked, now))

    def _known(self, told: Workspace) -> Workspace:
        """Return a workspace as this box's configuration has it, or as it was told."""
        directory = self._state.configuration.workspaces
        known = directory.named(told.name) if directory is not None else None
        return known or told

    def maintain(self, now: float) -> None:
        """Note the list of boxes, and forget what nobody asks for."""
        self._note_list(now)
        self._keeper.forget_idle(now)

    def _knows_list(self) -> bool:
        """Return whether this box's list of its data centre is that which the others have.

        One that has just started has it from the platform or from a neighbour. While the platform
        is away neighbours may have started as well and know as little.
        """
        if self._directory.listed_since is not None:
            return True
        return self._directory.platform_answers and len(self._directory.list.near) > 1

    def _note_list(self, now: float) -> None:
        boxes = self._directory.list
        is_listed = self._knows_list()
        if boxes is not self._noted or is_listed != self._noted_listed:
            self._noted = boxes
            self._noted_listed = is_listed
            names = [name for name in boxes.near if is_listed or name != self._state.box]
            self._history.note(tuple(names), now)
