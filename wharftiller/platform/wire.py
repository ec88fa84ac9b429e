"""The platform's line protocol: encoding and parsing of statements and replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import BadRequestError, BodyTooLargeError, ExchangeError
from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.statements import (
    Access,
    Begin,
    Commit,
    Deallocate,
    Demote,
    Direct,
    EndpointQuery,
    EndpointStatus,
    Execute,
    Prepare,
    PreparedStatement,
    Refusal,
    RefusalKind,
    Reply,
    ResetSession,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    StatusQuery,
)

if TYPE_CHECKING:
    from wharftiller.core.sessions.statements import Body, EndpointBody

MAX_LINE_BYTES = 1_048_576
"""The protocol's limit of one message, in bytes."""

READ_BYTES = 16_384
"""Bytes read from a stream at once."""

ABSENT = "-"
"""Id of this box's own statements; also stands for an absent proof or position."""

REFUSAL_KINDS = {
    "BUSY": RefusalKind.NO_CAPACITY,
    "ABORTED": RefusalKind.ROLLED_BACK,
    "LAGGING": RefusalKind.REPLICA_BEHIND,
    "READONLY": RefusalKind.NOT_PRIMARY,
    "MISROUTED": RefusalKind.WRONG_ENDPOINT,
    "OVERLOAD": RefusalKind.TOO_MANY_CONNECTIONS,
    "FAILED": RefusalKind.STATEMENT_FAILED,
    "NOSTMT": RefusalKind.UNKNOWN_PREPARED,
    "TIMEOUT": RefusalKind.TIMED_OUT,
    "INDOUBT": RefusalKind.OUTCOME_UNKNOWN,
    "NODB": RefusalKind.UNKNOWN_DATABASE,
    "NOAUTH": RefusalKind.UNKNOWN_KEY,
    "MALFORMED": RefusalKind.MALFORMED,
    "OVERSIZE": RefusalKind.TOO_LARGE,
}
"""The protocol's error codes; an unknown code is parsed as `RefusalKind.OTHER`."""

REFUSAL_CODES = {kind: code for code, kind in REFUSAL_KINDS.items()} | {RefusalKind.OTHER: "FAILED"}
"""Error codes sent to callers."""

SESSION_STATES = {
    "I": SessionState.IDLE,
    "T": SessionState.IN_TRANSACTION,
    "E": SessionState.FAILED,
}
"""The protocol's codes of session states."""

STATE_CODES = {state: word for word, state in SESSION_STATES.items()}

ACCESS_KINDS = {"READ": Access.READ, "WRITE": Access.WRITE}


class LineReader:
    """Reads lines that end in CR LF from a stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    @property
    def buffered(self) -> bool:
        """Whether received bytes have not been returned as a line yet."""
        return bool(self._buffer)

    async def line(self) -> bytes | None:
        """Return the next line without its CR LF; None if the stream ends first.

        Raises
        ------
        BodyTooLargeError
            If a line exceeds `MAX_LINE_BYTES`.
        """
        searched = 0
        while True:
            end = self._buffer.find(b"\r\n", searched)
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + 2]
                return line
            if len(self._buffer) > MAX_LINE_BYTES:
                raise BodyTooLargeError(f"a line passes {MAX_LINE_BYTES} bytes; send less at once")
            searched = max(0, len(self._buffer) - 1)
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return None
            if not data:
                return None
            self._buffer += data


def decode(line: bytes) -> str:
    """Return a line as text; bytes that are not UTF-8 are restored by `encode`."""
    return line.decode(errors="surrogateescape")


def encode(text: str) -> bytes:
    """Return the bytes that `decode` made ``text`` from."""
    return text.encode(errors="surrogateescape")


def parse_position(word: str) -> LogPosition | None:
    """Parse a log position; None for ``-``.

    Raises
    ------
    ValueError
        If ``word`` is neither.
    """
    if word == ABSENT:
        return None
    term, _, number = word.partition(".")
    return LogPosition(int(term), int(number))


def format_position(position: LogPosition | None) -> str:
    """Return a log position in the protocol's form; ``-`` for None."""
    return ABSENT if position is None else f"{position.term}.{position.index}"


def parse_statement(line: bytes) -> Statement:
    """Parse a caller's line.

    Raises
    ------
    BadRequestError
        If it is not a statement.
    """
    try:
        verb, request_id, text = decode(line).split(" ", 2)
    except ValueError:
        raise BadRequestError("send QUERY, an id and a text") from None
    if verb != "QUERY":
        raise BadRequestError(f"{verb[:20]} is not known here; send QUERY or RELEASE")
    return Statement(request_id, text, _parse_body(text))


