"""The metrics page of a box during a failover."""

from __future__ import annotations

import trio
from prometheus_client.parser import text_string_to_metric_families

from wharftiller.edges.http_client import HttpClient
from wharftiller.tests.platform.world import World, run_in_world


async def read_metrics(
    world: World, box: str
) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    """Return all samples of a box's metrics page by name and labels."""
    client = HttpClient(world.network.host("10.8.0.9"), f"{world.boxes[box].ip}:5")
    answer = await client.request("GET", "/metrics", timeout_s=1.0)
    assert answer.status == 200
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(answer.body.decode())
        for sample in family.samples
    }


class TestPage:
    def test_answers_and_primaries_are_exported_during_a_failover(self) -> None:
        async def scenario(world: World) -> None:
            group = world.groups[0]
            caller = await world.open_session(world.boxes["box-1"], "primary")
            await caller.execute("WRITE seat1 anna")
            before = await read_metrics(world, "box-1")
            leading = (("endpoint", "seats-0"), ("group", "seats"), ("state", "leading"))
            assert before["wharftiller_primary", leading] == 1
            assert before["wharftiller_lease_left_seconds", (("group", "seats"),)] > 0
            world.kill_server(group.primary)
            states = set()
            for _ in range(60):
                page = await read_metrics(world, "box-1")
                states |= {
                    dict(labels)["state"] for name, labels in page if name == "wharftiller_primary"
                }
                await trio.sleep(0.05)
            assert states == {"leading", "moving"}
            page = await read_metrics(world, "box-1")
            new = (("endpoint", group.primary.name), ("group", "seats"), ("state", "leading"))
            assert page["wharftiller_primary", new] == 1
            assert page["wharftiller_record_fence", ()] == 1
            done = [
                value
                for (name, labels), value in page.items()
                if name == "wharftiller_answers_total" and ("outcome", "done") in labels
            ]
            assert sum(done) >= 1

        run_in_world(scenario)
