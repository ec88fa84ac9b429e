"""Add, update and remove servers and groups as the configuration changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.dispatch import close_connection
from wharftiller.core.tables import GroupRow, ServerRow

if TYPE_CHECKING:
    from wharftiller.core.configuration import Configuration, EndpointSpec, GroupSpec
    from wharftiller.core.tables import Tables


def apply_configuration(tables: Tables, configuration: Configuration, now: float) -> None:
    """Apply ``configuration`` if its generation is newer."""
    if configuration.generation <= tables.configuration.generation:
        return
    tables.configuration = configuration
    for spec in configuration.groups.values():
        _apply_group(tables, spec)
        for endpoint in spec.endpoints:
            _apply_endpoint(tables, spec.name, endpoint)


def _apply_group(tables: Tables, spec: GroupSpec) -> None:
    row = tables.groups.get(spec.name)
    if row is None:
        tables.groups[spec.name] = GroupRow(spec)
    else:
        row.spec = spec


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


def remove_unconfigured(tables: Tables) -> None:
    """Drop groups that are no longer configured, once no request or transaction uses them."""
    removed = [name for name in tables.groups if name not in tables.configuration.groups]
    for name in removed:
        if not _is_in_use(tables, name):
            _forget_group(tables, name)


def _is_in_use(tables: Tables, group: str) -> bool:
    has_requests = any(row.group == group for row in tables.requests.values())
    return has_requests or any(row.group == group for row in tables.transactions.values())


def _forget_group(tables: Tables, group: str) -> None:
    for server in [row for row in tables.servers.values() if row.group == group]:
        for number in list(server.connections):
            close_connection(tables, tables.connections[number])
        del tables.servers[server.name]
    del tables.groups[group]
