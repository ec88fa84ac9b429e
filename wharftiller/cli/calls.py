"""One HTTP call from a command to a daemon."""

from __future__ import annotations

from typing import Any

import attrs
import trio

from wharftiller.core.errors import ExchangeError
from wharftiller.edges.http_client import HttpClient
from wharftiller.edges.transport import TcpTransport, split_address
from wharftiller.keys import bearer_header

CALL_TIMEOUT_S = 10.0


class CallError(Exception):
    """A daemon could not be reached."""


@attrs.frozen
class Target:
    """Address of a daemon, with the operator's name and key."""

    address: str
    operator: str
    key: str


def call(target: Target, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Send a request and return the status and JSON body of the reply.

    Raises
    ------
    CallError
        If the daemon does not answer, or the address is invalid.
    """
    try:
        split_address(target.address)
        return trio.run(_call, target, method, path, body)
    except (ValueError, ExchangeError) as error:
        raise CallError(f"{error}. Check the address, or name another box") from None


async def _call(target: Target, method: str, path: str, body: Any) -> tuple[int, Any]:
    client = HttpClient(TcpTransport(), target.address)
    headers = {**bearer_header(target.key), "x-operator": target.operator}
    reply = await client.request(method, path, body, headers, timeout_s=CALL_TIMEOUT_S)
    await client.aclose()
    return reply.status, reply.json()
