"""Find out when holders of a group's writes that are not registered have ended."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import attrs
import trio

from wharftiller.core.errors import BadRequestError, ExchangeError
from wharftiller.core.leadership.holders import Answered, Ended, Silent
from wharftiller.daemons.sessions.membership.box_server import HOLDER_PATH

if TYPE_CHECKING:
    from collections.abc import Collection

    from wharftiller.daemons.sessions.connections.address_probe import AddressProbe
    from wharftiller.daemons.sessions.membership.box import Box
    from wharftiller.daemons.sessions.membership.boxes import BoxDirectory
    from wharftiller.daemons.sessions.state import SharedState

PROBE_S = 1.0
"""Time between probes of a holder that is not registered, in seconds."""

SILENT_END_S = 10.0
"""Time for which a holder that is not registered must be silent to every box before it counts as
ended, in seconds.

Longer than the downtime of an endpoint that crashed and returns (7 s).
"""

SILENCE_TIMEOUT_S = 1.2
"""Time-out of the question to another box whether a holder is silent, in seconds."""


@attrs.define
class _Absence:
    """A holder that is not registered.

    Attributes
    ----------
    probed_at : float
        When it was last probed, in seconds.
    silent_since : float or None
        Time of the first of the latest probes that all remained without an answer, in seconds.
    ended_at : float
        Time by which it has ended, in seconds; infinite while that is not certain.
    """

    probed_at: float = -math.inf
    silent_since: float | None = None
    ended_at: float = math.inf


class AbsentHolders:
    """Probes holders that are not registered; remembers when each was found to have ended."""

    def __init__(self, state: SharedState, directory: BoxDirectory, probe: AddressProbe) -> None:
        self._state = state
        self._directory = directory
        self._probe = probe
        self._absences: dict[str, dict[str, _Absence]] = {}

    def ended_at(self, group: str, address: str) -> float:
        """Return when the holder at ``address`` had ended, in seconds; infinite if not known."""
        absence = self._absences.get(group, {}).get(address)
        return math.inf if absence is None else absence.ended_at

    async def update(self, group: str, absent: Collection[str], others: list[Box]) -> None:
        """Probe the absent holders of ``group`` that are due, and forget those that returned.

        Parameters
        ----------
        absent : collection of str
            Addresses of all holders that are not registered.
        others : list of Box
            The other boxes that must confirm that a holder is silent.
        """
        known = self._absences.get(group, {})
        absences = self._absences[group] = {
            address: known.get(address) or _Absence() for address in absent
        }
        async with trio.open_nursery() as nursery:
            for address, absence in absences.items():
                if trio.current_time() - absence.probed_at >= PROBE_S:
                    nursery.start_soon(self._update_one, group, address, absence, others)

    async def has_ended(self, group: str, address: str, others: list[Box]) -> bool:
        """Probe an absent holder now; return whether it has ended and has not returned."""
        absence = self._absences.get(group, {}).get(address)
        if absence is None:
            return False
        await self._update_one(group, address, absence, others)
        return absence.ended_at < math.inf

    async def _update_one(
        self, group: str, address: str, absence: _Absence, others: list[Box]
    ) -> None:
        asked_at = absence.probed_at = trio.current_time()
        before = absence.ended_at
        match await self._probe.ask(group, address):
            case Answered():
                absence.silent_since, absence.ended_at = None, math.inf
            case Ended():
                absence.silent_since = None
                absence.ended_at = min(before, trio.current_time())
            case Silent():
                if absence.silent_since is None:
                    absence.silent_since = asked_at
                is_long = asked_at - absence.silent_since >= SILENT_END_S
                if (
                    is_long
                    and before == math.inf
                    and await self._is_silent_to(others, group, address)
                ):
                    absence.ended_at = trio.current_time()
        self._log_change(group, address, before, absence)

    def _log_change(self, group: str, address: str, before: float, absence: _Absence) -> None:
        if before == math.inf and absence.ended_at < math.inf:
            is_silent = absence.silent_since is not None
            self._state.log.change("holder_ended", group=group, address=address, silent=is_silent)
        elif before < math.inf and absence.ended_at == math.inf:
            self._state.log.change("holder_answers", group=group, address=address)

    async def _is_silent_to(self, others: list[Box], group: str, address: str) -> bool:
        """Return whether no endpoint at ``address`` answers any of these boxes.

        The endpoint may receive writes while the network separates it from this box alone.
        """
        confirmed: list[str] = []

        async def confirm(box: Box) -> None:
            if await self._is_gone_for(box, group, address):
                confirmed.append(box.name)

        async with trio.open_nursery() as nursery:
            for box in others:
                nursery.start_soon(confirm, box)
        return len(confirmed) == len(others)

    async def _is_gone_for(self, box: Box, group: str, address: str) -> bool:
        request = {"group": group, "address": address}
        try:
            reply = await self._directory.post(box, HOLDER_PATH, request, SILENCE_TIMEOUT_S)
            return reply["answers"] is False
        except (ExchangeError, BadRequestError, KeyError, TypeError) as error:
            self._state.log.event("holder_not_confirmed", other=box.name, why=repr(error))
            return False

    async def handle_question(self, request: Any) -> dict[str, Any]:
        """Tell another box whether an endpoint of a group answers at an address.

        Raises
        ------
        BadRequestError
            If the request is malformed.
        """
        try:
            group, address = str(request["group"]), str(request["address"])
        except (KeyError, TypeError) as error:
            raise BadRequestError(
                f"no question about a holder: {error!r}; run one version"
            ) from None
        if not self._is_holder(group, address):
            raise BadRequestError(f"{address} is no holder that this box knows in group {group}")
        state = await self._probe.ask(group, address)
        return {"answers": isinstance(state, Answered)}

    def _is_holder(self, group: str, address: str) -> bool:
        """Return whether an endpoint of ``group`` was registered at ``address``.

        Boxes connect to no other addresses on behalf of others.
        """
        rows = self._state.endpoints.rows.values()
        is_row = any(row.entry.group == group and row.entry.address == address for row in rows)
        return is_row or address in self._absences.get(group, {})
