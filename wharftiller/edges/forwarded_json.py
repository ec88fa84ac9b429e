"""Statements that one box runs for another, and their replies, as JSON.

Texts and rows may hold bytes that are not UTF-8: each byte is encoded as one character.
"""

from __future__ import annotations

from typing import Any

import attrs

from wharftiller.core.errors import BadRequestError
from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.retry_after import Cause
from wharftiller.core.sessions.routes import (
    BoundedReads,
    Consistency,
    OwnWritesReads,
    PrimaryReads,
    Route,
)
from wharftiller.core.sessions.statements import (
    Access,
    Commit,
    Direct,
    Execute,
    PreparedStatement,
    Refusal,
    RefusalKind,
    Reply,
    SessionState,
    Statement,
)
from wharftiller.core.sessions.workspaces import Allowance, Workspace

ForwardedBody = Direct | Execute | Commit


@attrs.frozen
class ForwardedStatement:
    """One statement, with the session state that it depends on.

    Attributes
    ----------
    age_s, begun_s : float
        Time since it arrived, and since its transaction began, in seconds.
    workspace : Workspace or None
        Workspace of its caller; None where callers need no keys.
    transaction : str
        Id of its transaction; empty outside a transaction.
    begins : bool
        Whether it is the first of its transaction.
    needed : PreparedStatement or None
        The prepared statement that it executes.
    own_write : LogPosition or None
        Last position that the session wrote in the route's group.
    unsettled : bool
        Whether the outcome of a write of the session in that group is unknown.
    """

    box: str
    workspace: Workspace | None
    route: Route
    statement: Statement
    age_s: float
    values: dict[str, str]
    needed: PreparedStatement | None = None
    transaction: str = ""
    begins: bool = False
    read_only: bool = False
    begun_s: float = 0.0
    own_write: LogPosition | None = None
    unsettled: bool = False


@attrs.frozen
class ForwardedReply:
    """The reply of the box that ran a forwarded statement.

    Attributes
    ----------
    own_write, unsettled
        Updated values; see `ForwardedStatement`.
    primary_usable : bool
        Whether that box can use the group's primary.
    lacks_lease : bool
        Whether it may not use the primary for want of a lease, though other boxes may.
    """

    reply: Reply
    own_write: LogPosition | None
    unsettled: bool
    primary_usable: bool
    lacks_lease: bool = False


def _text_to_json(text: str) -> str:
    return text.encode(errors="surrogateescape").decode("latin-1")


def _text_from_json(text: str) -> str:
    return text.encode("latin-1").decode(errors="surrogateescape")


def _position_to_json(position: LogPosition | None) -> list[int] | None:
    return None if position is None else [position.term, position.index]


def _position_from_json(value: Any) -> LogPosition | None:
    return None if value is None else LogPosition(int(value[0]), int(value[1]))


def _prepared_to_json(prepared: PreparedStatement | None) -> list[str] | None:
    return None if prepared is None else [prepared.access.value, _text_to_json(prepared.shape)]


def _prepared_from_json(value: Any) -> PreparedStatement | None:
    return None if value is None else PreparedStatement(Access(value[0]), _text_from_json(value[1]))


def _route_to_json(route: Route) -> dict[str, Any]:
    match route.consistency:
        case PrimaryReads():
            reading: list[Any] = ["primary"]
        case BoundedReads(max_age_s):
            reading = ["bounded", max_age_s]
        case OwnWritesReads(max_age_s):
            reading = ["own_writes", max_age_s]
    return {
        "name": route.name,
        "database": route.database,
        "group": route.group,
        "reading": reading,
        "timeout_s": route.timeout_s,
        "latency_goal_s": route.latency_goal_s,
        "priority": route.priority,
    }


def _route_from_json(value: Any) -> Route:
    consistency: Consistency
    match value["reading"]:
        case ["primary"]:
            consistency = PrimaryReads()
        case ["bounded", max_age_s]:
            consistency = BoundedReads(float(max_age_s))
        case ["own_writes", max_age_s]:
            consistency = OwnWritesReads(float(max_age_s))
        case other:
            raise ValueError(f"{other!r} is no kind of reading")
    return Route(
        name=str(value["name"]),
        database=str(value["database"]),
        group=str(value["group"]),
        consistency=consistency,
        timeout_s=float(value["timeout_s"]),
        latency_goal_s=float(value["latency_goal_s"]),
        priority=int(value["priority"]),
    )


def workspace_to_json(workspace: Workspace | None) -> list[Any] | None:
    """Return a workspace as JSON: its name and allowance."""
    if workspace is None:
        return None
    allowance = workspace.allowance
    limit = None if allowance is None else [allowance.rate_per_s, allowance.burst]
    return [_text_to_json(workspace.name), limit]


def workspace_from_json(value: Any) -> Workspace | None:
    """Decode a workspace.

    Raises
    ------
    TypeError, ValueError
        If ``value`` is not a valid workspace.
    """
    if value is None:
        return None
    name, limit = value
    allowance = None if limit is None else Allowance(float(limit[0]), float(limit[1]))
    return Workspace(_text_from_json(name), allowance)


