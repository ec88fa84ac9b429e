"""Open-loop load on a deployment in virtual time."""

from __future__ import annotations

import random
from typing import Any

import attrs
import trio

from benchmarks.model import Mix
from wharftiller.core.errors import ExchangeError
from wharftiller.edges.http_client import HttpClient
from wharftiller.keys import bearer_header
from wharftiller.tests.fakes.world import CLIENT, KEYS, POOL, World

DEADLINE_MS = 2_000


@attrs.frozen
class Sample:
    """A finished request and its outcome.

    Attributes
    ----------
    took_s : float
        Time from sending the request to its reply, in seconds.
    """

    kind: str
    business: str
    sent_at: float
    took_s: float
    outcome: str
    endpoint: str | None
    reason: str = ""

    @property
    def answered_at(self) -> float:
        """Time of the reply, in seconds of the virtual clock."""
        return self.sent_at + self.took_s


@attrs.define
class Load:
    """Sends requests at random times, without waiting for replies, over reused connections.

    Attributes
    ----------
    samples : list of Sample
        Every finished request, in order of completion.
    """

    world: World
    mix: Mix
    random: random.Random
    businesses: tuple[str, ...]
    name: str = "load"
    repeatable: bool = False
    deadline_ms: int = DEADLINE_MS
    samples: list[Sample] = attrs.field(factory=list)
    _idle: dict[str, list[HttpClient]] = attrs.field(factory=dict)
    _sessions: dict[str, str] = attrs.field(factory=dict)
    _sent_count: int = 0

    async def run(self, seconds: float) -> None:
        """Send requests for ``seconds`` and wait for the replies."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_at_rate, nursery, "write", self.mix.bookings, seconds)
            nursery.start_soon(self._send_at_rate, nursery, "read", self.mix.lookups, seconds)

    async def _send_at_rate(
        self, nursery: trio.Nursery, kind: str, per_s: float, seconds: float
    ) -> None:
        end = trio.current_time() + seconds
        while per_s and trio.current_time() < end:
            await trio.sleep(self.random.expovariate(per_s))
            nursery.start_soon(self._send, kind)

    def _build_body(self, kind: str, business: str) -> dict[str, Any]:
        self._sent_count += 1
        body: dict[str, Any] = {
            "pool": POOL,
            "business": business,
            "request_id": f"{self.name}-{self._sent_count}",
            "kind": kind,
            "deadline_ms": self.deadline_ms,
        }
        if kind == "write":
            body["statement"] = {"put": f"tour-{self._sent_count % 50}", "value": self._sent_count}
            body["repeatable"] = self.repeatable
            return body
        body["statement"] = {"get": f"tour-{self.random.randrange(50)}"}
        draw = self.random.random()
        if draw < self.mix.latest_share:
            body["max_age_ms"] = 0
        else:
            body["max_age_ms"] = self.mix.max_age_ms
            if draw < self.mix.latest_share + self.mix.session_share:
                body["session"] = self._sessions.get(business)
        return body

    async def _send(self, kind: str) -> None:
        business = self.random.choice(self.businesses)
        box = self.random.choice(sorted(self.world.boxes))
        body = self._build_body(kind, business)
        headers = bearer_header(KEYS.mint("business", f"{POOL}/{business}"))
        sent_at = trio.current_time()
        client = await self._idle_client(box)
        try:
            response = await client.request(
                "POST", "/statements", body, headers, timeout_s=self.deadline_ms / 1000 + 1
            )
            reply = response.json()
            self._idle[box].append(client)
        except ExchangeError:
            reply = {"outcome": "lost"}
        if kind == "write" and reply["outcome"] == "done":
            self._sessions[business] = reply["session"]
        sample_kind = kind if kind == "write" or body["max_age_ms"] else "latest"
        took_s = trio.current_time() - sent_at
        self.samples.append(
            Sample(
                sample_kind,
                business,
                sent_at,
                took_s,
                reply["outcome"],
                reply.get("endpoint"),
                reply.get("reason", ""),
            )
        )

    async def _idle_client(self, box: str) -> HttpClient:
        idle = self._idle.setdefault(box, [])
        if idle:
            return idle.pop()
        return HttpClient(self.world.network.host(CLIENT), f"{self.world.ips[box]}:7100")

    def durations_ms(self, kind: str, outcome: str = "done") -> list[float]:
        """Return the durations of the requests of a kind with an outcome, in milliseconds."""
        return [
            sample.took_s * 1000
            for sample in self.samples
            if sample.kind == kind and sample.outcome == outcome
        ]
