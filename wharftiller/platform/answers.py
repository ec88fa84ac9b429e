"""Decode lists and watches of the platform object by object.

Objects of another writer may hold anything. One that cannot be decoded is left out, or has no
fields if its name and revision can be read; the others hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import orjson

from wharftiller.core.errors import PlatformUnavailableError
from wharftiller.edges.json_parts import Unreadable, decode_part, split_list, split_table

if TYPE_CHECKING:
    from collections.abc import Callable

ERA_REVISIONS = 2**40
"""Number of revisions reserved for one era.

After a restoration the platform continues from the backup's revision and assigns the same numbers
to other changes. Combined with the era, a revision is unique and increases over restorations.
"""


@attrs.frozen
class StoredObject:
    """One object of the platform.

    Attributes
    ----------
    revision : int
        Revision of its last change, combined with the era; see `ERA_REVISIONS`.
    spec : Any
        Its decoded fields; `Unreadable` if they cannot be decoded.
    """

    name: str
    revision: int
    spec: Any


@attrs.frozen
class ObjectPage:
    """A page of a list.

    Attributes
    ----------
    left_out : tuple of str
        Why objects without a readable name or revision were left out.
    """

    items: list[StoredObject]
    revision: int
    has_more: bool
    left_out: tuple[str, ...] = ()


@attrs.frozen
class WatchedChanges:
    """The changes returned by a watch.

    Attributes
    ----------
    changes : list of (bool, StoredObject)
        Whether the object was deleted, and its last state.
    revision : int
        Revision after the changes.
    left_out : tuple of str
        Why changes of objects without a readable name or revision were left out.
    """

    changes: list[tuple[bool, StoredObject]]
    revision: int
    left_out: tuple[str, ...] = ()


def era_of(revision: int) -> int:
    """Return the era of ``revision``."""
    return revision // ERA_REVISIONS


def parse_object(value: Any, era: int = 0) -> StoredObject:
    """Decode an object of the platform, read in ``era``.

    Raises
    ------
    PlatformUnavailableError
        If ``value`` has no readable name or revision.
    """
    try:
        meta = value["meta"]
        name, revision = meta["Name"], _revision(meta["Revision"], era)
        spec = value.get("spec")
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformUnavailableError(f"invalid object: {error!r}") from None
    if not isinstance(name, str):
        raise PlatformUnavailableError("invalid object: its name is no text")
    return StoredObject(name, revision, spec)


def parse_page(body: bytes, era: int) -> ObjectPage:
    """Decode a page of a list, read in ``era``.

    Raises
    ------
    PlatformUnavailableError
        If the page as a whole cannot be decoded.
    """
    value = _decode(body, "items", decode_object)
    items: list[StoredObject] = []
    left_out: list[str] = []
    for item in value.get("items") or ():
        try:
            items.append(parse_object(item, era))
        except PlatformUnavailableError as error:
            left_out.append(str(error))
    revision = _whole_revision(value, era)
    return ObjectPage(items, revision, bool(value.get("MorePages")), tuple(left_out))


def parse_changes(body: bytes, era: int) -> WatchedChanges:
    """Decode the answer of a watch that began in ``era``; raises like `parse_page`."""
    value = _decode(body, "events", _decode_event)
    changes: list[tuple[bool, StoredObject]] = []
    left_out: list[str] = []
    for event in value.get("events") or ():
        try:
            changes.append((bool(event.get("Tombstone")), parse_object(event["Object"], era)))
        except (KeyError, TypeError, AttributeError) as error:
            left_out.append(f"invalid change: {error!r}")
        except PlatformUnavailableError as error:
            left_out.append(str(error))
    return WatchedChanges(changes, _whole_revision(value, era), tuple(left_out))


def _decode(body: bytes, field: str, decode_element: Callable[[bytes], Any]) -> dict[str, Any]:
    """Decode a body, whose list ``field`` is decoded element by element if need be."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        value = _decode_by_element(body, field, decode_element, error.msg)
    if not isinstance(value, dict):
        raise PlatformUnavailableError("invalid answer: it is not a table of fields")
    if not isinstance(value.get(field) or [], list):
        raise PlatformUnavailableError(f"invalid answer: its {field} are no list")
    return value


def _decode_by_element(
    body: bytes, field: str, decode_element: Callable[[bytes], Any], why: str
) -> dict[str, Any]:
    try:
        fields = split_table(body)
        value = {name: decode_part(raw) for name, raw in fields.items() if name != field}
        value[field] = [decode_element(raw) for raw in split_list(fields.get(field, b"[]"))]
    except ValueError as error:
        raise PlatformUnavailableError(f"invalid answer: {why}; {error}") from None
    return value


def decode_object(raw: bytes) -> Any:
    """Decode an object; parts that cannot be decoded are `Unreadable`."""
    value = decode_part(raw)
    if not isinstance(value, Unreadable):
        return value
    try:
        fields = split_table(raw)
        meta = split_table(fields["meta"])
    except (KeyError, ValueError):
        return value
    return {
        "meta": {name: decode_part(part) for name, part in meta.items()},
        "spec": decode_part(fields.get("spec", b"null")),
    }


def _decode_event(raw: bytes) -> Any:
    """Decode a change; parts that cannot be decoded are `Unreadable`."""
    value = decode_part(raw)
    if not isinstance(value, Unreadable):
        return value
    try:
        fields = split_table(raw)
    except ValueError:
        return value
    event = {name: decode_part(part) for name, part in fields.items() if name != "Object"}
    return {**event, "Object": decode_object(fields.get("Object", b"null"))}


def _whole_revision(value: dict[str, Any], era: int) -> int:
    try:
        return _revision(value["CurrentRev"], era)
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformUnavailableError(f"invalid answer: {error!r}") from None


def _revision(number: Any, era: int) -> int:
    """Return the platform's revision combined with its era."""
    if type(number) is not int or not 0 <= number < ERA_REVISIONS:
        raise ValueError(f"{str(number)[:20]!r} is no revision")
    return era * ERA_REVISIONS + number
