"""Promotions, ordered as the platform's singleton duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.errors import ExchangeError, PlatformUnavailableError
from wharftiller.edges.http_client import HttpClient

if TYPE_CHECKING:
    from wharftiller.edges.transport import Transport

PROMOTION_TIMEOUT_S = 1.5
"""Time for the call, in seconds; it answers at once and takes effect 0.3 to 0.6 s later."""


class PlatformPromotions:
    """Orders promotions; every call names its holder and fence."""

    def __init__(self, transport: Transport, address: str) -> None:
        self._transport = transport
        self._address = address

    async def promote(self, group: str, endpoint: str, holder: str, fence: int) -> bool:
        """Have ``endpoint`` take over ``group``; False if it is not running."""
        # A connection of its own: whatever is left of a call that gets no answer goes with it.
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
