"""Make certain that a committed write was committed by its group's only primary."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.sessions.statements import RefusalKind
from wharftiller.daemons.sessions.serving.routed import StatementRefusedError

if TYPE_CHECKING:
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.session import Session
    from wharftiller.daemons.sessions.state import SharedState

CONFIRM_WAIT_S = 1.5
"""How long a committed write waits for its lease to be checked again, in seconds.

One check that fails (0.7 s) and one that succeeds.
"""


async def confirm_write(state: SharedState, session: Session, row: EndpointRow) -> None:
    """Wait until it is certain that no other primary led when the write was committed.

    Raises
    ------
    StatementRefusedError
        If it does not become certain in time.
    """
    if state.may_acknowledge(row):
        return
    if await state.confirm_primary(row, CONFIRM_WAIT_S):
        return
    session.unsettled.add(row.entry.group)
    detail = "committed on a primary that may have been replaced meanwhile"
    raise StatementRefusedError(RefusalKind.OUTCOME_UNKNOWN, detail)
