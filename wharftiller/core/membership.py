"""Take in configurations: servers and groups come, change and leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.queueing import GroupQueue
from wharftiller.core.tables import GroupRow, ServerRow

if TYPE_CHECKING:
    from wharftiller.core.configuration import Configuration, EndpointSpec, GroupSpec
    from wharftiller.core.tables import Tables


def apply_configuration(tables: Tables, configuration: Configuration, now: float) -> None:
    """Put ``configuration`` in force unless its generation is not newer."""
    if configuration.generation <= tables.configuration.generation:
        return
    tables.configuration = configuration
    for spec in configuration.groups.values():
        _apply_group(tables, spec)
        for endpoint in spec.endpoints:
            _apply_endpoint(tables, spec.name, endpoint)


def _apply_group(tables: Tables, spec: GroupSpec) -> None:
    names = tuple(endpoint.name for endpoint in spec.endpoints)
    row = tables.groups.get(spec.name)
    if row is None:
        tables.groups[spec.name] = GroupRow(spec.name, names, GroupQueue())
    else:
        row.servers = names


def _apply_endpoint(tables: Tables, group: str, endpoint: EndpointSpec) -> None:
    row = tables.servers.get(endpoint.name)
    if row is None:
        row = ServerRow(
            endpoint.name, group, endpoint.data_centre, endpoint.address, endpoint.control_address
        )
        tables.servers[endpoint.name] = row
    row.address = endpoint.address
    row.control_address = endpoint.control_address
    row.leaving = endpoint.leaving
