"""Questions for tokens and for loans between boxes, and their answers, as JSON."""

from __future__ import annotations

from typing import Any

import attrs

from wharftiller.core.errors import BadRequestError, ExchangeError
from wharftiller.core.sessions.allowances import MAX_PREFETCHED, Grant, LoanReply, LoanRequest
from wharftiller.core.sessions.workspaces import Workspace
from wharftiller.edges.forwarded_json import workspace_from_json, workspace_to_json

MAX_LENT = 1e12
"""A loan of more operations is nonsense."""


@attrs.frozen
class TokenRequest:
    """A box asks a workspace's keeper for tokens.

    Attributes
    ----------
    wanted : int
        Tokens asked for.
    unused : int
        Tokens granted before that lapsed without an operation.
    """

    workspace: Workspace
    wanted: int
    unused: int


def token_request_to_json(question: TokenRequest) -> dict[str, Any]:
    """Return a question for tokens as JSON."""
    return {
        "workspace": workspace_to_json(question.workspace),
        "wanted": question.wanted,
        "unused": question.unused,
    }


def token_request_from_json(value: Any) -> TokenRequest:
    """Return the question for tokens that ``value`` holds.

    Raises
    ------
    BadRequestError
        If it is none.
    """
    try:
        workspace = workspace_from_json(value["workspace"])
        wanted, unused = int(value["wanted"]), int(value["unused"])
    except (KeyError, TypeError, ValueError) as error:
        raise BadRequestError(f"no tokens are asked for: {error!r}; run one version") from None
    if workspace is None or wanted < 1 or unused < 0:
        raise BadRequestError("a question for tokens names a workspace and how many it wants")
    return TokenRequest(workspace, min(wanted, MAX_PREFETCHED), min(unused, MAX_PREFETCHED))


def grant_to_json(grant: Grant) -> dict[str, Any]:
    """Return a keeper's grant as JSON."""
    return attrs.asdict(grant)


def grant_from_json(value: Any) -> Grant:
    """Return the grant that ``value`` holds.

    Raises
    ------
    ExchangeError
        If it is none.
    """
    try:
        return Grant(int(value["tokens"]), float(value["after_s"]))
    except (KeyError, TypeError, ValueError) as error:
        raise ExchangeError(f"the keeper granted nonsense: {error!r}") from None


def loan_request_to_json(workspace: Workspace, question: LoanRequest) -> dict[str, Any]:
    """Return a question for a loan of ``workspace``'s allowance as JSON."""
    return {"workspace": workspace_to_json(workspace), **attrs.asdict(question)}


def loan_request_from_json(value: Any) -> tuple[Workspace, LoanRequest]:
    """Return the workspace and the question for a loan that ``value`` holds.

    Raises
    ------
    BadRequestError
        If it is none.
    """
    try:
        workspace = workspace_from_json(value["workspace"])
        held = float(value["held"])
        question = LoanRequest(
            str(value["borrower"]), str(value["keeper"]), held, value["more"] is True
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BadRequestError(f"no loan is asked for: {error!r}; run one version") from None
    if workspace is None or not 0 <= held < MAX_LENT:
        raise BadRequestError("a question for a loan names a workspace and what is held of it")
    return workspace, question


def loan_reply_to_json(answer: LoanReply | None) -> dict[str, Any]:
    """Return a keeper's answer as JSON; empty where the box asked is not the keeper."""
    return {} if answer is None else attrs.asdict(answer)


def loan_reply_from_json(value: Any) -> LoanReply | None:
    """Return what was lent; None if the box that was asked is not the keeper.

    Raises
    ------
    ExchangeError
        If it is no answer.
    """
    try:
        return LoanReply(float(value["lent"]), float(value["held"])) if value else None
    except (KeyError, TypeError, ValueError) as error:
        raise ExchangeError(f"the keeper lent nonsense: {error!r}") from None
