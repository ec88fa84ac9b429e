"""Requests for tokens and for loans between boxes, and their replies, as JSON."""

from __future__ import annotations

from typing import Any

import attrs

from wharftiller.core.errors import BadRequestError, ExchangeError
from wharftiller.core.sessions.allowances import MAX_PREFETCHED, Grant, LoanReply, LoanRequest
from wharftiller.core.sessions.workspaces import Workspace
from wharftiller.edges.forwarded_json import workspace_from_json, workspace_to_json

MAX_LENT = 1e12
"""Limit of a loan, in operations; a larger one is invalid."""


@attrs.frozen
class TokenRequest:
    """A request for tokens to a workspace's token server.

    Attributes
    ----------
    wanted : int
        Tokens requested.
    unused : int
        Tokens granted earlier that expired unused.
    """

    workspace: Workspace
    wanted: int
    unused: int


def token_request_to_json(request: TokenRequest) -> dict[str, Any]:
    """Return a request for tokens as JSON."""
    return {
        "workspace": workspace_to_json(request.workspace),
        "wanted": request.wanted,
        "unused": request.unused,
    }


def token_request_from_json(value: Any) -> TokenRequest:
    """Decode a request for tokens.

    Raises
    ------
    BadRequestError
        If ``value`` is not a valid request.
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
    """Return a token server's grant as JSON."""
    return attrs.asdict(grant)


def grant_from_json(value: Any) -> Grant:
    """Decode a grant.

    Raises
    ------
    ExchangeError
        If ``value`` is not a valid grant.
    """
    try:
        return Grant(int(value["tokens"]), float(value["after_s"]))
    except (KeyError, TypeError, ValueError) as error:
        raise ExchangeError(f"the token server sent an invalid grant: {error!r}") from None


def loan_request_to_json(workspace: Workspace, request: LoanRequest) -> dict[str, Any]:
    """Return a request for a loan of ``workspace``'s allowance as JSON."""
    return {"workspace": workspace_to_json(workspace), **attrs.asdict(request)}


def loan_request_from_json(value: Any) -> tuple[Workspace, LoanRequest]:
    """Decode a request for a loan, and its workspace.

    Raises
    ------
    BadRequestError
        If ``value`` is not a valid request.
    """
    try:
        workspace = workspace_from_json(value["workspace"])
        held = float(value["held"])
        request = LoanRequest(
            str(value["borrower"]), str(value["keeper"]), held, value["more"] is True
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BadRequestError(f"no loan is asked for: {error!r}; run one version") from None
    if workspace is None or not 0 <= held < MAX_LENT:
        raise BadRequestError("a question for a loan names a workspace and what is held of it")
    return workspace, request


def loan_reply_to_json(reply: LoanReply | None) -> dict[str, Any]:
    """Return a reply as JSON; empty where this box is not the workspace's token server."""
    return {} if reply is None else attrs.asdict(reply)


def loan_reply_from_json(value: Any) -> LoanReply | None:
    """Decode a reply; None if the box is not the workspace's token server.

    Raises
    ------
    ExchangeError
        If ``value`` is not a valid reply.
    """
    try:
        return LoanReply(float(value["lent"]), float(value["held"])) if value else None
    except (KeyError, TypeError, ValueError) as error:
        raise ExchangeError(f"the token server sent an invalid loan: {error!r}") from None
