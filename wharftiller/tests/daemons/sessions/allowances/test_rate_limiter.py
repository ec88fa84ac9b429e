"""Each attempt of an operation has a token that its token server still counts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing

from wharftiller.core.sessions.allowances import Grant
from wharftiller.core.sessions.metrics import SessionMetrics
from wharftiller.core.sessions.workspaces import Allowance, Workspace
from wharftiller.daemons.sessions.allowances.rate_limiter import TOKEN_VALID_S, RateLimiter
from wharftiller.daemons.sessions.serving.routed import RateLimitedError

RILA = Workspace("rila", Allowance(10.0, 10.0))


class FakeTokenServer:
    """A token server that grants one token per request, up to a number of them."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.unused = 0

    async def grant(self, request: Any) -> Grant:
        self.unused += request.unused
        if not self.tokens:
            return Grant(0, 1.0)
        self.tokens -= 1
        return Grant(1)


def run_with_limiter(
    tokens: int, scenario: Callable[[RateLimiter, FakeTokenServer], Awaitable[None]]
) -> None:
    async def main() -> None:
        server = FakeTokenServer(tokens)
        state = SimpleNamespace(box="one", metrics=SessionMetrics(), log=None)
        directory = SimpleNamespace(list=SimpleNamespace(near=["one"]))
        limiter = RateLimiter(state, directory, None, server)  # type: ignore[arg-type]
        await scenario(limiter, server)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class TestAdmission:
    def test_an_operation_that_is_sent_soon_takes_one_token(self) -> None:
        async def scenario(limiter: RateLimiter, server: FakeTokenServer) -> None:
            admission = await limiter.admit(RILA)
            await trio.sleep(TOKEN_VALID_S / 2)
            await limiter.ensure_token(admission)
            assert server.tokens == 4

        run_with_limiter(5, scenario)

    def test_one_that_waited_beyond_its_tokens_life_takes_another(self) -> None:
        """A latency goal may exceed a token's life: lookups wait up to 1.5 s for a slot."""

        async def scenario(limiter: RateLimiter, server: FakeTokenServer) -> None:
            admission = await limiter.admit(RILA)
            await trio.sleep(TOKEN_VALID_S * 3)
            await limiter.ensure_token(admission)
            assert server.tokens == 3
            assert server.unused == 1

        run_with_limiter(5, scenario)

    def test_one_that_waited_too_long_is_refused_where_none_is_left(self) -> None:
        async def scenario(limiter: RateLimiter, server: FakeTokenServer) -> None:
            admission = await limiter.admit(RILA)
            await trio.sleep(TOKEN_VALID_S * 3)
            with pytest.raises(RateLimitedError, match="rila has no token left"):
                await limiter.ensure_token(admission)

        run_with_limiter(1, scenario)

    def test_one_that_is_refused_returns_no_token(self) -> None:
        async def scenario(limiter: RateLimiter, server: FakeTokenServer) -> None:
            late, other = await limiter.admit(RILA), await limiter.admit(RILA)
            await trio.sleep(TOKEN_VALID_S * 3)
            server.tokens = 1
            await limiter.ensure_token(other)
            with pytest.raises(RateLimitedError):
                await limiter.ensure_token(late)
            limiter.refund(late)
            with pytest.raises(RateLimitedError):
                await limiter.admit(RILA)

        run_with_limiter(2, scenario)

    def test_a_read_that_may_have_run_takes_another_for_the_next_endpoint(self) -> None:
        async def scenario(limiter: RateLimiter, server: FakeTokenServer) -> None:
            admission = await limiter.admit(RILA)
            for _ in range(3):
                await limiter.ensure_token(admission)
            assert server.tokens == 2

        run_with_limiter(5, scenario)

    def test_one_that_an_endpoint_did_not_run_keeps_its_token(self) -> None:
        async def scenario(limiter: RateLimiter, server: FakeTokenServer) -> None:
            admission = await limiter.admit(RILA)
            for _ in range(3):
                await limiter.ensure_token(admission)
                admission.did_not_run()
            assert server.tokens == 4
            limiter.refund(admission)
            await limiter.admit(RILA)
            assert server.tokens == 4

        run_with_limiter(5, scenario)

    def test_one_that_ran_returns_no_token(self) -> None:
        async def scenario(limiter: RateLimiter, server: FakeTokenServer) -> None:
            admission = await limiter.admit(RILA)
            await limiter.ensure_token(admission)
            limiter.refund(admission)
            await limiter.admit(RILA)
            assert server.tokens == 3

        run_with_limiter(5, scenario)

    def test_without_an_allowance_no_token_is_requested(self) -> None:
        async def scenario(limiter: RateLimiter, server: FakeTokenServer) -> None:
            admission = await limiter.admit(Workspace("free"))
            await trio.sleep(10.0)
            await limiter.ensure_token(admission)
            await limiter.ensure_token(await limiter.admit(None))
            assert server.tokens == 0

        run_with_limiter(0, scenario)