def _body_to_json(body: object) -> list[str]:
    match body:
        case Direct(access):
            return ["direct", access.value]
        case Execute(name, arguments):
            return ["execute", _text_to_json(name), _text_to_json(arguments)]
        case Commit():
            return ["commit"]
        case _:
            raise BadRequestError(f"{body!r} is answered by the box that got it")


def _body_from_json(value: Any) -> ForwardedBody:
    match value:
        case ["direct", access]:
            return Direct(Access(access))
        case ["execute", name, arguments]:
            return Execute(_text_from_json(name), _text_from_json(arguments))
        case ["commit"]:
            return Commit()
        case _:
            raise ValueError(f"{value!r} is no statement that is passed on")


def statement_to_json(forwarded: ForwardedStatement) -> dict[str, Any]:
    """Return a statement as JSON."""
    return {
        "box": forwarded.box,
        "workspace": workspace_to_json(forwarded.workspace),
        # Required by boxes of a version without workspaces.
        "caller": "",
        "route": _route_to_json(forwarded.route),
        "request": _text_to_json(forwarded.statement.request_id),
        "text": _text_to_json(forwarded.statement.text),
        "body": _body_to_json(forwarded.statement.body),
        "age_s": forwarded.age_s,
        "values": {_text_to_json(k): _text_to_json(v) for k, v in forwarded.values.items()},
        "needed": _prepared_to_json(forwarded.needed),
        "transaction": forwarded.transaction,
        "begins": forwarded.begins,
        "read_only": forwarded.read_only,
        "begun_s": forwarded.begun_s,
        "own_write": _position_to_json(forwarded.own_write),
        "unsettled": forwarded.unsettled,
    }


def statement_from_json(value: Any) -> ForwardedStatement:
    """Decode a statement.

    Raises
    ------
    BadRequestError
        If ``value`` is not a valid statement.
    """
    try:
        return ForwardedStatement(
            box=str(value["box"]),
            workspace=workspace_from_json(value.get("workspace")),
            route=_route_from_json(value["route"]),
            statement=Statement(
                _text_from_json(value["request"]),
                _text_from_json(value["text"]),
                _body_from_json(value["body"]),
            ),
            age_s=float(value["age_s"]),
            values={_text_from_json(k): _text_from_json(v) for k, v in value["values"].items()},
            needed=_prepared_from_json(value["needed"]),
            transaction=str(value["transaction"]),
            begins=value["begins"] is True,
            read_only=value["read_only"] is True,
            begun_s=float(value["begun_s"]),
            own_write=_position_from_json(value["own_write"]),
            unsettled=value["unsettled"] is True,
        )
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise BadRequestError(f"no statement to run: {error!r}; run one version") from None


def reply_to_json(forwarded: ForwardedReply) -> dict[str, Any]:
    """Return a reply as JSON."""
    reply = forwarded.reply
    refusal = reply.refusal
    return {
        "state": reply.state.value,
        "rows": [row.decode("latin-1") for row in reply.rows],
        "proof": None if reply.proof is None else _text_to_json(reply.proof),
        "refusal": None if refusal is None else _refusal_to_json(refusal),
        "position": _position_to_json(reply.position),
        "endpoint": reply.endpoint,
        "own_write": _position_to_json(forwarded.own_write),
        "unsettled": forwarded.unsettled,
        "primary_usable": forwarded.primary_usable,
        "lacks_lease": forwarded.lacks_lease,
    }


def reply_from_json(value: Any) -> ForwardedReply:
    """Decode a reply.

    Raises
    ------
    BadRequestError
        If ``value`` is not a valid reply.
    """
    try:
        refusal = value["refusal"]
        reply = Reply(
            SessionState(value["state"]),
            tuple(row.encode("latin-1") for row in value["rows"]),
            None if value["proof"] is None else _text_from_json(value["proof"]),
            None if refusal is None else _refusal_from_json(refusal),
            _position_from_json(value["position"]),
            None if value["endpoint"] is None else str(value["endpoint"]),
        )
        own_write = _position_from_json(value["own_write"])
        is_usable = value["primary_usable"] is True
        lacks_lease = value["lacks_lease"] is True
        return ForwardedReply(reply, own_write, value["unsettled"] is True, is_usable, lacks_lease)
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise BadRequestError(f"no reply to a statement: {error!r}; run one version") from None


def _refusal_to_json(refusal: Refusal) -> list[str | None]:
    cause = None if refusal.cause is None else refusal.cause.value
    return [refusal.kind.value, _text_to_json(refusal.detail), cause]


def _refusal_from_json(value: Any) -> Refusal:
    kind, detail, cause = value
    return Refusal(
        RefusalKind(kind), _text_from_json(detail), None if cause is None else Cause(cause)
    )
