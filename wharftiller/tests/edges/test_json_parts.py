"""Splitting JSON text into the raw texts of its parts."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wharftiller.edges.json_parts import Unreadable, decode_part, split_list, split_table

JSON: st.SearchStrategy[Any] = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)


class TestSplitList:
    @given(st.lists(JSON, max_size=6), st.sampled_from([0, orjson.OPT_INDENT_2]))
    def test_the_elements_are_those_of_a_decoder(self, value: list[Any], option: int) -> None:
        raw = orjson.dumps(value, option=option)
        assert [orjson.loads(part) for part in split_list(raw)] == value

    def test_an_unreadable_element_harms_no_other(self) -> None:
        raw = b'[1, "\\ud83d", ' + b"[" * 5_000 + b"]" * 5_000 + b', 1e400, "\xff,]", {"a": [2]}]'
        values = [decode_part(part) for part in split_list(raw)]
        assert [type(value) is Unreadable for value in values] == [False, *[True] * 4, False]
        assert (values[0], values[-1]) == (1, {"a": [2]})

    @pytest.mark.parametrize(
        "raw", [b"", b"[", b"]", b"[1", b"1]", b"[[1]", b"[1]]", b"{}", b"[]]["]
    )
    def test_brackets_that_do_not_match_are_refused(self, raw: bytes) -> None:
        with pytest.raises(ValueError, match=r"expected a text|do not match"):
            split_list(raw)


class TestSplitTable:
    def test_brackets_in_names_and_texts_do_not_count(self) -> None:
        value = {"a": {"[": {"{": {"b]": {"}": ["]", "{", ",", ":", '"', "\\"]}}}}, "c": 1}
        fields = split_table(orjson.dumps(value))
        assert {name: orjson.loads(part) for name, part in fields.items()} == value

    @given(st.dictionaries(st.text(max_size=8), JSON, max_size=6))
    def test_the_fields_are_those_of_a_decoder(self, value: dict[str, Any]) -> None:
        fields = split_table(orjson.dumps(value))
        assert {name: orjson.loads(part) for name, part in fields.items()} == value

    def test_a_name_that_is_unreadable_is_left_out(self) -> None:
        assert split_table(b'{"\\ud83d": 1, "a": {"b": ":"}}') == {"a": b'{"b": ":"}'}

    def test_a_field_without_a_value_is_refused(self) -> None:
        with pytest.raises(ValueError, match="no value"):
            split_table(b'{"a"}')
