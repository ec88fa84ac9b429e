"""Invalid input on every port and from the platform must not interrupt the service."""

from __future__ import annotations

from pathlib import Path
from typing import Any, ClassVar

import orjson
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from wharftiller.core.errors import (
    BadRequestError,
    ConfigurationError,
    ExchangeError,
    PlatformUnavailableError,
)
from wharftiller.core.sessions.allowances import AllowanceBounds
from wharftiller.core.sessions.bounds import PlatformBounds
from wharftiller.core.sessions.connection_limits import BoxLimits, TooFewDescriptorsError
from wharftiller.core.sessions.routes import EndpointEntry
from wharftiller.edges.leadership_json import record_from_json
from wharftiller.edges.transport import TcpTransport
from wharftiller.platform.answers import StoredObject, parse_object
from wharftiller.platform.endpoint_entries import InvalidEndpointError, decode_endpoint
from wharftiller.platform.objects import decode_configuration
from wharftiller.platform.settings import PlatformSettingsError, load_settings
from wharftiller.tests.platform.world import World, run_in_world

JSON: st.SearchStrategy[Any] = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
KEYS = st.sampled_from(
    [
        "groups",
        "fence",
        "holder",
        "attempt",
        "Version",
        "Routes",
        "Services",
        "meta",
        "Name",
        "spec",
    ]
)

INVALID_INPUTS = [
    b"\x00\xff\xfe" * 50,
    b"GET / HTTP/1.1\r\n\r\n",
    b"CONNECT\r\n",
    b"CONNECT a b\r\nQUERY\r\n",
    b"x" * 1_100_000,
    b"POST /peer/round HTTP/1.1\r\ncontent-length: 3\r\n\r\n{]}",
    b'POST /peer/round HTTP/1.1\r\ncontent-length: 15\r\n\r\n{"revision":"x"}',
    b"POST /peer/record HTTP/1.1\r\ncontent-length: 2\r\n\r\n[]",
    b"POST /peer/stop HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}",
]


class TestPorts:
    @pytest.mark.parametrize("port", [1, 2, 3, 4, 5])
    def test_invalid_input_does_not_end_the_process(self, port: int) -> None:
        async def scenario(world: World) -> None:
            for data in INVALID_INPUTS:
                stream = await world.network.host("10.8.0.2").connect(f"10.1.0.1:{port}")
                with trio.move_on_after(1):
                    await stream.send_all(data)
                    while await stream.receive_some():
                        pass
                stream.close_now()  # type: ignore[attr-defined]
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"

        run_in_world(scenario, boxes=1)

    def test_many_silent_connections_do_not_stop_the_service(self) -> None:
        async def scenario(world: World) -> None:
            for _ in range(500):
                await world.network.host("10.8.0.2").connect("10.1.0.1:1")
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"

        run_in_world(scenario, boxes=1)

    def test_running_out_of_descriptors_is_an_exchange_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def no_descriptors(*_: Any) -> Any:
            raise OSError(24, "Too many open files")

        monkeypatch.setattr(trio.socket, "socket", no_descriptors)
        with pytest.raises(ExchangeError, match="Too many open files"):
            trio.run(TcpTransport().connect, "127.0.0.1:1")


class TestObjects:
    def test_invalid_objects_are_skipped(self) -> None:
        async def scenario(world: World) -> None:
            world.store.set("servers", "strange", {"Service": None})
            world.store.set("servers", "stranger", 7)
            world.store.set("config", "main", {"Version": 9})
            world.store.set("wharftiller", "box.odd", ["odd"])
            await trio.sleep(2)
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"
            box = world.boxes["box-1"]
            assert box.events("configuration_not_understood")
            assert box.events("endpoint_not_understood")

        run_in_world(scenario)

    @given(st.dictionaries(KEYS, JSON) | JSON)
    def test_a_record_is_read_or_refused(self, value: Any) -> None:
        try:
            record_from_json(value, 1)
        except BadRequestError:
            return

    @given(st.dictionaries(KEYS, JSON) | JSON)
    def test_an_object_is_read_or_refused(self, value: Any) -> None:
        try:
            parse_object(value)
        except PlatformUnavailableError:
            return

    @given(st.dictionaries(KEYS, JSON) | JSON)
    def test_a_configuration_is_read_or_refused(self, value: Any) -> None:
        try:
            decode_configuration(value)
        except ConfigurationError:
            return


