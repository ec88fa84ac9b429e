"""Confirm that a write was committed by its group's only primary."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wharftiller.core.sessions.statements import RefusalKind
from wharftiller.daemons.sessions.serving.routed import StatementRefusedError

if TYPE_CHECKING:
    from wharftiller.core.positions import LogPosition
    from wharftiller.core.sessions.endpoints import EndpointRow
    from wharftiller.core.sessions.session import Session
    from wharftiller.daemons.sessions.state import SharedState

CONFIRM_WAIT_S = 1.5
"""Timeout of the lease check that confirms a write, in seconds.

Allows one failed check, which takes 0.7 s, and one that succeeds.
"""


async def confirm_write(
    state: SharedState, session: Session, row: EndpointRow, position: LogPosition | None
) -> None:
    """Wait until a lease check shows that ``row`` was the only primary at the commit.

    Parameters
    ----------
    position : LogPosition or None
        End of the primary's log as it came with the answer.

    Raises
    ------
    StatementRefusedError
        If no check confirms it in time; the group is then unsettled for the session.
    """
    if state.may_acknowledge(row) or await state.confirm_primary(row, CONFIRM_WAIT_S):
        state.record_acknowledged(row, position)
        return
    session.unsettled.add(row.entry.group)
    detail = "committed on a primary that may have been replaced meanwhile"
    raise StatementRefusedError(RefusalKind.OUTCOME_UNKNOWN, detail)
