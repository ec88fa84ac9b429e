"""The entries by which endpoints register themselves on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wharftiller.core.errors import WharfError
from wharftiller.core.sessions.routes import EndpointEntry
from wharftiller.edges.json_parts import Unreadable
from wharftiller.edges.transport import split_address

if TYPE_CHECKING:
    from wharftiller.core.sessions.bounds import PlatformBounds
    from wharftiller.decisions import DecisionLog
    from wharftiller.platform.answers import StoredObject

ENDPOINT_KIND = "servers"
"""Kind of the objects by which endpoints register themselves."""

PRIMARY_ROLE = "primary"
LEAVING_STATE = "draining"
ENDPOINT_ROLES = frozenset({PRIMARY_ROLE, "replica"})
ENDPOINT_STATES = frozenset({"ready", LEAVING_STATE})
"""Values of an endpoint's role and state."""

MAX_WORD = 255
"""Characters of an endpoint's name, group, data centre or address."""

STARTED_FIELD = "born"
"""Field with the start time of an endpoint's process, in milliseconds of Unix time."""


class InvalidEndpointError(WharfError):
    """An object of the endpoints' kind that does not describe an endpoint."""

    kind = "endpoint_not_understood"


def decode_endpoint(stored: StoredObject, bounds: PlatformBounds) -> EndpointEntry:
    """Decode the object of an endpoint.

    Raises
    ------
    InvalidEndpointError
        If a field is missing or invalid.
    """
    spec = stored.spec
    if isinstance(spec, Unreadable):
        raise InvalidEndpointError(f"it cannot be decoded: {spec.why}")
    if not isinstance(spec, dict):
        raise InvalidEndpointError("it is not a table of fields")
    state = _choice(spec, "State", ENDPOINT_STATES)
    return EndpointEntry(
        name=_checked_word("name", stored.name),
        group=_word(spec, "Service"),
        address=_address(spec),
        data_centre=_word(spec, "Zone"),
        leads=_choice(spec, "DbRole", ENDPOINT_ROLES) == PRIMARY_ROLE,
        leaving=state == LEAVING_STATE,
        leaving_serves_s=bounds.leaving_serves_s,
        started_ms=_started_ms(spec),
    )


def _text(spec: dict[str, Any], name: str) -> str:
    value = spec.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidEndpointError(f"its {name} is missing or not a text")
    return value


def _word(spec: dict[str, Any], name: str) -> str:
    return _checked_word(name, _text(spec, name))


def _checked_word(name: str, value: str) -> str:
    """Return a text that is one field of a line of the line protocol."""
    if not value.isprintable() or " " in value or len(value) > MAX_WORD:
        raise InvalidEndpointError(
            f"its {name} has blanks, control characters or more than {MAX_WORD} characters"
        )
    return value


def _address(spec: dict[str, Any]) -> str:
    """Return the address of an endpoint, to which connections can be opened."""
    address = _checked_word("Address", _text(spec, "Address"))
    try:
        _, port = split_address(address)
    except ValueError as error:
        raise InvalidEndpointError(str(error)) from None
    if port == 0:
        raise InvalidEndpointError(f"its Address {address!r} has port 0, where nothing listens")
    return address


def _choice(spec: dict[str, Any], name: str, allowed: frozenset[str]) -> str:
    value = _text(spec, name)
    if value not in allowed:
        raise InvalidEndpointError(f"its {name} is none of {', '.join(sorted(allowed))}")
    return value


def _started_ms(spec: dict[str, Any]) -> int | None:
    """Return when the endpoint's process started; None if it is not reported."""
    value = spec.get(STARTED_FIELD)
    if value is None:
        return None
    if not isinstance(value, int) or isinstance(value, bool):
        raise InvalidEndpointError(f"its {STARTED_FIELD} is no whole number")
    return value


class EndpointDecoder:
    """Decodes lists of endpoints; logs each invalid object once per revision."""

    def __init__(self, bounds: PlatformBounds, log: DecisionLog) -> None:
        self._bounds = bounds
        self._log = log
        self._reported: dict[str, int] = {}

    def decode(self, objects: dict[str, StoredObject]) -> list[EndpointEntry]:
        """Return the valid endpoints; invalid ones are logged and skipped."""
        entries = []
        for stored in objects.values():
            try:
                entries.append(decode_endpoint(stored, self._bounds))
            except InvalidEndpointError as error:
                self._log_invalid(stored, str(error))
        self._reported = {
            name: revision for name, revision in self._reported.items() if name in objects
        }
        return entries

    def _log_invalid(self, stored: StoredObject, why: str) -> None:
        if self._reported.get(stored.name) != stored.revision:
            self._reported[stored.name] = stored.revision
            name = stored.name[:MAX_WORD]
            self._log.event("endpoint_not_understood", endpoint=name, why=why)
