"""Invalid requests get a typed error, and later valid requests are still served."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
import trio

from wharftiller.edges.http_server import MAX_BODY_BYTES
from wharftiller.keys import bearer_header
from wharftiller.tests.fakes.world import CLIENT, KEYS, POOL, World, run_world

VALID: dict[str, Any] = {
    "pool": POOL,
    "business": "rila",
    "request_id": "q",
    "kind": "read",
    "statement": {"get": "t"},
}
KEY = bearer_header(KEYS.mint("business", f"{POOL}/rila"))["authorization"]


def raw(body: bytes, path: str = "/statements", method: str = "POST", key: str = KEY) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\ncontent-length: {len(body)}\r\nauthorization: {key}\r\n"
    return head.encode() + b"\r\n" + body


async def exchange(world: World, data: bytes) -> bytes:
    """Send bytes to a proxy and return all that it sends within a second."""
    stream = await world.network.connect(CLIENT, f"{world.ips['box-1']}:7100")
    await stream.send_all(data)
    received = b""
    with trio.move_on_after(1):
        while chunk := await stream.receive_some():
            received += chunk
    await stream.aclose()
    return received


def without(name: str) -> dict[str, Any]:
    return {key: value for key, value in VALID.items() if key != name}


INVALID_BODIES: list[tuple[bytes, str]] = [
    (b'{"pool": "tou', "bad_request"),
    (b"[]", "bad_request"),
    (b"7", "bad_request"),
    (orjson.dumps(without("pool")), "bad_request"),
    (orjson.dumps({**VALID, "request_id": 7}), "bad_request"),
    (orjson.dumps({**VALID, "request_id": ""}), "bad_request"),
    (orjson.dumps({**VALID, "request_id": "x" * 200}), "bad_request"),
    (orjson.dumps({**VALID, "deadline_ms": 0}), "bad_request"),
    (orjson.dumps({**VALID, "deadline_ms": 10**18}), "bad_request"),
    (orjson.dumps({**VALID, "deadline_ms": 1.5}), "bad_request"),
    (orjson.dumps({**VALID, "max_age_ms": -1}), "bad_request"),
    (orjson.dumps({**VALID, "repeatable": "yes"}), "bad_request"),
    (orjson.dumps({**VALID, "kind": "delete"}), "bad_request"),
    (orjson.dumps({**VALID, "kind": "commit"}), "bad_request"),
    (orjson.dumps({**VALID, "max_agems": 5}), "bad_request"),
    (orjson.dumps({**VALID, "business": "pirin"}), "not_authenticated"),
    (orjson.dumps({**VALID, "session": "k1.forged.token"}), "bad_token"),
]


class TestBadInput:
    def test_bad_bodies_get_typed_errors_and_good_ones_still_run(self) -> None:
        async def scenario(world: World) -> None:
            for body, kind in INVALID_BODIES:
                answer = await exchange(world, raw(body))
                assert f'"error":"{kind}"'.encode() in answer, (body, answer)
            good = await exchange(world, raw(orjson.dumps(VALID)))
            assert b'"outcome":"done"' in good

        run_world(scenario)

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"GARBAGE\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 100 + b"\r\n", b"413"),
            (b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\n\r\n", b"413"),
            (raw(b"", key="Basic x"), b"400"),
            (raw(b"{}", path="/nowhere"), b"404"),
            (b"GET / HTTP/1.1\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\n", b"4"),
        ],
    )
    def test_bad_http_is_refused(self, data: bytes, status: bytes) -> None:
        async def scenario(world: World) -> None:
            assert (await exchange(world, data)).startswith(b"HTTP/1.1 " + status)
            assert b"done" in await exchange(world, raw(orjson.dumps(VALID)))

        run_world(scenario)

    def test_oversized_body_is_refused(self) -> None:
        async def scenario(world: World) -> None:
            answer = await exchange(world, raw(b"x" * (MAX_BODY_BYTES + 1)))
            assert b"body_too_large" in answer

        run_world(scenario)

    def test_pipelined_requests_are_answered_in_their_order(self) -> None:
        async def scenario(world: World) -> None:
            data = b"".join(raw(orjson.dumps({**VALID, "request_id": f"q{n}"})) for n in range(8))
            answer = await exchange(world, data)
            offsets = [answer.index(f'"request_id":"q{n}"'.encode()) for n in range(8)]
            assert offsets == sorted(offsets)

        run_world(scenario)

    def test_unknown_names_are_distinguished(self) -> None:
        async def scenario(world: World) -> None:
            for fields, reason in (
                ({"kind": "write", "transaction": "box-1/none"}, "transaction_unknown"),
                ({"kind": "write", "transaction": "box-9/1"}, "transaction_elsewhere"),
                ({"kind": "write", "statement": {"drop": "all"}}, "statement_rejected"),
                ({"kind": "read", "statement": None}, "statement_rejected"),
            ):
                answer = await world.ask("box-1", **fields)
                assert answer.outcome == "not_run"
                assert answer.body["reason"] == reason

        run_world(scenario)
