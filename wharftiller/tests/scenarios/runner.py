"""Runs a scenario's steps on a deployment in virtual time."""

from __future__ import annotations

import itertools
from pathlib import Path
from typing import Any

import trio

from wharftiller.core.messages import Tick
from wharftiller.tests.fakes.ledger import assert_ledger
from wharftiller.tests.fakes.world import POOL, Size, Told, World, run_world
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

ANSWER_S = 70.0


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
        self._answers: dict[str, list[Told]] = {}
        self._done: dict[str, trio.Event] = {}
        self._names: dict[str, str] = {}
        self._plans: dict[str, Any] = {}

    async def run(self, step: Step) -> None:
        match step:
            case Deploy():
                return
            case Ask():
                self._begin(step.name)
                self._world.nursery.start_soon(self._ask, step)
                await trio.sleep(0)
            case Load():
                self._begin(step.name)
                self._world.nursery.start_soon(self._load, step)
            case Await(name):
                await self._answered(name)
            case Wait(seconds):
                await trio.sleep(seconds)
            case Name(name, target):
                self._names[name] = self._host(target)
            case Fault():
                await self._fault(step)
            case Operate():
                await self._operate(step)
            case Expect():
                await self._expect(step)

    # Callers ------------------------------------------------------------

    def _begin(self, name: str) -> None:
        assert name not in self._done, f"{name} is named twice"
        self._answers[name] = []
        self._done[name] = trio.Event()

    async def _answered(self, name: str) -> list[Told]:
        with trio.fail_after(ANSWER_S):
            await self._done[name].wait()
        return self._answers[name]

    async def _ask(self, step: Ask) -> None:
        options = dict(step.options)
        after = None
        session_of = options.pop("session_of", None)
        if session_of is not None:
            after = (await self._answered(session_of))[-1]
        in_transaction = options.pop("in_transaction", None)
        if in_transaction is not None:
            told = (await self._answered(in_transaction))[-1]
            options["transaction"] = told.body["transaction"]
        fields = _statement(step.kind, options, step.name)
        told = await self._world.ask(step.box, step.business, after, **fields)
        self._answers[step.name].append(told)
        self._done[step.name].set()

    async def _load(self, step: Load) -> None:
        """Ask at a steady rate through every box, whatever the answers."""
        per_s = step.bookings_per_s + step.lookups_per_s
        total = round(per_s * step.seconds)
        boxes = list(self._world.boxes)
        async with trio.open_nursery() as nursery:
            for number in range(total):
                booking = number * step.bookings_per_s // per_s != (
                    (number + 1) * step.bookings_per_s // per_s
                )
                kind = "book" if booking else "read"
                box = boxes[number % len(boxes)]
                nursery.start_soon(self._load_one, step, kind, box, number)
                await trio.sleep(1 / per_s)
        self._done[step.name].set()

    async def _load_one(self, step: Load, kind: str, box: str, number: int) -> None:
        options = dict(step.options)
        businesses = (options.pop("by"),) if "by" in options else self._world.size.businesses
        if kind == "book":
            options.pop("max_age_ms", None)
        fields = _statement(kind, options, f"{step.name}-{number}")
        business = businesses[number % len(businesses)]
        told = await self._world.ask(box, business, **fields)
        self._answers[step.name].append(told)

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

    def _hosts(self, targets: tuple[Target, ...], besides: tuple[str, ...] = ()) -> list[str]:
        ips: list[str] = []
        world = self._world
        for target in targets:
            match target.kind:
                case "all_boxes":
                    ips.extend(box.ip for box in world.boxes.values())
                case "hall":
                    place = int(target.name) - 1
                    ips.extend(ip for ip, centre in world.centres.items() if centre == place)
                case "everything_else":
                    ips.extend(ip for ip in world.ips.values() if ip not in besides)
                case _:
                    ips.append(world.ips[self._host(target)])
        return ips

    async def _fault(self, fault: Fault) -> None:
        world = self._world
        hosts = self._hosts(fault.targets)
        names = [self._host(target) for target in fault.targets]
        match fault.word:
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
                await self._control({"outage": True})
            case "back":
                await self._control({"outage": False, "slow_ms": 0})
            case "slow":
                await self._control({"slow_ms": round(fault.seconds * 1000)})
            case "lose":
                await self._control({"lose_answers": fault.number})
            case "pause_steward":
                self._pause_steward(fault.box, fault.seconds)

    def _kill(self, name: str) -> None:
        world = self._world
        if name in world.boxes:
            world.kill_box(name)
        else:
            world.endpoints[name].freeze()
            world.network.kill(world.ips[name])

    async def _control(self, body: dict[str, Any]) -> None:
        for name, value in body.items():
            setattr(self._world.platform.faults, name, value)

    def _pause_steward(self, box: str, seconds: float) -> None:
        """Have the steward see and do nothing, then go on with what has come meanwhile."""
        steward = self._world.boxes[box].steward
        handle = steward.core.handle
        held: list[Any] = []

        def paused(message: Any, now: float) -> Any:
            if not isinstance(message, Tick):
                held.append(message)
            return []

        steward.core.handle = paused  # type: ignore[method-assign]

        async def resume() -> None:
            await trio.sleep(seconds)
            steward.core.handle = handle  # type: ignore[method-assign]
            for message in held:
                steward.feed(message)

        self._world.nursery.start_soon(resume)

    # Operators ----------------------------------------------------------

    async def _operate(self, step: Operate) -> None:
        world = self._world
        match step.word:
            case "change_primary" | "drain":
                assert step.target is not None
                kind = "drain_endpoint" if step.word == "drain" else "change_primary"
                endpoint = self._host(step.target)
                intent: dict[str, Any] = {
                    "kind": kind,
                    "group": endpoint[:-2],
                    "endpoint": endpoint,
                }
                await world.intend(intent, step.box)
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
        match expect.word:
            case "outcome":
                _assert_outcome((await self._answered(expect.name))[-1], expect)
            case "result":
                told = (await self._answered(expect.name))[-1]
                assert (told.body.get("result") or []) == list(expect.values), told.body
            case "replica":
                told = (await self._answered(expect.name))[-1]
                assert told.body.get("endpoint") not in (None, world.primary()), told
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
                leads = [each.database.leads_in for each in world.endpoints.values()]
                assert max(leads) == expect.number, leads
            case "in_force":
                await self._in_force(expect)
            case "no_work":
                await self._no_work(expect)
            case "gap":
                await self._gap(expect)
            case "all":
                outcomes = {told.outcome for told in await self._answered(expect.name)}
                assert outcomes == {expect.outcome}, self._odd_answers(expect)
            case "ledger":
                assert_ledger(world)

    def _odd_answers(self, expect: Expect) -> list[Any]:
        return [told.body for told in self._answers[expect.name] if told.outcome != expect.outcome][
            :3
        ]

    async def _in_force(self, expect: Expect) -> None:
        def everywhere() -> bool:
            return all(
                box.proxy.core.tables.configuration.generation == expect.number
                for box in self._world.boxes.values()
            )

        await self._world.until(everywhere, expect.seconds or 0)

    async def _no_work(self, expect: Expect) -> None:
        assert expect.target is not None
        endpoint = self._world.endpoints[self._host(expect.target)]
        before = endpoint.statements
        await trio.sleep(expect.seconds or 0)
        assert endpoint.statements == before, endpoint.statements - before

    async def _gap(self, expect: Expect) -> None:
        """Check the longest time between two acknowledged bookings of a load."""
        told = await self._answered(expect.name)
        at = sorted(each.at for each in told if each.kind == "write" and each.outcome == "done")
        longest = max(later - earlier for earlier, later in itertools.pairwise(at))
        assert expect.seconds is not None
        assert longest < expect.seconds, longest


def _assert_outcome(told: Told, expect: Expect) -> None:
    assert told.outcome == expect.outcome, told.body
    if expect.because is not None:
        assert told.body.get("reason") == expect.because, told.body
    if expect.seconds is not None:
        assert told.at - told.asked_at <= expect.seconds, told.at - told.asked_at


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
