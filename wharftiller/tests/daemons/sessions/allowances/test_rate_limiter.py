"""The gate: each run of an operation has a token that its keeper still counts."""

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
from wharftiller.daemons.sessions.allowances.rate_limiter import USED_WITHIN_S, RateLimiter
from wharftiller.daemons.sessions.serving.routed import RateLimitedError

RILA = Workspace("rila", Allowance(10.0, 10.0))


class Desk:
    """A keeper that grants one token a question, up to a number of them."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens
        self.unused = 0

    async def grant(self, question: Any) -> Grant:
        self.unused += question.unused
        if not self.tokens:
            return Grant(0, 1.0)
        self.tokens -= 1
        return Grant(1)


def with_gate(tokens: int, story: Callable[[RateLimiter, Desk], Awaitable[None]]) -> None:
    async def main() -> None:
        desk = Desk(tokens)
        state = SimpleNamespace(box="one", metrics=SessionMetrics(), log=None)
        directory = SimpleNamespace(list=SimpleNamespace(near=["one"]))
        gate = RateLimiter(state, directory, None, desk)  # type: ignore[arg-type]
        await story(gate, desk)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class TestAdmission:
    def test_an_operation_that_is_sent_soon_takes_one_token(self) -> None:
        async def story(gate: RateLimiter, desk: Desk) -> None:
            admission = await gate.admit(RILA)
            await trio.sleep(USED_WITHIN_S / 2)
            await gate.about_to_run(admission)
            assert desk.tokens == 4

        with_gate(5, story)

    def test_one_that_waited_longer_than_its_token_counts_takes_another(self) -> None:
        """The route's goal may be longer than a token's life: a lookup waits 1.5 s for a place."""

        async def story(gate: RateLimiter, desk: Desk) -> None:
            admission = await gate.admit(RILA)
            await trio.sleep(USED_WITHIN_S * 3)
            await gate.about_to_run(admission)
            assert desk.tokens == 3
            assert desk.unused == 1

        with_gate(5, story)

    def test_one_that_waited_too_long_is_refused_where_none_is_left(self) -> None:
        async def story(gate: RateLimiter, desk: Desk) -> None:
            admission = await gate.admit(RILA)
            await trio.sleep(USED_WITHIN_S * 3)
            with pytest.raises(RateLimitedError, match="rila has no token left"):
                await gate.about_to_run(admission)

        with_gate(1, story)

    def test_one_that_is_refused_gives_no_token_back(self) -> None:
        async def story(gate: RateLimiter, desk: Desk) -> None:
            late, other = await gate.admit(RILA), await gate.admit(RILA)
            await trio.sleep(USED_WITHIN_S * 3)
            desk.tokens = 1
            await gate.about_to_run(other)
            with pytest.raises(RateLimitedError):
                await gate.about_to_run(late)
            gate.give_back(late)
            with pytest.raises(RateLimitedError):
                await gate.admit(RILA)

        with_gate(2, story)

    def test_a_read_that_may_have_run_takes_another_for_the_next_endpoint(self) -> None:
        async def story(gate: RateLimiter, desk: Desk) -> None:
            admission = await gate.admit(RILA)
            for _ in range(3):
                await gate.about_to_run(admission)
            assert desk.tokens == 2

        with_gate(5, story)

    def test_one_that_an_endpoint_did_not_run_keeps_its_token(self) -> None:
        async def story(gate: RateLimiter, desk: Desk) -> None:
            admission = await gate.admit(RILA)
            for _ in range(3):
                await gate.about_to_run(admission)
                admission.did_not_run()
            assert desk.tokens == 4
            gate.give_back(admission)
            await gate.admit(RILA)
            assert desk.tokens == 4

        with_gate(5, story)

    def test_one_that_ran_gives_nothing_back(self) -> None:
        async def story(gate: RateLimiter, desk: Desk) -> None:
            admission = await gate.admit(RILA)
            await gate.about_to_run(admission)
            gate.give_back(admission)
            await gate.admit(RILA)
            assert desk.tokens == 3

        with_gate(5, story)

    def test_without_an_allowance_nobody_is_asked(self) -> None:
        async def story(gate: RateLimiter, desk: Desk) -> None:
            admission = await gate.admit(Workspace("free"))
            await trio.sleep(10.0)
            await gate.about_to_run(admission)
            await gate.about_to_run(await gate.admit(None))
            assert desk.tokens == 0

        with_gate(0, story)
