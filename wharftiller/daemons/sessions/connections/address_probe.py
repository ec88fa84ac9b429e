"""Ask whichever endpoint is at an address for its state, also one that is not registered."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from wharftiller.core.errors import AddressRefusedError, EndpointRefusedError, ExchangeError
from wharftiller.core.leadership.holders import AddressState, Answered, Ended, Silent
from wharftiller.daemons.sessions.connections.probes import STATUS_TIMEOUT_S

if TYPE_CHECKING:
    from wharftiller.daemons.sessions.interfaces import EndpointDialer
    from wharftiller.decisions import DecisionLog


class AddressProbe:
    """Asks for the state of addresses on connections of their own."""

    def __init__(self, dialer: EndpointDialer, log: DecisionLog) -> None:
        self._dialer = dialer
        self._log = log

    async def ask(self, group: str, address: str) -> AddressState:
        """Return what is at ``address`` of an endpoint of ``group``."""
        try:
            with trio.move_on_after(STATUS_TIMEOUT_S):
                connection = await self._dialer.open_any(group, address)
                try:
                    return Answered(await connection.status())
                finally:
                    connection.close()
        except AddressRefusedError:
            return Ended()
        except EndpointRefusedError as error:
            return Answered(None) if error.at_limit else Ended()
        except ExchangeError as error:
            self._log.event("no_status", endpoint=address, why=str(error))
        return Silent()
