"""The admin daemon: turns operators' intents into plans and applies confirmed plans."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable
from typing import Any

import attrs
import trio

from wharftiller.core.configuration import Configuration, configuration_faults
from wharftiller.core.errors import (
    AuthenticationError,
    BadRequestError,
    ConfigurationError,
    ExpiredPlanError,
    StalePlanError,
    UnknownPathError,
    UnknownPlanError,
)
from wharftiller.core.intents import (
    INTENT_KINDS,
    ChangePrimary,
    DrainEndpoint,
    Intent,
    apply_intent,
    differences,
)
from wharftiller.edges.codec import from_caller, from_peer, to_json
from wharftiller.edges.configuration_store import ConfigurationStore, StoredConfiguration
from wharftiller.edges.http_server import HttpRequest, HttpResponse, serve_stream
from wharftiller.edges.platform import ConflictError, PlatformClient, StoredObject
from wharftiller.edges.transport import Transport
from wharftiller.keys import bearer
from wharftiller.logs import component_log
from wharftiller.settings import Settings

MAX_CONFIRM_ATTEMPTS = 2
MAX_CHANGES_NAMED = 5
MAX_DIFFERENCES = 200


@attrs.frozen
class Plan:
    """The changes an intent would make; stored in the platform, also as the audit entry.

    Attributes
    ----------
    base_generation : int
        Generation that the plan was made for.
    planned_at, expires_at, confirmed_at : float
        Seconds since 1970; ``confirmed_at`` is 0 until the plan is confirmed.
    generation : int
        Generation that the plan created; 0 until it is confirmed.
    """

    plan: str
    operator: str
    intent: dict[str, Any]
    base_generation: int
    differences: list[str]
    checks: list[str]
    planned_at: float
    expires_at: float
    confirmed_by: str = ""
    confirmed_at: float = 0.0
    generation: int = 0


def plan_key(plan: str) -> str:
    """Return the key of a plan's object; its id starts with its day."""
    day, _, rest = plan.partition("-")
    return f"audit/{day}/plan-{rest}"


