"""Promotions of endpoints through the platform's cloud API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.errors import ExchangeError, PlatformUnavailableError
from wharftiller.edges.http_client import HttpClient

if TYPE_CHECKING:
    from wharftiller.edges.transport import Transport

PROMOTION_TIMEOUT_S = 1.5
"""Time limit of the call, in seconds; the reply does not wait for the promotion's effect."""


class PlatformPromotions:
    """Orders promotions; every call carries the holder of the leadership record and its fence."""

    def __init__(self, transport: Transport, address: str) -> None:
        self._transport = transport
        self._address = address

    async def promote(self, group: str, endpoint: str, holder: str, fence: int) -> bool:
        """Order ``endpoint`` to become ``group``'s primary; False if it is not running."""
        # A separate connection, closed with the call: an unanswered call leaves nothing behind.
        client = HttpClient(self._transport, self._address)
        try:
            answer = await client.request(
                "POST",
                "/promotion",
                {"Service": group, "Id": endpoint},
                {"Duty-Holder": holder, "Fence-Token": str(fence)},
                timeout_s=PROMOTION_TIMEOUT_S,
            )
        except ExchangeError as error:
            raise PlatformUnavailableError(f"the promotion was not answered: {error}") from error
        finally:
            await client.aclose()
        if answer.status == 409:
            return False
        if answer.status != 200:
            raise PlatformUnavailableError(f"the promotion was answered {answer.status}")
        return True
