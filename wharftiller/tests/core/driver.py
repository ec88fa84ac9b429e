"""Test driver for the proxy's core: feeds inputs, records outputs, builds reports."""

from __future__ import annotations

import random
from typing import Any, TypeVar

from wharftiller.core.configuration import Configuration, EndpointSpec, GroupSpec, PoolSpec
from wharftiller.core.messages import (
    Action,
    Answer,
    AnswerCaller,
    BoxesListed,
    ConfigurationArrived,
    ConnectionOpened,
    EndpointAnswer,
    Input,
    Lane,
    OpenConnection,
    Output,
    Report,
    ReportArrived,
    Request,
    Role,
    SendStatement,
    StatementAnswered,
    StatementArrived,
    Verdict,
)
from wharftiller.core.positions import LogPosition, Session
from wharftiller.core.proxy import ProxyCore

T = TypeVar("T")

CONFIGURATION = Configuration(
    1,
    {"p": PoolSpec("p", ("g",), {"rila": "g", "pirin": "g"})},
    {
        "g": GroupSpec(
            "g",
            tuple(
                EndpointSpec(name, "hall-1", f"10.0.0.{n}:1", f"10.0.0.{n}:2")
                for n, name in enumerate("abc")
            ),
        )
    },
)


class Driver:
    """A core with group ``g``: ``a`` is primary of term 1, all servers are at index 5."""

    def __init__(self) -> None:
        self.core = ProxyCore("box-1", random.Random(1), list_lag_s=1.0)
        self.now = 100.0
        self.outputs: list[Output] = []
        self._key = 1000
        self.feed(ConfigurationArrived(CONFIGURATION))
        for _ in range(4):
            self.now += 1
            self.feed(BoxesListed(("box-1", "box-2"), self.now))
        self.report("a", role=Role.PRIMARY)
        self.report("b")
        self.report("c")

    def feed(self, message: Input) -> list[Output]:
        outputs = self.core.handle(message, self.now)
        self.outputs.extend(outputs)
        for output in outputs:
            if isinstance(output, OpenConnection):
                self.feed(ConnectionOpened(output.connection))
        return outputs

    def make_report(self, name: str, term: int = 1, position: int = 5, **fields: Any) -> Report:
        values: dict[str, Any] = {"promised": term, "log_term": term, "opened": 1, **fields}
        return Report(name, position=position, **values)

    def report(
        self, name: str, term: int = 1, position: int = 5, at: float | None = None, **fields: Any
    ) -> None:
        sent_at = self.now if at is None else at
        report = self.make_report(name, term, position, **fields)
        self.feed(ReportArrived(name, Lane.NOW, sent_at, report))

    def submit(self, action: Action = Action.READ, business: str = "rila", **fields: Any) -> int:
        """Submit a statement and return its key."""
        self._key += 1
        session = fields.pop("session", Session("p", business))
        request = Request(f"q{self._key}", "p", business, action, session, **fields)
        self.feed(StatementArrived(self._key, request))
        return self._key

    def sent(self) -> list[SendStatement]:
        return self._of(SendStatement)

    def answers(self) -> dict[int, Answer]:
        return {output.key: output.answer for output in self._of(AnswerCaller)}

    def _of(self, kind: type[T]) -> list[T]:
        return [output for output in self.outputs if isinstance(output, kind)]

    def answer(
        self, sent: SendStatement, report: Report, verdict: Verdict = Verdict.RAN, **fields: Any
    ) -> None:
        fields.setdefault("position", report.position)
        request_id = fields.pop("request_id", sent.request_id)
        answer = EndpointAnswer(request_id, verdict, report, **fields)
        self.feed(StatementAnswered(sent.connection, answer))

    def endpoint_of(self, sent: SendStatement) -> str:
        opened = [o for o in self._of(OpenConnection) if o.connection == sent.connection]
        return opened[0].endpoint


def session_at(term: int, index: int, business: str = "rila") -> Session:
    """Return a session that has read or written a position of group ``g``."""
    return Session("p", business, {"g": LogPosition(term, index)})
