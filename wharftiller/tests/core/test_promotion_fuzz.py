"""Property test: in any order of inputs, a steward promotes only from a fenced majority."""

from __future__ import annotations

from collections import defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from wharftiller.core.messages import ConfigurationArrived, Role, Tick
from wharftiller.core.steward_messages import (
    BoxesUpdated,
    GroupRecord,
    LeadState,
    Order,
    OrderAnswered,
    OrderLost,
    PlatformFailed,
    RecordConflict,
    RecordRead,
    RecordUpdated,
    SendOrder,
    ServerNotReporting,
    UpdateRecord,
)
from wharftiller.tests.core.driver import CONFIGURATION
from wharftiller.tests.core.test_promotion import Driver

numbers = st.integers(0, 50)
steps = st.lists(st.tuples(st.integers(0, 15), numbers, numbers), max_size=80)


class RandomInputs:
    """Turns numbers into inputs and records which servers were fenced for which term."""

    def __init__(self) -> None:
        self.driver = Driver()
        self.driver.lose_primary()
        self.driver.take_term()
        self.fenced: dict[int, dict[str, int]] = defaultdict(dict)
        self.version = 8
        self.checked = 0

    def step(self, kind: int, a: int, b: int) -> None:
        driver = self.driver
        name = "abc"[a % 3]
        match kind:
            case 0 | 1 | 2:
                driver.now += a / 25
                driver.feed(Tick())
            case 3 | 4:
                role = Role.PRIMARY if b % 5 == 0 else Role.REPLICA
                driver.report(name, term=1 + b % 3, position=a, role=role, primary_silent_ms=b * 99)
            case 5:
                driver.feed(ServerNotReporting(name, driver.now))
            case 6:
                state = list(LeadState)[b % 2]
                record = GroupRecord(a % 4, f"box-{b % 3}", state, name)
                driver.feed(RecordRead("g", self.version, record))
            case 7 | 8:
                self.version += 1
                driver.feed(RecordUpdated("g", self.version))
            case 9:
                driver.feed(RecordConflict("g") if a % 2 else PlatformFailed("g"))
            case 10 | 11 | 12 | 13:
                self.answer_order(a, b)
            case 14:
                driver.feed(BoxesUpdated({"box-1": "hall-1", f"box-{a % 3}": "hall-2"}))
            case _:
                driver.feed(ConfigurationArrived(CONFIGURATION))
        self.check()

    def answer_order(self, a: int, b: int) -> None:
        orders = self.driver.outputs_of(SendOrder)
        if not orders:
            return
        order = orders[-1 - a % min(len(orders), 4)]
        if b % 6 == 0:
            self.driver.feed(OrderLost("g", order.endpoint, order.order, order.term))
            return
        accepted = b % 7 != 0
        if accepted and order.order is Order.FENCE:
            self.fenced[order.term].setdefault(order.endpoint, b)
        position = self.fenced[order.term].get(order.endpoint, b)
        report = self.driver.make_report(order.endpoint, promised=order.term, position=position)
        self.driver.feed(
            OrderAnswered("g", order.endpoint, order.order, order.term, accepted, report)
        )

    def check(self) -> None:
        for output in self.driver.outputs[self.checked :]:
            if isinstance(output, SendOrder) and output.order is Order.PROMOTE:
                fenced = self.fenced[output.term]
                assert len(fenced) >= 2, output
                ahead = [name for name in fenced if fenced[name] > fenced[output.endpoint]]
                assert len(fenced) - len(ahead) >= 2, (output, fenced)
            if isinstance(output, UpdateRecord) and output.record.state is LeadState.TAKING:
                assert output.record.owner == "box-1"
        self.checked = len(self.driver.outputs)


class TestStewardCore:
    @given(steps)
    @settings(derandomize=True, max_examples=400, deadline=None, database=None)
    def test_promotes_only_from_a_fenced_majority(
        self, numbered: list[tuple[int, int, int]]
    ) -> None:
        inputs = RandomInputs()
        for kind, a, b in numbered:
            inputs.step(kind, a, b)
