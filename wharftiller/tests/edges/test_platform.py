"""The platform's client against a fake platform, in virtual time."""

from __future__ import annotations

import pytest
import trio

from standins.network import FakeNetwork
from standins.platform import Platform, serve_platform
from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.edges.platform import ConflictError, PlatformClient
from wharftiller.tests.fakes.world import run_deterministically


def with_platform(scenario) -> None:  # type: ignore[no-untyped-def]
    async def main() -> None:
        network = FakeNetwork(lambda a, b: 0.001)
        platform = Platform()
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_platform, platform, network.host("1.1.1.1"), "1.1.1.1:80")
            await scenario(platform, PlatformClient(network.host("1.1.1.2"), "1.1.1.1:80"))
            nursery.cancel_scope.cancel()

    run_deterministically(main)


class TestPlatformClient:
    def test_lost_answer_is_read_back(self) -> None:
        async def scenario(platform: Platform, client: PlatformClient) -> None:
            platform.faults.lose_answers = 1
            written = await client.update("k", {"x": 1}, 0)
            assert written.version == 1
            assert platform.objects["k"].version == 1

        with_platform(scenario)

    def test_closed_connection_is_reopened(self) -> None:
        async def scenario(platform: Platform, client: PlatformClient) -> None:
            await client.update("k", 1, 0)
            platform.faults.outage = True
            with pytest.raises(PlatformUnavailableError):
                await client.read("k")
            platform.faults.outage = False
            network = client._client._transport.network  # type: ignore[attr-defined]
            await client.read("k")
            network.break_streams("1.1.1.1")
            assert (await client.read("k")).value == 1  # type: ignore[union-attr]

        with_platform(scenario)

    def test_update_of_an_old_version_is_a_conflict(self) -> None:
        async def scenario(platform: Platform, client: PlatformClient) -> None:
            await client.update("k", 1, 0)
            with pytest.raises(ConflictError, match="at version 1"):
                await client.update("k", 2, 0)
            assert (await client.read("k")).value == 1  # type: ignore[union-attr]

        with_platform(scenario)

    def test_outage_is_reported(self) -> None:
        async def scenario(platform: Platform, client: PlatformClient) -> None:
            platform.faults.outage = True
            with pytest.raises(PlatformUnavailableError):
                await client.read("k")

        with_platform(scenario)

    def test_rate_limit_is_reported(self) -> None:
        async def scenario(platform: Platform, client: PlatformClient) -> None:
            platform.faults.reads_per_s = 1
            await client.read("k")
            with pytest.raises(PlatformUnavailableError, match="429"):
                await client.read("k")

        with_platform(scenario)

    def test_watch_returns_the_change(self) -> None:
        async def scenario(platform: Platform, client: PlatformClient) -> None:
            await client.update("k", 1, 0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.update, "k", 2, 1)
                watched = await client.watch("k", 1, 5.0)
            assert watched is not None
            assert watched.value == 2
            assert await client.watch("k", 2, 0.5) is None

        with_platform(scenario)
