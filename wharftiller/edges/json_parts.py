"""Split JSON text into the raw texts of its parts, to decode each on its own.

The parts are found by their brackets and strings alone, without recursion: they may be nested to
any depth, hold numbers of any length, and bytes that are no UTF-8.
"""

from __future__ import annotations

import re
from typing import Any

import attrs
import orjson

_TOKEN = re.compile(
    rb'(?:\{\s*"[^"\\{}\[\]]*"\s*:\s*)+'
    rb'|"[^"\\]*(?:\\.[^"\\]*)*"'
    rb"|[\[{]+"
    rb"|[\]}]+"
    rb"|[,:]",
    re.DOTALL,
)
"""Openings of tables within tables, strings, runs of opening and closing brackets, separators.

The runs keep deep nesting cheap: they are one token each.
"""


@attrs.frozen
class Unreadable:
    """A part that cannot be decoded, and why."""

    why: str


def decode_part(raw: bytes) -> Any:
    """Return the value of one part, or `Unreadable`."""
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        return Unreadable(error.msg)


def split_list(raw: bytes) -> list[bytes]:
    """Return the raw text of each element of a list.

    Raises
    ------
    ValueError
        If it is no list, or its brackets do not match.
    """
    return [raw[start:end].strip() for start, _, end in _parts(raw, b"[", b"]")]


def split_table(raw: bytes) -> dict[str, bytes]:
    """Return the raw text of each field of a table by its name, without names that are unreadable.

    Raises
    ------
    ValueError
        If it is no table, or its brackets do not match.
    """
    fields: dict[str, bytes] = {}
    for start, colon, end in _parts(raw, b"{", b"}"):
        if colon is None:
            raise ValueError("a field has no value")
        name = decode_part(raw[start:colon])
        if isinstance(name, str):
            fields[name] = raw[colon + 1 : end].strip()
    return fields


def _parts(raw: bytes, opening: bytes, closing: bytes) -> list[tuple[int, int | None, int]]:
    """Return where each part starts and ends, and where its first colon is."""
    first = len(raw) - len(raw.lstrip())
    last = len(raw.rstrip()) - 1
    if raw[first : first + 1] != opening or raw[last : last + 1] != closing:
        raise ValueError(f"expected a text from {opening.decode()} to {closing.decode()}")
    parts: list[tuple[int, int | None, int]] = []
    depth, start, colon = 1, first + 1, None
    for token in _TOKEN.finditer(raw, first + 1, last + 1):
        mark = token[0][:1]
        if mark in b"[{":
            depth += token[0].count(b"{") + token[0].count(b"[")
        elif mark in b"]}":
            depth -= len(token[0])
            if depth < 0 or (depth == 0 and token.end() <= last):
                raise ValueError("its brackets do not match")
        elif depth == 1 and mark == b",":
            parts.append((start, colon, token.start()))
            start, colon = token.end(), None
        elif depth == 1 and mark == b":" and colon is None:
            colon = token.start()
    if depth != 0:
        raise ValueError("its brackets do not match")
    if raw[start:last].strip():
        parts.append((start, colon, last))
    return parts
