"""One odd entry among those of the endpoints names no endpoint, and the others hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
import pytest
import trio

from standins.line_endpoints import LineServer
from wharftiller.tests.platform.world import make_group, run_in_world

if TYPE_CHECKING:
    from wharftiller.tests.platform.world import World

BOXES = 3

NOTICED_S = 2.0
"""Time within which every box follows a change of the list, in seconds."""

ODD_NAME = "seats-odd"


def entry(**changes: Any) -> bytes:
    """Return an entry as JSON, with fields replaced by these raw texts."""
    fields: dict[str, Any] = {
        "Service": b'"seats"',
        "Address": b'"10.2.9.1:5"',
        "Zone": b'"a"',
        "State": b'"ready"',
        "DbRole": b'"replica"',
        "Seq": b"1",
        **changes,
    }
    return orjson.dumps({name: orjson.Fragment(raw) for name, raw in fields.items()})


def nested(depth: int, opening: bytes = b"[", closing: bytes = b"]") -> bytes:
    """Return a value within ``depth`` others."""
    return opening * depth + b"1" + closing * depth


ODD_SPECS = {
    "zone nested 900 deep": entry(Zone=nested(900)),
    "lists nested 2,000 deep": entry(Extra=nested(2_000)),
    "tables nested 100,000 deep": entry(Extra=nested(100_000, b'{"a":', b"}")),
    "address nested 900 deep": entry(Address=nested(900)),
    "nothing but nesting": nested(50_000),
    "float too large": entry(Seq=b"1e400"),
    "400 digits": entry(Slots=b"9" * 400),
    "more digits than Python converts": entry(Address=b'"10.2.9.1:' + b"9" * 5_000 + b'"'),
    "start time of 30 digits": entry(born=b"9" * 30),
    "port out of range": entry(Address=b'"10.2.9.1:65536"'),
    "negative port": entry(Address=b'"10.2.9.1:-1"'),
    "port 0": entry(Address=b'"10.2.9.1:0"'),
    "port in other digits": entry(Address='"10.2.9.1:５"'.encode()),
    "port with blanks": entry(Address=b'"10.2.9.1: 5 "'),
    "scope of an interface": entry(Address=b'"fe80::1%eth0:5"'),
    "host name": entry(Address=b'"server-9:5"'),
    "half of a surrogate pair": entry(State=b'"ready\\ud83d"'),
    "bytes that are no UTF-8": entry(Zone=b'"\xff\xfe"'),
    "no number": entry(Seq=b"NaN"),
    "line end in the service": entry(Service=b'"seats\\r\\nQUERY"'),
    "zone of a megabyte": entry(Zone=b'"' + b"z" * 900_000 + b'"'),
    "null": b"null",
    "list": b"[1,2]",
    "empty": b"{}",
    "state that is not named": entry(State=b'"resting"'),
}


def is_followed(world: World, joined: str, leaving: str) -> bool:
    """Return whether every box knows that one endpoint joined and another leaves."""
    tables = [box.process.proxy.state.endpoints.rows for box in world.boxes.values()]  # type: ignore[union-attr]
    return all(
        joined in rows and rows[joined].is_listed and rows[leaving].leaving_since is not None
        for rows in tables
    )


async def check_others_hold(world: World) -> None:
    """Check that no process ended, that the list is followed and that statements are served."""
    group = world.groups[0]
    joined = LineServer("seats-z", group, "10.2.8.1:5", "b", log=list(group.primary.log))
    group.servers.append(joined)
    await world.start_server(joined)
    leaving = group.servers[2]
    leaving.leaving = True
    world.register(leaving)
    with trio.fail_after(NOTICED_S):
        while not is_followed(world, joined.name, leaving.name):
            await trio.sleep(0.05)
    await check_served(world)


async def check_served(world: World) -> None:
    """Check that no process ended, that all boxes serve and that none uses the odd entry."""
    for box in world.boxes.values():
        assert not box.ended.is_set()
        proxy = box.process.proxy
        assert proxy is not None
        assert proxy.is_ready
        assert ODD_NAME not in proxy.state.endpoints.rows
        caller = await world.open_session(box, "primary")
        assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"
        caller.close()


@pytest.mark.parametrize("kind", ODD_SPECS)
class TestOddEntry:
    def test_running_boxes_follow_the_others(self, kind: str) -> None:
        async def scenario(world: World) -> None:
            world.store.set("servers", ODD_NAME, orjson.Fragment(ODD_SPECS[kind]))
            await trio.sleep(NOTICED_S)
            await check_others_hold(world)

        run_in_world(scenario, groups=[make_group()], boxes=BOXES)

    def test_starting_boxes_serve_and_follow_the_others(self, kind: str) -> None:
        async def scenario(world: World) -> None:
            world.store.set("servers", ODD_NAME, orjson.Fragment(ODD_SPECS[kind]))
            for name in list(world.boxes):
                await world.kill_box(world.boxes[name])
            for number in range(1, BOXES + 1):
                await world.start_box(number, "abc"[number - 1])
            await trio.sleep(2 * NOTICED_S)
            await check_others_hold(world)

        run_in_world(scenario, groups=[make_group()], boxes=BOXES)

    def test_an_endpoint_whose_entry_turns_odd_is_not_used_until_it_is_sound(
        self, kind: str
    ) -> None:
        async def scenario(world: World) -> None:
            replica = world.groups[0].servers[1]
            world.store.set("servers", replica.name, orjson.Fragment(ODD_SPECS[kind]))
            await trio.sleep(2 * NOTICED_S)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                assert not box.process.proxy.state.endpoints.rows[replica.name].is_listed
            await check_served(world)
            world.register(replica)
            await trio.sleep(NOTICED_S)
            for box in world.boxes.values():
                assert box.process.proxy is not None
                assert box.process.proxy.state.endpoints.rows[replica.name].is_listed

        run_in_world(scenario, groups=[make_group()], boxes=BOXES)

    def test_logs_stay_bounded(self, kind: str) -> None:
        async def scenario(world: World) -> None:
            world.store.set("servers", ODD_NAME, orjson.Fragment(ODD_SPECS[kind]))
            await trio.sleep(2 * NOTICED_S)
            for box in world.boxes.values():
                events = box.events("endpoint_not_understood")
                assert [line["endpoint"] for line in events] == [ODD_NAME]
                assert max(len(orjson.dumps(line)) for line in box.log()) < 4_000

        run_in_world(scenario, groups=[make_group()], boxes=BOXES)


class TestSeveralOddEntries:
    def test_the_others_hold_beside_all_kinds_at_once(self) -> None:
        async def scenario(world: World) -> None:
            for number, spec in enumerate(ODD_SPECS.values()):
                world.store.set("servers", f"odd-{number}", orjson.Fragment(spec))
            await trio.sleep(NOTICED_S)
            await check_others_hold(world)

        run_in_world(scenario, groups=[make_group()], boxes=BOXES)

    @pytest.mark.parametrize("name", ["odd name", "odd\r\nQUERY", "odd\x00", "x" * 3_000, "ö/?#%"])
    def test_a_name_that_fits_no_line_names_no_endpoint(self, name: str) -> None:
        async def scenario(world: World) -> None:
            world.store.set("servers", name, orjson.Fragment(entry(Address=b'"10.2.0.1:5"')))
            await trio.sleep(NOTICED_S)
            await check_others_hold(world)

        run_in_world(scenario, groups=[make_group()], boxes=BOXES)


class TestOtherKinds:
    """Odd objects among those of the boxes and in place of the configuration."""

    @pytest.mark.parametrize(
        "spec", [nested(900), nested(2_000), entry(address=nested(900)), b'"\\ud83d"', b"1e400"]
    )
    @pytest.mark.parametrize(("kind", "name"), [("wharftiller", "box.odd"), ("config", "main")])
    def test_the_boxes_serve_on(self, kind: str, name: str, spec: bytes) -> None:
        async def scenario(world: World) -> None:
            world.store.set(kind, name, orjson.Fragment(spec))
            await trio.sleep(2 * NOTICED_S)
            await check_others_hold(world)

        run_in_world(scenario, groups=[make_group()], boxes=BOXES)
