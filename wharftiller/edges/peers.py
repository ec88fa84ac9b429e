"""Messages between this system's own processes: configuration, boxes, primaries."""

from __future__ import annotations

import attrs

from wharftiller.core.configuration_changes import ConfigurationChange
from wharftiller.edges.codec import from_peer, to_json
from wharftiller.edges.http_client import HttpClient
from wharftiller.edges.http_server import HttpRequest, HttpResponse
from wharftiller.edges.platform import BoxEntry
from wharftiller.edges.transport import Transport
from wharftiller.keys import KeyRing, bearer, bearer_header

REPLY_TIMEOUT_S = 1.0
PEER = "peer"


@attrs.frozen
class ConfigurationRequest:
    """A request of a proxy or steward for a steward's configuration.

    Attributes
    ----------
    box : str
        The requesting box.
    generation : int
        The generation in force on it.
    wait_ms : int
        How long the reply may wait for a newer generation, in milliseconds.
    in_force : dict of str to int
        Generations known to the requester to be in force, by box.
    """

    box: str
    generation: int
    wait_ms: int
    in_force: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class ConfigurationReply:
    """A steward's reply to a `ConfigurationRequest`.

    Attributes
    ----------
    change : ConfigurationChange or None
        None if the requester is up to date.
    boxes : list of BoxEntry
        The platform's list of boxes, as last received by the steward.
    list_age_s : float or None
        Time since a relay read it from the platform, in seconds; None if never.
    """

    change: ConfigurationChange | None = None
    boxes: list[BoxEntry] = attrs.field(factory=list)
    list_age_s: float | None = None


@attrs.frozen
class PrimaryNotice:
    """Announces a group's primary."""

    group: str
    term: int
    endpoint: str


def check_peer(request: HttpRequest, keys: KeyRing) -> None:
    """Verify that a request comes from a process of this system.

    Raises
    ------
    AuthenticationError
        If it does not.
    """
    keys.check(PEER, PEER, bearer(request.headers))


def reply(value: object) -> HttpResponse:
    """Return the response with ``value`` as JSON."""
    return HttpResponse(200, to_json(value))


class PeerClient:
    """Client of another process of this system."""

    def __init__(self, transport: Transport, address: str, keys: KeyRing) -> None:
        self._client = HttpClient(transport, address)
        self._headers = bearer_header(keys.mint(PEER, PEER))

    async def request_configuration(self, request: ConfigurationRequest) -> ConfigurationReply:
        """Request what is newer than ``request.generation`` from a steward.

        Raises
        ------
        ExchangeError
            If it does not answer.
        """
        answer = await self._client.request(
            "POST",
            "/peer/configuration",
            to_json(request),
            self._headers,
            timeout_s=request.wait_ms / 1000 + REPLY_TIMEOUT_S,
        )
        return from_peer(answer.json(), ConfigurationReply)

    async def announce_primary(self, notice: PrimaryNotice) -> None:
        """Announce a group's primary to a proxy.

        Raises
        ------
        ExchangeError
            If it does not answer.
        """
        await self._client.request(
            "POST", "/peer/primary", to_json(notice), self._headers, timeout_s=REPLY_TIMEOUT_S
        )