def _parse_body(text: str) -> Body:
    match text.split(" "):
        case ["BEGIN"]:
            return Begin(read_only=False)
        case ["BEGIN", "READ"]:
            return Begin(read_only=True)
        case ["COMMIT"]:
            return Commit()
        case ["ROLLBACK"]:
            return Rollback()
        case ["READ", _, *_]:
            return Direct(Access.READ)
        case ["WRITE", _, _, *_]:
            return Direct(Access.WRITE)
        case ["SET", name, *rest] if rest:
            return SetValue(name, " ".join(rest))
        case ["PREPARE", name, ("READ" | "WRITE") as access, *rest] if rest:
            return Prepare(name, PreparedStatement(ACCESS_KINDS[access], " ".join(rest)))
        case ["EXECUTE", name, *rest] if rest:
            return Execute(name, " ".join(rest))
        case ["DEALLOC", name]:
            return Deallocate(name)
        case _:
            raise BadRequestError("the text is no statement of this protocol")


def encode_query(query: EndpointQuery) -> bytes:
    """Return the line that sends ``query`` to an endpoint."""
    statement = query.statement
    request_id = ABSENT if statement is None else statement.request_id
    after = "" if query.after is None else f"AFTER {format_position(query.after)} "
    text = _format_body(query.body, statement)
    return encode(f"QUERY {request_id} {after}{text}\r\n")


def _format_body(body: EndpointBody, statement: Statement | None) -> str:
    match body:
        case Execute(name, arguments):
            return f"EXECUTE {name} {arguments}"
        case Begin(read_only):
            return "BEGIN READ" if read_only else "BEGIN"
        case Rollback():
            return "ROLLBACK"
        case SetValue(name, value):
            return f"SET {name} {value}"
        case Prepare(name, prepared):
            return f"PREPARE {name} {prepared.access.name} {prepared.shape}"
        case ResetSession():
            return "RESET"
        case StatusQuery():
            return "STATUS"
        case Demote(term):
            return f"DEMOTE {term}"
        case _ if statement is not None:
            return statement.text
        case _:
            raise ValueError(f"{body} needs a caller's statement")


async def read_reply(reader: LineReader) -> Reply:
    """Read the reply to one statement.

    Raises
    ------
    ExchangeError
        If the endpoint closes the connection first or violates the protocol.
    """
    rows: list[bytes] = []
    proof: str | None = None
    refusal: Refusal | None = None
    while True:
        line = await reader.line()
        if line is None:
            raise ExchangeError("the endpoint closed the connection before its whole answer")
        word, _, rest = line.partition(b" ")
        match word:
            case b"ROW":
                rows.append(rest)
            case b"COMPLETE":
                proof = decode(rest)
            case b"ERROR":
                refusal = parse_refusal(decode(rest))
            case b"READY":
                state, position = _parse_ready(decode(rest))
                return Reply(state, tuple(rows), proof, refusal, position)
            case _:
                raise ExchangeError(f"the endpoint said {line[:40]!r}, which is no answer")


def parse_refusal(rest: str) -> Refusal:
    """Parse the code and text of an error."""
    code, _, detail = rest.partition(" ")
    return Refusal(REFUSAL_KINDS.get(code, RefusalKind.OTHER), detail or code)


def _parse_ready(rest: str) -> tuple[SessionState, LogPosition | None]:
    state, _, position = rest.partition(" ")
    try:
        return SESSION_STATES[state], parse_position(position or ABSENT)
    except (KeyError, ValueError):
        raise ExchangeError(f"the endpoint is ready in {rest[:40]!r}, which is no state") from None


def encode_reply(reply: Reply) -> bytes:
    """Return the lines of the reply to a caller's statement."""
    parts = [b"ROW " + row + b"\r\n" for row in reply.rows]
    if reply.refusal is None:
        parts.append(encode(f"COMPLETE {reply.proof or ABSENT}\r\n"))
    else:
        parts.append(encode_refusal(reply.refusal))
    parts.append(f"READY {STATE_CODES[reply.state]} {format_position(reply.position)}\r\n".encode())
    return b"".join(parts)


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the line of a refusal."""
    return encode(f"ERROR {REFUSAL_CODES[refusal.kind]} {refusal.detail}\r\n")


def parse_status(reply: Reply) -> EndpointStatus | None:
    """Parse the reply to a status query; None if the endpoint was too busy.

    Raises
    ------
    ExchangeError
        If its row is not a status.
    """
    if reply.refusal is not None:
        return None
    try:
        role, term, received, _fence, _lag, _busy, connections = decode(reply.rows[0]).split(" ")
        position = parse_position(received) or LogPosition()
        return EndpointStatus(role == "primary", int(term), position, int(connections))
    except (IndexError, ValueError):
        raise ExchangeError(f"the endpoint's status is {reply.rows[:1]!r}, which is none") from None
