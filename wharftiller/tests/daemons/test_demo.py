"""The demo's client, which the tests of real processes share."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import trio
import trio.testing

sys.path.insert(0, str(Path(__file__).parents[3] / "scripts"))

from demo import Demo  # type: ignore[import-not-found]


class TestPrimaryOf:
    def test_a_promotion_under_way_is_waited_for(self) -> None:
        primaries = iter(["", "", "seats-b"])

        class FakeDemo(Demo):  # type: ignore[misc]
            def __init__(self) -> None:
                pass

            async def call_admin(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
                record = {"primary": next(primaries)}
                return 200, [{"group": {"name": "seats"}, "record": record}]

        async def main() -> None:
            assert await FakeDemo().primary_of("seats") == "seats-b"

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
