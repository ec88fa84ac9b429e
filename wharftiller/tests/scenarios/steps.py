"""The steps of a scenario as data, and the parser that makes them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import lark

GRAMMAR = Path(__file__).with_name("scenario.lark")


@attrs.frozen
class Target:
    """A host or several: ``primary``, ``replica 2``, ``hall 1``, ``boxes`` or a name."""

    kind: str
    name: str = ""


@attrs.frozen
class Deploy:
    settings: dict[str, int]


@attrs.frozen
class Ask:
    kind: str
    business: str
    box: str
    options: dict[str, Any]
    name: str


@attrs.frozen
class Load:
    bookings_per_s: int
    lookups_per_s: int
    seconds: float
    options: dict[str, Any]
    name: str


@attrs.frozen
class Await:
    name: str


@attrs.frozen
class Wait:
    seconds: float


@attrs.frozen
class Name:
    name: str
    target: Target


@attrs.frozen
class Fault:
    """A fault of a kind, with its targets, a time and a number where it takes them."""

    kind: str
    targets: tuple[Target, ...] = ()
    others: tuple[Target, ...] = ()
    seconds: float = 0.0
    number: int = 0
    box: str = ""


@attrs.frozen
class Operate:
    kind: str
    box: str
    target: Target | None = None
    operator: str = "ops"
    name: str = ""
    plan: str = ""
    seconds: float = 0.0


@attrs.frozen
class Expect:
    """An expectation of a kind."""

    kind: str
    name: str = ""
    target: Target | None = None
    outcome: str = ""
    because: str | None = None
    seconds: float | None = None
    values: tuple[str, ...] = ()
    number: int = 0


Step = Deploy | Ask | Load | Await | Wait | Name | Fault | Operate | Expect


def seconds_of(text: str) -> float:
    """Return ``250ms`` or ``3s`` in seconds."""
    return int(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


class _Steps(lark.Transformer[lark.Token, Any]):
    """Turns the syntax tree into steps."""

    def start(self, steps: list[Any]) -> list[Any]:
        return [step for step in steps if step is not None]

    def proves(self, _: list[Any]) -> None:
        return None

    def setting(self, parts: list[Any]) -> tuple[str, int]:
        return str(parts[0]).replace("-", "_"), int(parts[1])

    def deploy(self, settings: list[Any]) -> Deploy:
        return Deploy(dict(settings))

    def ask(self, parts: list[Any]) -> Ask:
        kind, business, box, *options, name = parts
        return Ask(str(kind), str(business), box, dict(options), str(name))

    def load(self, parts: list[Any]) -> Load:
        bookings, lookups, seconds, *options, name = parts
        return Load(int(bookings), int(lookups), seconds_of(seconds), dict(options), str(name))

    def await_step(self, parts: list[Any]) -> Await:
        return Await(str(parts[0]))

    def wait_step(self, parts: list[Any]) -> Wait:
        return Wait(seconds_of(parts[0]))

    def name_step(self, parts: list[Any]) -> Name:
        return Name(str(parts[0]), parts[1])

    def box(self, parts: list[Any]) -> str:
        return str(parts[0])

    def outcome(self, parts: list[Any]) -> str:
        return str(parts[0])

    def value_list(self, parts: list[Any]) -> tuple[str, ...]:
        return tuple(str(part) for part in parts)

    def targets(self, parts: list[Any]) -> tuple[Target, ...]:
        return tuple(parts)

    def __default__(self, data: Any, children: list[Any], _: Any) -> Any:
        rule = str(data)
        if rule in _OPTIONS:
            return _OPTIONS[rule](children)
        if rule in _TARGETS:
            return Target(rule, str(children[0]) if children else "")
        if rule in _OPERATIONS:
            return _OPERATIONS[rule](children)
        if rule.startswith("expect_"):
            return _expect(rule.removeprefix("expect_"), children)
        return _fault(rule, children)


_OPTIONS: dict[str, Callable[[list[Any]], tuple[str, Any]]] = {
    "value": lambda parts: ("value", str(parts[0])),
    "key": lambda parts: ("key", str(parts[0])),
    "repeatable": lambda _: ("repeatable", True),
    "request_id": lambda parts: ("request_id", str(parts[0])),
    "deadline": lambda parts: ("deadline_ms", round(seconds_of(parts[0]) * 1000)),
    "max_age": lambda parts: ("max_age_ms", round(seconds_of(parts[0]) * 1000)),
    "latest": lambda _: ("max_age_ms", 0),
    "session_of": lambda parts: ("session_of", str(parts[0])),
    "in_transaction": lambda parts: ("in_transaction", str(parts[0])),
    "below": lambda parts: ("below", int(parts[0])),
    "by": lambda parts: ("by", str(parts[0])),
}
_TARGETS = {"primary", "replica", "all_boxes", "hall", "everything_else", "named"}
_OPERATIONS: dict[str, Callable[[list[Any]], Operate]] = {
    "change_primary": lambda parts: Operate("change_primary", parts[1], parts[0]),
    "drain": lambda parts: Operate("drain", parts[1], parts[0]),
    "plan_age": lambda parts: Operate(
        "plan_age", parts[1], None, str(parts[2]), str(parts[3]), seconds=seconds_of(parts[0])
    ),
    "confirm": lambda parts: Operate(
        "confirm", parts[1], None, str(parts[2]), str(parts[3]), plan=str(parts[0])
    ),
}


def _fault(kind: str, parts: list[Any]) -> Fault:
    fault = Fault(kind)
    for part in parts:
        match part:
            case tuple() if fault.targets:
                fault = attrs.evolve(fault, others=part)
            case tuple():
                fault = attrs.evolve(fault, targets=part)
            case Target():
                fault = attrs.evolve(fault, targets=(part,))
            case lark.Token(type="DURATION"):
                fault = attrs.evolve(fault, seconds=seconds_of(part))
            case lark.Token(type="NUMBER"):
                fault = attrs.evolve(fault, number=int(part))
            case str():
                fault = attrs.evolve(fault, box=part)
    return fault


def _expect(kind: str, parts: list[Any]) -> Expect:
    expect = Expect(kind)
    for part in parts:
        match part:
            case tuple():
                expect = attrs.evolve(expect, values=part)
            case Target():
                expect = attrs.evolve(expect, target=part)
            case lark.Token(type="NAME"):
                expect = attrs.evolve(expect, name=str(part))
            case lark.Token(type="DURATION"):
                expect = attrs.evolve(expect, seconds=seconds_of(part))
            case lark.Token(type="NUMBER"):
                expect = attrs.evolve(expect, number=int(part))
            case lark.Token(type="WORD"):
                expect = attrs.evolve(expect, because=str(part))
            case str():
                expect = attrs.evolve(expect, outcome=part)
    return expect


_parser = lark.Lark(GRAMMAR.read_text(encoding="utf-8"), parser="earley", maybe_placeholders=False)


def parse_scenario(text: str) -> list[Step]:
    """Return the steps of a scenario's text."""
    steps: list[Step] = _Steps().transform(_parser.parse("\n" + text.strip() + "\n"))
    return steps
