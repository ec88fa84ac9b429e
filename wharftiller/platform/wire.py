"""The platform's line protocol: statements of callers and of this box, and replies."""

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
"""The protocol's limit for one message."""

READ_BYTES = 16_384
"""Bytes taken from a stream at once."""

OWN_ID = "-"
"""Stands for the id in statements of this box's own, and for a proof or position that is absent."""

REFUSALS = {
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
"""The protocol's codes of errors; a code that is not among them is `RefusalKind.OTHER`."""

CODES = {kind: code for code, kind in REFUSALS.items()} | {RefusalKind.OTHER: "FAILED"}
"""The code that tells a caller of each refusal."""

STATES = {
    "I": SessionState.IDLE,
    "T": SessionState.IN_TRANSACTION,
    "E": SessionState.FAILED,
}
"""The protocol's words for where a session stands."""

STATE_WORDS = {state: word for word, state in STATES.items()}

ACCESS_WORDS = {"READ": Access.READ, "WRITE": Access.WRITE}


class LineReader:
    """Reads lines that end in CR LF from a stream."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    @property
    def buffered(self) -> bool:
        """Whether bytes have come that no line was made of yet."""
        return bool(self._buffer)

    async def line(self) -> bytes | None:
        """Return the next line without its end; None if the stream ends first.

        Raises
        ------
        BodyTooLargeError
            If a line passes `MAX_LINE_BYTES`.
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
    """Return a line as text; bytes that are no UTF-8 are kept for `encode`."""
    return line.decode(errors="surrogateescape")


def encode(text: str) -> bytes:
    """Return text as it came."""
    return text.encode(errors="surrogateescape")


def parse_position(word: str) -> LogPosition | None:
    """Return the log position that ``word`` writes; None for ``-``.

    Raises
    ------
    ValueError
        If it is neither.
    """
    if word == OWN_ID:
        return None
    term, _, number = word.partition(".")
    return LogPosition(int(term), int(number))


def position_word(position: LogPosition | None) -> str:
    """Return how a log position is written."""
    return OWN_ID if position is None else f"{position.term}.{position.index}"


def parse_statement(line: bytes) -> Statement:
    """Return the statement of a caller's line.

    Raises
    ------
    BadRequestError
        If it is none.
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
            return Prepare(name, PreparedStatement(ACCESS_WORDS[access], " ".join(rest)))
        case ["EXECUTE", name, *rest] if rest:
            return Execute(name, " ".join(rest))
        case ["DEALLOC", name]:
            return Deallocate(name)
        case _:
            raise BadRequestError("the text is no statement of this protocol")


def encode_query(query: EndpointQuery) -> bytes:
    """Return the line that sends ``query`` to an endpoint."""
    statement = query.statement
    request_id = OWN_ID if statement is None else statement.request_id
    after = "" if query.after is None else f"AFTER {position_word(query.after)} "
    text = _text_of(query.body, statement)
    return encode(f"QUERY {request_id} {after}{text}\r\n")


def _text_of(body: EndpointBody, statement: Statement | None) -> str:
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
            raise ValueError(f"{body} is not sent without a caller's statement")


async def read_reply(reader: LineReader) -> Reply:
    """Return the whole reply to one statement.

    Raises
    ------
    ExchangeError
        If the endpoint closes first or says what the protocol does not know.
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
    """Return the refusal that an error's code and text tell."""
    code, _, detail = rest.partition(" ")
    return Refusal(REFUSALS.get(code, RefusalKind.OTHER), detail or code)


def _parse_ready(rest: str) -> tuple[SessionState, LogPosition | None]:
    state, _, position = rest.partition(" ")
    try:
        return STATES[state], parse_position(position or OWN_ID)
    except (KeyError, ValueError):
        raise ExchangeError(f"the endpoint is ready in {rest[:40]!r}, which is no state") from None


def encode_reply(reply: Reply) -> bytes:
    """Return the lines that answer a caller's statement."""
    parts = [b"ROW " + row + b"\r\n" for row in reply.rows]
    if reply.refusal is None:
        parts.append(encode(f"COMPLETE {reply.proof or OWN_ID}\r\n"))
    else:
        parts.append(encode_refusal(reply.refusal))
    parts.append(f"READY {STATE_WORDS[reply.state]} {position_word(reply.position)}\r\n".encode())
    return b"".join(parts)


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the line that tells a refusal."""
    return encode(f"ERROR {CODES[refusal.kind]} {refusal.detail}\r\n")


def parse_status(reply: Reply) -> EndpointStatus | None:
    """Return the state that a status reply tells; None if the endpoint was too busy.

    Raises
    ------
    ExchangeError
        If it tells something else.
    """
    if reply.refusal is not None:
        return None
    try:
        role, term, received, _fence, _lag, _busy, connections = decode(reply.rows[0]).split(" ")
        position = parse_position(received) or LogPosition()
        return EndpointStatus(role == "primary", int(term), position, int(connections))
    except (IndexError, ValueError):
        raise ExchangeError(f"the endpoint's state is {reply.rows[:1]!r}, which is none") from None
