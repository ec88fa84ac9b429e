"""Runs a scenario's steps on a deployment in virtual time."""

from __future__ import annotations

import itertools
from pathlib import Path
from typing import Any

import trio

from wharftiller.core.messages import Tick
from wharftiller.tests.fakes.ledger import assert_ledger
from wharftiller.tests.fakes.world import POOL, Exchange, Size, World, run_world
from wharftiller.tests.scenarios.steps import (
    Ask,
    Await,
    Deploy,
    Expect,
    Fault,
    Load,
    Name,
    Operate,
    Step,
    Target,
    Wait,
    parse_scenario,
)

ANSWER_TIMEOUT_S = 70.0


def run_scenario(path: Path, seed: int = 1) -> None:
    """Run the scenario of a file; an expectation that fails raises AssertionError."""
    steps = parse_scenario(path.read_text(encoding="utf-8"))
    settings: dict[str, Any] = {}
    for step in steps:
        if isinstance(step, Deploy):
            settings |= step.settings

    async def scenario(world: World) -> None:
        runner = _Runner(world)
        for number, step in enumerate(steps, start=1):
            try:
                await runner.run(step)
            except AssertionError as error:
                raise AssertionError(f"{path.name}, step {number} {step}: {error}") from error

    run_world(scenario, Size(**settings), seed)


