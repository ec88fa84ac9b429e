"""All daemons together: sessions across boxes, failover and the first promotion."""

from __future__ import annotations

from wharftiller.tests.fakes.world import World, run_world


class TestWholePath:
    def test_guide_sees_tourist_from_another_box(self) -> None:
        async def scenario(world: World) -> None:
            booked = await world.ask("box-1", kind="write", statement={"append": "t", "value": "I"})
            assert booked.outcome == "done"
            seen = await world.ask(
                "box-2",
                kind="read",
                statement={"get": "t"},
                session=booked.body["session"],
                max_age_ms=5_000,
            )
            assert seen.body["result"] == ["I"]
            assert seen.body["endpoint"] != world.primary()

        run_world(scenario)

    def test_bookings_resume_after_the_primary_is_killed(self) -> None:
        async def scenario(world: World) -> None:
            await world.ask("box-1", kind="write", statement={"append": "t", "value": "I"})
            primary = world.primary()
            world.network.kill(world.ips[primary])
            world.endpoints[primary].freeze()
            booked = await world.ask(
                "box-2", kind="write", repeatable=True, statement={"append": "t", "value": "A"}
            )
            assert booked.outcome == "done"
            assert booked.replied_at - booked.sent_at < 4
            seen = await world.ask("box-3", kind="read", statement={"get": "t"})
            assert seen.body["result"] == ["I", "A"]

        run_world(scenario)

    def test_stewards_that_start_together_promote_once(self) -> None:
        async def scenario(world: World) -> None:
            terms = [endpoint.database.promised for endpoint in world.endpoints.values()]
            assert max(terms) == 1

        for seed in range(1, 6):
            run_world(scenario, seed=seed)
