"""API keys of workspaces: identification of callers, changes of keys, and their secrecy."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest
import trio

from standins.line_endpoints import LineServer
from wharftiller.core.errors import ConfigurationError
from wharftiller.core.sessions.bounds import PlatformBounds
from wharftiller.core.sessions.routes import PrimaryReads, Route
from wharftiller.core.sessions.statements import Access, Direct, RefusalKind, Statement
from wharftiller.edges.forwarded_json import (
    ForwardedStatement,
    reply_from_json,
    statement_to_json,
)
from wharftiller.edges.http_client import HttpClient
from wharftiller.platform.objects import decode_configuration
from wharftiller.tests.platform.test_gateways import forwarding_boxes
from wharftiller.tests.platform.world import (
    GROUP,
    BoxProcess,
    World,
    configuration,
    make_group,
    run_in_world,
    tenant,
)

RILA, VITOSHA, PIRIN = "key-of-rila-7f3a91c2", "key-of-vitosha-0be4", "key-of-pirin-55d1"
TENANTS = [tenant("rila", RILA), tenant("vitosha", VITOSHA)]
IN_FORCE_S = PlatformBounds().configuration_in_force_s


def run_with_workspaces(
    scenario: Callable[[World], Awaitable[None]], *, boxes: int = 3, **changes: Any
) -> None:
    """Run ``scenario`` with a configuration that requires keys."""

    async def run_configured(world: World) -> None:
        world.configure(2, Tenants=TENANTS)
        await trio.sleep(IN_FORCE_S)
        await scenario(world)

    run_in_world(run_configured, boxes=boxes, groups=[make_group(**changes)])


def server_that_ran(world: World, request_id: str) -> LineServer:
    """Return the only server that ran a statement."""
    servers = [each for group in world.groups for each in group.servers]
    (found,) = [each for each in servers if request_id in each.client_by_request]
    return found


def first_box(world: World) -> BoxProcess:
    return world.boxes["box-1"]


class TestIdentification:
    def test_endpoints_receive_the_workspace_of_every_statement(self) -> None:
        async def scenario(world: World) -> None:
            for number, (key, name) in enumerate([(RILA, "rila"), (VITOSHA, "vitosha")] * 3):
                caller = await world.open_session(first_box(world), "read_own_writes", key=key)
                for kind, text in [("w", "WRITE seat1 anna"), ("r", "READ seat1")]:
                    request_id = f"{kind}{number}"
                    assert "COMPLETE" in (await caller.execute(text, request_id))[1]
                    assert server_that_ran(world, request_id).client_by_request[request_id] == name

        run_with_workspaces(scenario)

    def test_forwarded_statements_keep_their_workspace(self) -> None:
        async def scenario(world: World) -> None:
            box = forwarding_boxes(world, "a")[0]
            for key, name in [(RILA, "rila"), (VITOSHA, "vitosha"), (RILA, "rila")]:
                caller = await world.open_session(box, "primary", key=key)
                await caller.execute("BEGIN")
                request_id = f"{name}-in-transaction"
                assert (await caller.execute("WRITE seat1 anna", request_id))[0] == "ROW written"
                assert server_that_ran(world, request_id).client_by_request[request_id] == name
                assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE")
                caller.close()

        run_with_workspaces(scenario, boxes=9, max_connections=10)

    def test_an_unknown_key_opens_no_session(self) -> None:
        async def scenario(world: World) -> None:
            _, line = await world.request_session(first_box(world), "primary", key="garbage")
            assert line is not None
            assert line.startswith("ERROR NOAUTH")

        run_with_workspaces(scenario)

    def test_a_route_that_needs_no_key_serves_callers_without_one(self) -> None:
        async def scenario(world: World) -> None:
            document = configuration(3, world.groups, Tenants=TENANTS)
            for route in document["Routes"]:
                route["AuthExempt"] = route["Kind"] == "bounded_staleness"
            world.store.set("config", "main", document)
            await trio.sleep(IN_FORCE_S)
            caller = await world.open_session(first_box(world), "bounded_staleness", key="anybody")
            assert (await caller.execute("READ seat1"))[0].startswith("ROW")
            _, line = await world.request_session(first_box(world), "primary", key="anybody")
            assert str(line).startswith("ERROR NOAUTH")

        run_with_workspaces(scenario)


class TestStatementsWithoutWorkspace:
    def test_a_forwarded_statement_without_a_workspace_is_refused(self) -> None:
        async def scenario(world: World) -> None:
            forwarded = ForwardedStatement(
                "box-2",
                None,
                Route("r-1", f"{GROUP}-primary", GROUP, PrimaryReads(), 0.8, 0.2, 1),
                Statement("id-1", "READ seat1", Direct(Access.READ)),
                0.0,
                {},
            )
            client = HttpClient(world.network.host("10.8.0.1"), f"{first_box(world).ip}:3")
            answer = await client.request(
                "POST", "/peer/run", statement_to_json(forwarded), timeout_s=1.0
            )
            refusal = reply_from_json(answer.json()).reply.refusal
            assert refusal is not None
            assert refusal.kind is RefusalKind.UNKNOWN_KEY
            await client.aclose()

        run_with_workspaces(scenario)


class TestKeyChanges:
    def test_a_revoked_key_runs_nothing_once_the_version_is_in_force(self) -> None:
        async def scenario(world: World) -> None:
            callers = [
                await world.open_session(box, "primary", key=RILA) for box in world.boxes.values()
            ]
            world.configure(3, Tenants=[tenant("rila", PIRIN), tenant("vitosha", VITOSHA)])
            await trio.sleep(IN_FORCE_S)
            for number, caller in enumerate(callers):
                lines = await caller.execute("READ seat1", f"late-{number}")
                assert lines[0].startswith("ERROR NOAUTH"), lines
                assert lines[-1].startswith("READY I")
                assert (await caller.execute("BEGIN"))[0].startswith("ERROR NOAUTH")
            assert not any(
                each.client_by_request.keys() & {"late-0"} for each in world.groups[0].servers
            )

        run_with_workspaces(scenario)

    def test_an_open_transaction_ends_under_the_workspace_it_began_with(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(first_box(world), "primary", key=RILA)
            await caller.execute("BEGIN")
            await caller.execute("WRITE seat1 anna")
            world.configure(3, Tenants=[tenant("vitosha", VITOSHA)])
            await trio.sleep(2.0)
            assert (await caller.execute("COMMIT"))[0].startswith("COMPLETE")
            assert (await caller.execute("READ seat1"))[0].startswith("ERROR NOAUTH")

        run_with_workspaces(scenario)

    def test_an_open_session_follows_a_key_that_changes_workspaces(self) -> None:
        async def scenario(world: World) -> None:
            caller = await world.open_session(first_box(world), "primary", key=RILA)
            await caller.execute("WRITE seat1 anna", "before")
            world.configure(3, Tenants=[tenant("rila"), tenant("vitosha", VITOSHA, RILA)])
            await trio.sleep(IN_FORCE_S)
            await caller.execute("WRITE seat1 boris", "after")
            client_by_request = world.groups[0].primary.client_by_request
            assert (client_by_request["before"], client_by_request["after"]) == ("rila", "vitosha")

        run_with_workspaces(scenario)

    def test_a_key_added_is_served_on_every_box(self) -> None:
        async def scenario(world: World) -> None:
            world.configure(3, Tenants=[*TENANTS, tenant("pirin", PIRIN)])
            await trio.sleep(IN_FORCE_S)
            for box in world.boxes.values():
                caller = await world.open_session(box, "primary", key=PIRIN)
                assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"

        run_with_workspaces(scenario, boxes=9, max_connections=10)


class TestKeysAreSecrets:
    def test_no_key_is_logged_shown_or_sent_to_an_endpoint_or_box(self) -> None:
        async def scenario(world: World) -> None:
            garbage = "garbage-key-1c2d"
            for box in world.boxes.values():
                caller = await world.open_session(box, "primary", key=RILA)
                await caller.execute("WRITE seat1 anna")
                await caller.execute("nonsense")
                await world.request_session(box, "primary", key=garbage)
                await world.request_session(box, "nowhere", key=VITOSHA)
            world.configure(3, Tenants=[tenant("rila", RILA), tenant("vitosha", RILA)])
            await trio.sleep(IN_FORCE_S)
            texts = [bytes(box.lines).decode() for box in world.boxes.values()]
            for box in world.boxes.values():
                assert box.events("configuration_not_understood")
                texts.append(json.dumps(box.log()))
                proxy = box.process.proxy
                assert proxy is not None
                texts.append(orjson.dumps(proxy.state.configuration.document).decode())
                texts.append(repr(proxy.state.configuration))
                metrics = await world.network.host("10.8.0.1").connect(f"{box.ip}:5")
                await metrics.send_all(b"GET /metrics HTTP/1.1\r\ncontent-length: 0\r\n\r\n")
                with trio.move_on_after(0.5):
                    while data := await metrics.receive_some():
                        texts.append(data.decode())
            for server in world.groups[0].servers:
                texts += server.client_by_request.values()
            assert not [key for key in (RILA, VITOSHA, garbage) for text in texts if key in text]

        run_with_workspaces(scenario)


class TestDecoding:
    """Documents with invalid workspaces are refused."""

    @pytest.mark.parametrize(
        ("tenants", "named"),
        [
            (None, "Tenants"),
            ([{"ApiKeys": [RILA]}], "Name"),
            ([{"Name": "rila"}], "KeyDigests"),
            ([{"Name": "rila", "ApiKeys": [RILA], "RatePerS": RILA}], "ValueError"),
            ([{"Name": "rila", "ApiKeys": 7}], "TypeError"),
            ([RILA], "AttributeError"),
            ([tenant("rila", RILA), tenant("vitosha", RILA)], "share the key"),
            ([tenant("rila", RILA), tenant("rila", VITOSHA)], "two workspaces"),
        ],
    )
    def test_it_is_refused_with_an_error_that_contains_no_key(
        self, tenants: Any, named: str
    ) -> None:
        document = configuration(2, [make_group(GROUP)])
        if tenants is not None:
            document["Tenants"] = tenants
        with pytest.raises(ConfigurationError, match=named) as caught:
            decode_configuration(document, needs_workspaces=True)
        assert RILA not in str(caught.value)

    def test_a_document_sent_to_peers_decodes_to_the_same(self) -> None:
        document = configuration(2, [make_group(GROUP)], Tenants=TENANTS)
        decoded = decode_configuration(document)
        again = decode_configuration(decoded.document)
        assert again == decoded
        assert again.document == decoded.document

    def test_a_deployment_without_workspaces_needs_no_keys(self) -> None:
        assert decode_configuration(configuration(2, [make_group(GROUP)])).workspaces is None