class TestSettings:
    SETTINGS: ClassVar[dict[str, Any]] = {
        "Node": "box-1",
        "Zone": "a",
        "Ip": "10.1.0.1",
        "Listen": {"Front": "10.1.0.1:1", "Ready": "10.1.0.1:2", "Control": "10.1.0.1:3"},
        "InternalPorts": [7440, 7455],
        "Seeds": ["10.1.0.1:3"],
        "platform": {"Address": "10.9.0.1:80"},
        "CloudApi": {"Address": "10.9.0.1:80"},
        "Bounds": {"GraceS": 6},
        "Unknown": {"is": "ignored"},
    }

    def test_settings_are_read(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(orjson.dumps(self.SETTINGS))
        settings = load_settings(str(path))
        assert (settings.box, settings.relay, settings.bounds.grace_s) == (
            "box-1",
            "10.1.0.1:7440",
            6.0,
        )

    @pytest.mark.parametrize("missing", sorted(set(SETTINGS) - {"Unknown", "Seeds"}))
    def test_a_missing_field_is_named(self, missing: str, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(orjson.dumps({k: v for k, v in self.SETTINGS.items() if k != missing}))
        with pytest.raises(PlatformSettingsError, match=missing):
            load_settings(str(path))

    def test_bounds_are_decoded_into_seconds(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        bounds = {"GraceS": 3, "DrainMs": 3500, "ConfigApplyMs": 1500.0}
        path.write_bytes(orjson.dumps({**self.SETTINGS, "Bounds": bounds}))
        assert load_settings(str(path)).bounds == PlatformBounds(3.0, 3.5, 1.5)

    @pytest.mark.parametrize("bounds", [[], 7, "none", None, ["GraceS"]])
    def test_bounds_that_are_not_a_table_are_refused(self, bounds: Any, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(orjson.dumps({**self.SETTINGS, "Bounds": bounds}))
        with pytest.raises(PlatformSettingsError):
            load_settings(str(path))

    @pytest.mark.parametrize("name", ["GraceS", "DrainMs", "ConfigApplyMs"])
    @pytest.mark.parametrize("value", [None, 0, -5, "7000", True, 10**9, [7000]])
    def test_an_invalid_bound_is_named_with_the_valid_range(
        self, name: str, value: Any, tmp_path: Path
    ) -> None:
        path = tmp_path / "settings.json"
        bounds = {"GraceS": 6, "DrainMs": 7000, "ConfigApplyMs": 3000, name: value}
        path.write_bytes(orjson.dumps({**self.SETTINGS, "Bounds": bounds}))
        with pytest.raises(PlatformSettingsError, match=rf"Bounds\.{name} is .*; give a number"):
            load_settings(str(path))

    @pytest.mark.parametrize(
        ("contract", "name"), [("drain", "DrainMs"), ("config", "ConfigApply")]
    )
    def test_a_bound_of_a_contract_in_force_must_be_stated(
        self, contract: str, name: str, tmp_path: Path
    ) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(orjson.dumps({**self.SETTINGS, "Contracts": ["base", contract]}))
        with pytest.raises(PlatformSettingsError, match=name):
            load_settings(str(path))

    QUOTA: ClassVar[dict[str, Any]] = {
        "Contracts": ["base", "quota"],
        "Zones": {"a": "sofia", "b": "sofia"},
        "Bounds": {"GraceS": 6, "QuotaWindowS": 5, "QuotaOverrun": 0.1, "QuotaSlack": 20},
    }

    def test_bounds_of_allowances_are_read(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(orjson.dumps({**self.SETTINGS, **self.QUOTA}))
        bounds = load_settings(str(path)).bounds.allowances
        assert bounds == AllowanceBounds(5.0, 0.1, 20.0, ("a", "b"))

    @pytest.mark.parametrize("name", ["QuotaWindowS", "QuotaOverrun", "QuotaSlack"])
    @pytest.mark.parametrize("value", [None, -1, "5", True])
    def test_an_invalid_bound_of_allowances_is_named(
        self, name: str, value: Any, tmp_path: Path
    ) -> None:
        path = tmp_path / "settings.json"
        bounds = {**self.QUOTA["Bounds"], name: value}
        path.write_bytes(orjson.dumps({**self.SETTINGS, **self.QUOTA, "Bounds": bounds}))
        with pytest.raises(PlatformSettingsError, match=rf"Bounds\.{name} is .*; give a number"):
            load_settings(str(path))

    @pytest.mark.parametrize("zones", [None, {}, {"b": "sofia"}])
    def test_allowances_need_every_data_centre_listed(self, zones: Any, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(orjson.dumps({**self.SETTINGS, **self.QUOTA, "Zones": zones}))
        with pytest.raises(PlatformSettingsError, match=r"Zones lists .* this box's a"):
            load_settings(str(path))

    def test_limits_are_read(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(
            orjson.dumps({**self.SETTINGS, "Limits": {"MaxFds": 700, "MemoryMb": 152}})
        )
        assert load_settings(str(path)).limits == BoxLimits(700, 200, 152.0)

    @pytest.mark.parametrize("name", ["MaxFds", "MemoryMb"])
    @pytest.mark.parametrize("value", ["700", 0, -5, True, []])
    def test_an_invalid_limit_is_named(self, name: str, value: Any, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(orjson.dumps({**self.SETTINGS, "Limits": {name: value}}))
        with pytest.raises(PlatformSettingsError, match=rf"Limits\.{name} is .*; give a number"):
            load_settings(str(path))

    def test_a_limit_below_the_minimum_of_a_box_is_refused(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(orjson.dumps({**self.SETTINGS, "Limits": {"MaxFds": 300}}))
        with pytest.raises(TooFewDescriptorsError, match=r"300 .* allowed, 312 are needed"):
            load_settings(str(path))

    @pytest.mark.parametrize("content", [b"", b"{", b"[]", b"null"])
    def test_a_file_without_settings_is_refused(self, content: bytes, tmp_path: Path) -> None:
        path = tmp_path / "settings.json"
        path.write_bytes(content)
        with pytest.raises(PlatformSettingsError):
            load_settings(str(path))


class TestEndpointEntries:
    """Objects of the endpoints' kind, valid and invalid."""

    VALID: ClassVar[dict[str, Any]] = {
        "Service": "seats",
        "Address": "10.2.0.1:5",
        "Zone": "a",
        "State": "ready",
        "DbRole": "replica",
        "Slots": 5,
        "Seq": 3,
        "born": 1_783_081_736_000,
    }

    def decode(self, spec: Any) -> EndpointEntry:
        return decode_endpoint(StoredObject("one", 1, spec), PlatformBounds())

    def test_a_valid_entry_is_decoded(self) -> None:
        entry = self.decode(self.VALID)
        assert (entry.group, entry.leads, entry.started_ms) == ("seats", False, 1_783_081_736_000)

    @pytest.mark.parametrize("name", ["Service", "Address", "Zone", "State", "DbRole"])
    @pytest.mark.parametrize("value", [None, "", 7, True, [], {}])
    def test_a_field_of_another_type_is_refused(self, name: str, value: Any) -> None:
        with pytest.raises(InvalidEndpointError):
            self.decode({**self.VALID, name: value})

    @pytest.mark.parametrize("name", ["Address", "State", "DbRole"])
    @pytest.mark.parametrize("value", ["starting", "\ud800"])
    def test_an_unknown_role_or_state_is_refused(self, name: str, value: str) -> None:
        with pytest.raises(InvalidEndpointError):
            self.decode({**self.VALID, name: value})

    @pytest.mark.parametrize("value", ["1783081736000", 1.5, True, []])
    def test_a_start_time_that_is_not_a_whole_number_is_refused(self, value: Any) -> None:
        with pytest.raises(InvalidEndpointError, match="born is no whole number"):
            self.decode({**self.VALID, "born": value})

    @given(st.dictionaries(st.sampled_from([*VALID, "more"]), JSON) | JSON)
    def test_any_value_is_decoded_or_refused(self, change: Any) -> None:
        spec = {**self.VALID, **change} if isinstance(change, dict) else change
        try:
            self.decode(spec)
        except InvalidEndpointError:
            return

    def test_invalid_entries_are_skipped_and_logged_once(self) -> None:
        async def scenario(world: World) -> None:
            for number, spec in enumerate(
                [7, None, {"Service": 1}, {**self.VALID, "State": "odd"}]
            ):
                world.store.set("servers", f"strange-{number}", spec)
            for _ in range(5):
                world.register(world.groups[0].servers[1])
                world.store.set("servers", "strange-0", 7)
                await trio.sleep(1.0)
            caller = await world.open_session(world.boxes["box-1"], "primary")
            assert (await caller.execute("WRITE seat1 anna"))[0] == "ROW written"
            logged = world.boxes["box-1"].events("endpoint_not_understood")
            # Logged once per revision of an entry, not with every list.
            assert len([line for line in logged if line["endpoint"] == "strange-1"]) == 1

        run_in_world(scenario)
