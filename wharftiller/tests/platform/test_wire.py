"""Encoding and parsing of the line protocol, and rejection of invalid input."""

from __future__ import annotations

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from wharftiller.core.errors import BadRequestError, BodyTooLargeError, ExchangeError
from wharftiller.core.positions import LogPosition
from wharftiller.core.sessions.statements import (
    Access,
    Begin,
    Commit,
    Direct,
    EndpointQuery,
    Execute,
    Prepare,
    PreparedStatement,
    Refusal,
    RefusalKind,
    Reply,
    SessionState,
    SetValue,
    Statement,
    StatusQuery,
)
from wharftiller.platform.wire import (
    MAX_LINE_BYTES,
    LineReader,
    decode,
    encode_query,
    encode_reply,
    parse_statement,
    parse_status,
    read_reply,
)

WORD = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=12)


def read(data: bytes) -> Reply:
    """Return the reply that ``data`` holds."""

    async def main() -> Reply:
        near, far = trio.testing.memory_stream_pair()
        await near.send_all(data)
        await near.send_eof()
        return await read_reply(LineReader(far))

    return trio.run(main)


class TestStatements:
    @pytest.mark.parametrize(
        ("text", "body"),
        [
            ("BEGIN", Begin(read_only=False)),
            ("BEGIN READ", Begin(read_only=True)),
            ("COMMIT", Commit()),
            ("READ 1a4", Direct(Access.READ)),
            ("WRITE 1a4 x y", Direct(Access.WRITE)),
            ("SET name two words", SetValue("name", "two words")),
            ("PREPARE s1 WRITE q2c", Prepare("s1", PreparedStatement(Access.WRITE, "q2c"))),
            ("EXECUTE s1 1a4 x y", Execute("s1", "1a4 x y")),
        ],
    )
    def test_texts_are_parsed(self, text: str, body: object) -> None:
        statement = parse_statement(f"QUERY id {text}".encode())
        assert statement == Statement("id", text, body)  # type: ignore[arg-type]

    @given(st.binary(max_size=200))
    def test_any_line_is_a_statement_or_a_clear_error(self, line: bytes) -> None:
        try:
            statement = parse_statement(line)
        except BadRequestError:
            return
        assert decode(line) == f"QUERY {statement.request_id} {statement.text}"

    @given(WORD, WORD, WORD)
    def test_reads_and_writes_pass_unchanged(self, request_id: str, key: str, data: str) -> None:
        line = f"QUERY {request_id} WRITE {key} {data}"
        statement = parse_statement(line.encode())
        assert encode_query(EndpointQuery(statement.body, statement)) == f"{line}\r\n".encode()

    def test_the_position_of_a_read_precedes_its_text(self) -> None:
        statement = parse_statement(b"QUERY id READ 1a4")
        query = EndpointQuery(statement.body, statement, LogPosition(3, 1207))
        assert encode_query(query) == b"QUERY id AFTER 3.1207 READ 1a4\r\n"

    def test_only_the_name_of_a_prepared_statement_changes(self) -> None:
        statement = parse_statement(b"QUERY id EXECUTE s1 1a4 x")
        assert encode_query(EndpointQuery(Execute("p7", "1a4 x"), statement)) == (
            b"QUERY id EXECUTE p7 1a4 x\r\n"
        )


class TestReplies:
    @given(st.binary(max_size=300))
    def test_any_bytes_are_a_reply_or_a_typed_error(self, data: bytes) -> None:
        try:
            reply = read(data)
        except ExchangeError:
            return
        assert isinstance(reply.state, SessionState)

    @given(
        st.lists(st.binary(max_size=20).filter(lambda row: b"\r\n" not in row), max_size=4),
        st.sampled_from(SessionState),
        st.sampled_from([RefusalKind.NO_CAPACITY, RefusalKind.OUTCOME_UNKNOWN, None]),
    )
    def test_an_encoded_reply_is_read_back(
        self, rows: list[bytes], state: SessionState, kind: RefusalKind | None
    ) -> None:
        rows = [row.strip(b"\r") for row in rows]
        refusal = None if kind is None else Refusal(kind, "come back in 300 ms")
        proof = "7.1f3" if kind is None else None
        reply = Reply(state, tuple(rows), proof, refusal, LogPosition(2, 9))
        assert read(encode_reply(reply)) == reply

    def test_an_incomplete_reply_is_an_error(self) -> None:
        with pytest.raises(ExchangeError, match="before its whole answer"):
            read(b"ROW a\r\nCOMPLETE x\r\n")

    def test_an_invalid_status_is_an_error(self) -> None:
        with pytest.raises(ExchangeError, match="which is none"):
            parse_status(Reply(SessionState.IDLE, (b"primary 3",), "-"))

    def test_a_status_is_read(self) -> None:
        status = parse_status(Reply(SessionState.IDLE, (b"replica 3 3.1209 0 12 2 17",), "-"))
        assert status is not None
        assert (status.leads, status.term, status.received, status.connections) == (
            False,
            3,
            LogPosition(3, 1209),
            17,
        )
        assert encode_query(EndpointQuery(StatusQuery())) == b"QUERY - STATUS\r\n"


class TestLines:
    def test_a_line_without_an_end_is_refused_at_the_limit(self) -> None:
        async def main() -> None:
            near, far = trio.testing.memory_stream_pair()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(near.send_all, b"x" * (MAX_LINE_BYTES + 20_000))
                with pytest.raises(BodyTooLargeError):
                    await LineReader(far).line()
                nursery.cancel_scope.cancel()

        trio.run(main)

    @given(st.lists(st.integers(1, 7), min_size=1, max_size=20))
    def test_lines_split_over_several_reads_are_joined(self, sizes: list[int]) -> None:
        async def main() -> None:
            near, far = trio.testing.memory_stream_pair()
            data = b"one\r\ntwo\r\n\r\nfour\r\n"
            for size in sizes:
                if data:
                    await near.send_all(data[:size])
                    data = data[size:]
            await near.send_all(data or b"")
            reader = LineReader(far)
            assert [await reader.line() for _ in range(4)] == [b"one", b"two", b"", b"four"]

        trio.run(main)
