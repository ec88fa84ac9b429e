"""The holders of a group's writes as JSON, for the platform."""

from __future__ import annotations

from typing import Any

from wharftiller.core.errors import BadRequestError
from wharftiller.core.leadership.holders import HolderSet
from wharftiller.edges.transport import split_address


def holders_to_json(group: str, holders: HolderSet) -> dict[str, Any]:
    """Return the members as JSON, without their revision."""
    members = {address: list(names) for address, names in sorted(holders.members.items())}
    return {"group": group, "members": members, "updates": holders.updates}


def holders_from_json(value: Any, revision: int) -> HolderSet:
    """Decode the holders of a group.

    Raises
    ------
    BadRequestError
        If ``value`` is not a valid set of holders.
    """
    try:
        members = {_address(address): _names(names) for address, names in value["members"].items()}
        updates = int(value.get("updates") or 0)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadRequestError(
            f"no holders of a group's writes: {error!r}; expected addresses with names of "
            "endpoints. Boxes write the object anew while the group has a primary"
        ) from None
    return HolderSet(members, is_known=True, revision=revision, updates=updates)


def _address(value: Any) -> str:
    split_address(value)
    return str(value)


def _names(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(each, str) for each in value):
        raise ValueError("the names at an address are no list of texts")
    return tuple(value)