class _Runner:
    def __init__(self, world: World) -> None:
        self._world = world
        self._exchanges: dict[str, list[Exchange]] = {}
        self._finished: dict[str, trio.Event] = {}
        self._names: dict[str, str] = {}
        self._plans: dict[str, Any] = {}

    async def run(self, step: Step) -> None:
        match step:
            case Deploy():
                return
            case Ask():
                self._register(step.name)
                self._world.nursery.start_soon(self._ask, step)
                await trio.sleep(0)
            case Load():
                self._register(step.name)
                self._world.nursery.start_soon(self._load, step)
            case Await(name):
                await self._wait_for_answers(name)
            case Wait(seconds):
                await trio.sleep(seconds)
            case Name(name, target):
                self._names[name] = self._host(target)
            case Fault():
                await self._inject(step)
            case Operate():
                await self._operate(step)
            case Expect():
                await self._expect(step)

    # Callers ------------------------------------------------------------

    def _register(self, name: str) -> None:
        assert name not in self._finished, f"{name} is named twice"
        self._exchanges[name] = []
        self._finished[name] = trio.Event()

    async def _wait_for_answers(self, name: str) -> list[Exchange]:
        with trio.fail_after(ANSWER_TIMEOUT_S):
            await self._finished[name].wait()
        return self._exchanges[name]

    async def _ask(self, step: Ask) -> None:
        options = dict(step.options)
        after = None
        session_of = options.pop("session_of", None)
        if session_of is not None:
            after = (await self._wait_for_answers(session_of))[-1]
        in_transaction = options.pop("in_transaction", None)
        if in_transaction is not None:
            begun = (await self._wait_for_answers(in_transaction))[-1]
            options["transaction"] = begun.body["transaction"]
        fields = _statement(step.kind, options, step.name)
        exchange = await self._world.ask(step.box, step.business, after, **fields)
        self._exchanges[step.name].append(exchange)
        self._finished[step.name].set()

    async def _load(self, step: Load) -> None:
        """Send requests at a steady rate through every box, whatever the replies."""
        per_s = step.bookings_per_s + step.lookups_per_s
        total = round(per_s * step.seconds)
        boxes = list(self._world.boxes)
        async with trio.open_nursery() as nursery:
            for number in range(total):
                is_booking = number * step.bookings_per_s // per_s != (
                    (number + 1) * step.bookings_per_s // per_s
                )
                kind = "book" if is_booking else "read"
                box = boxes[number % len(boxes)]
                nursery.start_soon(self._load_one, step, kind, box, number)
                await trio.sleep(1 / per_s)
        self._finished[step.name].set()

    async def _load_one(self, step: Load, kind: str, box: str, number: int) -> None:
        options = dict(step.options)
        businesses = (options.pop("by"),) if "by" in options else self._world.size.businesses
        if kind == "book":
            options.pop("max_age_ms", None)
        fields = _statement(kind, options, f"{step.name}-{number}")
        business = businesses[number % len(businesses)]
        exchange = await self._world.ask(box, business, **fields)
        self._exchanges[step.name].append(exchange)

    # Hosts --------------------------------------------------------------

    def _host(self, target: Target) -> str:
        match target.kind:
            case "primary":
                return self._world.primary()
            case "replica":
                names = [f"group-1-{letter}" for letter in "abc"]
                replicas = [name for name in names if name != self._world.primary()]
                return replicas[int(target.name) - 1]
            case _:
                return self._names.get(target.name, target.name)

    def _hosts(self, targets: tuple[Target, ...], excluded: tuple[str, ...] = ()) -> list[str]:
        ips: list[str] = []
        world = self._world
        for target in targets:
            match target.kind:
                case "all_boxes":
                    ips.extend(box.ip for box in world.boxes.values())
                case "hall":
                    hall = int(target.name) - 1
                    ips.extend(ip for ip, index in world.data_centre_of.items() if index == hall)
                case "everything_else":
                    ips.extend(ip for ip in world.ips.values() if ip not in excluded)
                case _:
                    ips.append(world.ips[self._host(target)])
        return ips

    async def _inject(self, fault: Fault) -> None:
        world = self._world
        hosts = self._hosts(fault.targets)
        names = [self._host(target) for target in fault.targets]
        match fault.kind:
            case "kill":
                self._kill(names[0])
            case "freeze":
                world.network.freeze(hosts[0])
            case "thaw":
                world.network.thaw(hosts[0])
            case "cut":
                world.network.cut(hosts, self._hosts(fault.others, tuple(hosts)))
            case "heal":
                world.network.heal()
            case "lag":
                world.endpoints[names[0]].options.lag_ms = fault.seconds * 1000
            case "hold":
                world.endpoints[names[0]].hold_writes()
            case "release":
                world.endpoints[names[0]].release_writes()
            case "break_connections":
                world.network.break_streams(hosts[0])
            case "replace":
                await world.replace_box(names[0])
            case "stop":
                world.boxes[names[0]].proxy.stop()
            case "outage":
                await self._set_platform_faults({"outage": True})
            case "back":
                await self._set_platform_faults({"outage": False, "slow_ms": 0})
            case "slow":
                await self._set_platform_faults({"slow_ms": round(fault.seconds * 1000)})
            case "lose":
                await self._set_platform_faults({"lose_answers": fault.number})
            case "pause_steward":
                self._pause_steward(fault.box, fault.seconds)

    def _kill(self, name: str) -> None:
        world = self._world
        if name in world.boxes:
            world.kill_box(name)
        else:
            world.endpoints[name].freeze()
            world.network.kill(world.ips[name])

    async def _set_platform_faults(self, body: dict[str, Any]) -> None:
        for name, value in body.items():
            setattr(self._world.platform.faults, name, value)

    def _pause_steward(self, box: str, seconds: float) -> None:
        """Buffer the steward's inputs but for ticks, then let it handle them."""
        steward = self._world.boxes[box].steward
        handle = steward.core.handle
        buffered: list[Any] = []

        def buffer_input(message: Any, now: float) -> Any:
            if not isinstance(message, Tick):
                buffered.append(message)
            return []

        steward.core.handle = buffer_input  # type: ignore[method-assign]

        async def resume() -> None:
            await trio.sleep(seconds)
            steward.core.handle = handle  # type: ignore[method-assign]
            for message in buffered:
                steward.feed(message)

        self._world.nursery.start_soon(resume)

    # Operators ----------------------------------------------------------

    async def _operate(self, step: Operate) -> None:
        world = self._world
        match step.kind:
            case "change_primary" | "drain":
                assert step.target is not None
                kind = "drain_endpoint" if step.kind == "drain" else "change_primary"
                endpoint = self._host(step.target)
                intent: dict[str, Any] = {
                    "kind": kind,
                    "group": endpoint[:-2],
                    "endpoint": endpoint,
                }
                await world.plan_and_confirm(intent, step.box)
            case "plan_age":
                rule = {"max_age_ms": round(step.seconds * 1000)}
                intent = {"kind": "change_pool", "name": POOL, "read_rule": rule}
                self._plans[step.name] = await world.admin(
                    "POST", "/plans", intent, step.box, step.operator
                )
            case "confirm":
                plan = self._plans[step.plan]["plan"]
                self._plans[step.name] = await world.admin(
                    "POST", f"/plans/{plan}/confirm", None, step.box, step.operator
                )

    # Expectations -------------------------------------------------------

    async def _expect(self, expect: Expect) -> None:
        world = self._world
        match expect.kind:
            case "outcome":
                _assert_outcome((await self._wait_for_answers(expect.name))[-1], expect)
            case "result":
                exchange = (await self._wait_for_answers(expect.name))[-1]
                assert (exchange.body.get("result") or []) == list(expect.values), exchange.body
            case "replica":
                exchange = (await self._wait_for_answers(expect.name))[-1]
                assert exchange.body.get("endpoint") not in (None, world.primary()), exchange
            case "error":
                assert self._plans[expect.name].get("error") == expect.because, self._plans
            case "generation":
                assert self._plans[expect.name].get("generation") == expect.number, self._plans
            case "primary_not":
                assert expect.target is not None
                assert world.primary() != self._host(expect.target)
            case "primary_is":
                assert expect.target is not None
                assert world.primary() == self._host(expect.target)
            case "term":
                leads = [each.database.leading_term for each in world.endpoints.values()]
                assert max(leads) == expect.number, leads
            case "in_force":
                await self._expect_in_force(expect)
            case "no_work":
                await self._expect_no_work(expect)
            case "gap":
                await self._expect_gap(expect)
            case "all":
                outcomes = {each.outcome for each in await self._wait_for_answers(expect.name)}
                assert outcomes == {expect.outcome}, self._unexpected_replies(expect)
            case "ledger":
                assert_ledger(world)

    def _unexpected_replies(self, expect: Expect) -> list[Any]:
        return [
            each.body for each in self._exchanges[expect.name] if each.outcome != expect.outcome
        ][:3]

    async def _expect_in_force(self, expect: Expect) -> None:
        def is_in_force() -> bool:
            return all(
                box.proxy.core.tables.configuration.generation == expect.number
                for box in self._world.boxes.values()
            )

        await self._world.wait_until(is_in_force, expect.seconds or 0)

    async def _expect_no_work(self, expect: Expect) -> None:
        assert expect.target is not None
        endpoint = self._world.endpoints[self._host(expect.target)]
        before = endpoint.statements
        await trio.sleep(expect.seconds or 0)
        assert endpoint.statements == before, endpoint.statements - before

    async def _expect_gap(self, expect: Expect) -> None:
        """Check the longest time between two acknowledged bookings of a load."""
        exchanges = await self._wait_for_answers(expect.name)
        at = sorted(
            each.replied_at for each in exchanges if each.kind == "write" and each.outcome == "done"
        )
        longest = max(later - earlier for earlier, later in itertools.pairwise(at))
        assert expect.seconds is not None
        assert longest < expect.seconds, longest


def _assert_outcome(exchange: Exchange, expect: Expect) -> None:
    assert exchange.outcome == expect.outcome, exchange.body
    if expect.because is not None:
        assert exchange.body.get("reason") == expect.because, exchange.body
    if expect.seconds is not None:
        assert exchange.replied_at - exchange.sent_at <= expect.seconds, (
            exchange.replied_at - exchange.sent_at
        )


def _statement(kind: str, options: dict[str, Any], name: str) -> dict[str, Any]:
    """Return the fields of a caller's statement."""
    fields = dict(options)
    key = fields.pop("key", "tour")
    value = fields.pop("value", name)
    below = fields.pop("below", None)
    match kind:
        case "book":
            statement = {"append": key, "value": value}
            if below is not None:
                statement["below"] = below
            return {"kind": "write", "statement": statement, **fields}
        case "read":
            return {"kind": "read", "statement": {"get": key}, **fields}
        case _:
            return {"kind": kind, **fields}