class AdminDaemon:
    """Serves the operators' HTTP interface.

    Parameters
    ----------
    wall_clock : callable
        Returns seconds since 1970, for expiry and the audit trail.
    """

    def __init__(
        self,
        settings: Settings,
        transport: Transport,
        *,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._wall_clock = wall_clock
        self._log = component_log("admin", settings.box.name)
        self._platform = PlatformClient(transport, settings.platform.address)
        self._store = ConfigurationStore(self._platform)

    async def run(self, task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            listen = self._settings.admin.listen
            address = await nursery.start(self._transport.serve, listen, self._serve)
            self._log.info(f"listens on {address}")
            task_status.started(address)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        await serve_stream(stream, self._handle)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/ready":
            return HttpResponse(200, {"ready": True})
        operator = self._operator(request)
        parts = request.path.strip("/").split("/")
        match (request.method, parts):
            case ("POST", ["plans"]):
                return HttpResponse(201, to_json(await self.make_plan(request.json(), operator)))
            case ("GET", ["plans", plan]):
                return HttpResponse(200, to_json((await self._read_plan(plan))[0]))
            case ("POST", ["plans", plan, "confirm"]):
                return HttpResponse(200, to_json(await self.confirm(plan, operator)))
            case ("GET", ["configuration"]):
                return HttpResponse(200, to_json((await self._store.load()).configuration))
            case ("GET", ["status"]):
                return HttpResponse(200, await self._status())
            case ("GET", ["groups"]):
                return HttpResponse(200, await self._groups())
            case ("GET", ["boxes"]):
                boxes = await self._platform.boxes()
                return HttpResponse(200, [to_json(box) for box in boxes])
            case ("GET", ["audit"]):
                return HttpResponse(200, await self._audit(request.query))
            case (method, _):
                raise UnknownPathError(
                    f"no {method} {request.path}; use POST /plans, POST /plans/ID/confirm, "
                    "GET /status, /groups, /boxes, /audit or /configuration"
                )

    def _operator(self, request: HttpRequest) -> str:
        name = request.headers.get("x-operator", "")
        self._settings.keys.check("operator", name, bearer(request.headers))
        if name not in self._settings.admin.operators:
            raise AuthenticationError(
                f"operator {name!r} is not listed in 'admin.operators'. Add the name there"
            )
        return name

    # Plans --------------------------------------------------------------

    async def make_plan(self, body: Any, operator: str) -> Plan:
        """Make the plan of an intent and store it in the platform.

        Raises
        ------
        BadRequestError, ConfigurationError
            If the intent is malformed or breaks rules; the message names every broken rule.
        """
        intent = read_intent(body)
        stored = await self._store.load()
        now = self._wall_clock()
        name = f"{_day(now)}-{uuid.uuid4().hex[:12]}"
        target = apply_intent(stored.configuration, intent, name)
        faults = configuration_faults(target)
        if faults:
            raise ConfigurationError(" ".join(faults))
        plan = Plan(
            plan=name,
            operator=operator,
            intent=body,
            base_generation=stored.head.generation,
            differences=_differences(stored.configuration, target),
            checks=["every rule of pools and groups holds", *_warnings(intent)],
            planned_at=now,
            expires_at=now + self._settings.admin.plan_expires_s,
        )
        await self._platform.update(plan_key(name), to_json(plan), 0)
        self._log.info(f"{operator} planned {name}", fields={"plan": name})
        return plan

    async def _read_plan(self, plan: str) -> tuple[Plan, StoredObject]:
        stored = await self._platform.read(plan_key(plan))
        if stored is None:
            raise UnknownPlanError(f"no plan {plan!r}; 'wharfctl audit' lists the plans of a day")
        return from_peer(stored.value, Plan), stored

    async def confirm(self, name: str, operator: str) -> Plan:
        """Apply a plan; confirming it again has no effect.

        Raises
        ------
        StalePlanError
            If other changes were applied since the plan was made; the message names them.
        ExpiredPlanError
            If the plan has expired.
        """
        plan, stored_plan = await self._read_plan(name)
        if plan.generation:
            return plan
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            stored = await self._store.load()
            generation = stored.head.generation_of(name)
            if generation is None:
                generation = await self._apply(plan, stored)
            if generation is not None:
                return await self._record_confirmation(plan, stored_plan, generation, operator)
        raise StalePlanError(
            f"plan {name!r} was not applied: other changes were applied meanwhile. Plan again"
        )

    async def _apply(self, plan: Plan, stored: StoredConfiguration) -> int | None:
        if stored.head.generation != plan.base_generation:
            raise StalePlanError(await self._describe_newer_changes(plan, stored))
        if self._wall_clock() > plan.expires_at:
            raise ExpiredPlanError(f"plan {plan.plan!r} has expired. Plan again and confirm sooner")
        target = apply_intent(stored.configuration, read_intent(plan.intent), plan.plan)
        try:
            return await self._store.replace(stored, target, plan.plan)
        except ConflictError:
            return None

    async def _describe_newer_changes(self, plan: Plan, stored: StoredConfiguration) -> str:
        newer = [each for each in stored.head.applied if each.generation > plan.base_generation]
        summaries = []
        for applied in newer[-MAX_CHANGES_NAMED:]:
            other = await self._platform.read(plan_key(applied.plan))
            value = other.value if other else {}
            lines = "; ".join(value.get("differences", [])[:MAX_CHANGES_NAMED])
            summaries.append(f"{applied.plan} by {value.get('operator', 'someone')}: {lines}")
        return (
            f"plan {plan.plan!r} was made for generation {plan.base_generation}, but "
            f"{stored.head.generation} is in force. "
            f"Changed since: {' | '.join(summaries)}. Plan again"
        )

    async def _record_confirmation(
        self, plan: Plan, stored: StoredObject, generation: int, operator: str
    ) -> Plan:
        confirmed = attrs.evolve(
            plan,
            confirmed_by=operator,
            confirmed_at=self._wall_clock(),
            generation=generation,
        )
        try:
            await self._platform.update(plan_key(plan.plan), to_json(confirmed), stored.version)
        except ConflictError:
            return (await self._read_plan(plan.plan))[0]
        self._log.info(f"{operator} confirmed {plan.plan}", fields={"generation": generation})
        return confirmed

    # Views --------------------------------------------------------------

    async def _status(self) -> dict[str, Any]:
        stored = await self._store.load()
        boxes = await self._platform.boxes()
        in_force: dict[str, int] = {}
        for summary in await self._platform.list_objects("status/"):
            for box, generation in summary.value.items():
                in_force[box] = max(generation, in_force.get(box, 0))
        generation = stored.head.generation
        rows = [
            {
                "box": box.name,
                "data_centre": box.data_centre,
                "leaving": box.leaving,
                "generation": in_force.get(box.name, 0),
            }
            for box in boxes
        ]
        current = sum(1 for row in rows if row["generation"] == generation)
        return {"generation": generation, "in_force_on": current, "boxes": rows}

    async def _groups(self) -> list[dict[str, Any]]:
        stored = await self._store.load()
        rows = []
        for name, spec in sorted(stored.configuration.groups.items()):
            record = await self._platform.read(f"groups/{name}")
            rows.append({"group": to_json(spec), "record": record.value if record else None})
        return rows

    async def _audit(self, query: dict[str, str]) -> list[Any]:
        day = query.get("day") or _day(self._wall_clock())
        entries = await self._platform.list_objects(f"audit/{day}/")
        values = [entry.value for entry in entries]
        return sorted(values, key=lambda value: value.get("planned_at") or value.get("at", 0))


def read_intent(body: Any) -> Intent:
    """Return the intent of a JSON object with a ``kind``.

    Raises
    ------
    BadRequestError
        If the kind is unknown or a field is invalid; the message names what is accepted.
    """
    kind = body.get("kind") if isinstance(body, dict) else None
    if kind not in INTENT_KINDS:
        raise BadRequestError(f"kind is {kind!r}; use one of {sorted(INTENT_KINDS)}")
    fields = {name: value for name, value in body.items() if name != "kind"}
    intent: Intent = from_caller(fields, INTENT_KINDS[kind])
    return intent


def _differences(old: Configuration, new: Configuration) -> list[str]:
    lines = differences(_configuration_json(old), _configuration_json(new))
    if len(lines) > MAX_DIFFERENCES:
        more = len(lines) - MAX_DIFFERENCES
        lines = [*lines[:MAX_DIFFERENCES], f"and {more} more"]
    return lines


def _configuration_json(configuration: Configuration) -> dict[str, Any]:
    return {"pools": to_json(configuration.pools), "groups": to_json(configuration.groups)}


def _warnings(intent: Intent) -> list[str]:
    match intent:
        case DrainEndpoint():
            return ["the group goes on with two servers; a failure then stops its writes"]
        case ChangePrimary():
            return ["transactions that outlast their length limit are rolled back"]
        case _:
            return []


def _day(at: float) -> str:
    return time.strftime("%Y%m%d", time.gmtime(at))
