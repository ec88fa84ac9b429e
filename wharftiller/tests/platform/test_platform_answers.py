"""Decoding of lists and watches in which some objects cannot be decoded."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.edges.json_parts import Unreadable
from wharftiller.platform.answers import ERA_REVISIONS, parse_changes, parse_page

SOUND = b'{"meta":{"Name":"a","Revision":3,"Finalizers":[]},"spec":{"x":1},"status":null}'
ODD_SPEC = b'{"meta":{"Name":"b","Revision":4,"Finalizers":[]},"spec":{"x":1e400},"status":null}'
ODD_META = b'{"meta":{"Name":"c","Revision":5,"Finalizers":["\\ud83d"]},"spec":{"x":2}}'
ODD_NAME = b'{"meta":{"Name":"\\ud83d","Revision":6},"spec":{"x":3}}'
NO_OBJECTS = [b"7", b"null", b"{}", b'{"meta":{"Name":["a"],"Revision":1}}', b'"\\ud83d"', ODD_NAME]
ODD_REVISIONS = [b"-1", b"1e300", b"true", b'"4"', str(ERA_REVISIONS).encode(), b"null"]


def page(*items: bytes, revision: bytes = b"9") -> bytes:
    return b'{"items":[' + b",".join(items) + b'],"MorePages":true,"CurrentRev":' + revision + b"}"


def changes(*objects: bytes, revision: bytes = b"9") -> bytes:
    events = b",".join(b'{"Tombstone":false,"Object":' + each + b"}" for each in objects)
    return b'{"events":[' + events + b'],"CurrentRev":' + revision + b"}"


class TestPage:
    def test_an_object_whose_fields_cannot_be_decoded_keeps_its_name(self) -> None:
        found = parse_page(page(SOUND, ODD_SPEC, ODD_META), 1)
        assert [item.name for item in found.items] == ["a", "b", "c"]
        assert found.items[0].spec == {"x": 1}
        assert isinstance(found.items[1].spec, Unreadable)
        assert found.items[2].spec == {"x": 2}
        assert (found.revision, found.has_more) == (ERA_REVISIONS + 9, True)

    @pytest.mark.parametrize("odd", NO_OBJECTS)
    @pytest.mark.parametrize("beside", [(SOUND,), (SOUND, ODD_SPEC)])
    def test_one_without_a_name_is_left_out(self, odd: bytes, beside: tuple[bytes, ...]) -> None:
        found = parse_page(page(odd, *beside), 0)
        assert len(found.items) == len(beside)
        assert len(found.left_out) == 1

    @pytest.mark.parametrize("revision", ODD_REVISIONS)
    def test_one_with_an_odd_revision_is_left_out(self, revision: bytes) -> None:
        odd = b'{"meta":{"Name":"b","Revision":' + revision + b'},"spec":{}}'
        found = parse_page(page(odd, SOUND), 0)
        assert [item.name for item in found.items] == ["a"]

    @pytest.mark.parametrize("revision", [*ODD_REVISIONS, b"1e400"])
    def test_a_page_without_a_revision_is_refused(self, revision: bytes) -> None:
        with pytest.raises(PlatformUnavailableError):
            parse_page(page(SOUND, revision=revision), 0)

    @pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"items":7,"CurrentRev":1}', b"\xff"])
    def test_a_body_that_is_no_page_is_refused(self, body: bytes) -> None:
        with pytest.raises(PlatformUnavailableError):
            parse_page(body, 0)


class TestChanges:
    def test_changes_keep_their_order_beside_odd_ones(self) -> None:
        found = parse_changes(changes(SOUND, ODD_SPEC, ODD_NAME, ODD_META), 0)
        assert [(gone, changed.name) for gone, changed in found.changes] == [
            (False, "a"),
            (False, "b"),
            (False, "c"),
        ]
        assert isinstance(found.changes[1][1].spec, Unreadable)
        assert len(found.left_out) == 1

    @pytest.mark.parametrize("odd", NO_OBJECTS)
    def test_one_without_a_name_is_left_out(self, odd: bytes) -> None:
        found = parse_changes(changes(odd, SOUND), 0)
        assert [changed.name for _, changed in found.changes] == ["a"]

    def test_an_answer_as_the_platform_writes_it_is_decoded_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def split(*_: Any) -> Any:
            raise AssertionError("a sound answer is split")

        monkeypatch.setattr("wharftiller.platform.answers._decode_by_element", split)
        value = {"events": [{"Tombstone": True, "Object": orjson.Fragment(SOUND)}], "CurrentRev": 9}
        found = parse_changes(orjson.dumps(value), 2)
        assert found.changes[0][0]
        assert found.revision == 2 * ERA_REVISIONS + 9
