"""The leadership record as JSON, for the platform and between boxes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wharftiller.core.errors import BadRequestError
from wharftiller.core.leadership.completeness import AcknowledgementReport
from wharftiller.core.leadership.record import FailingOver, LeadershipRecord, Leading
from wharftiller.core.positions import LogPosition

if TYPE_CHECKING:
    from wharftiller.core.leadership.record import GroupLeadership


def record_to_json(record: LeadershipRecord) -> dict[str, Any]:
    """Return the record as JSON, without its revision."""
    return {
        "fence": record.fence,
        "holder": record.holder,
        "attempt": record.attempt,
        "updates": record.updates,
        "written_back": record.is_written_back,
        "era": record.era,
        "groups": {name: _group_to_json(state) for name, state in record.groups.items()},
    }


def _group_to_json(state: GroupLeadership) -> dict[str, Any]:
    match state:
        case Leading():
            return _leading_to_json(state)
        case FailingOver(leading, successor, planned, ordered):
            return {
                **_leading_to_json(leading),
                "successor": successor,
                "planned": planned,
                "ordered": ordered,
            }


def _leading_to_json(leading: Leading) -> dict[str, Any]:
    value: dict[str, Any] = {"endpoint": leading.endpoint, "term": leading.term}
    if leading.is_unverified:
        value["doubted"] = True
    return value


def record_from_json(value: Any, revision: int) -> LeadershipRecord:
    """Decode a leadership record.

    Raises
    ------
    BadRequestError
        If ``value`` is not a valid record.
    """
    try:
        groups = {str(name): _group_from_json(state) for name, state in value["groups"].items()}
        return LeadershipRecord(
            int(revision),
            int(value["fence"]),
            str(value["holder"]),
            str(value["attempt"]),
            groups,
            int(value.get("updates") or 0),
            value.get("written_back") is True,
            era=int(value.get("era") or 0),
        )
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise BadRequestError(
            f"no record of leadership: {error!r}. Delete the object; boxes write it anew"
        ) from None


def _group_from_json(value: Any) -> GroupLeadership:
    is_unverified = value.get("doubted") is True
    leading = Leading(str(value["endpoint"]), int(value["term"]), is_unverified)
    if "successor" not in value:
        return leading
    return FailingOver(
        leading, str(value["successor"]), bool(value["planned"]), bool(value["ordered"])
    )


def report_to_json(report: AcknowledgementReport) -> dict[str, Any]:
    """Return a report of acknowledged writes as JSON."""
    return {
        "incarnation": report.incarnation,
        "acknowledged": {
            group: (position.term, position.index) for group, position in report.positions.items()
        },
    }


def report_from_json(value: Any) -> AcknowledgementReport | None:
    """Decode a report of acknowledged writes; None from a version that sends none.

    Raises
    ------
    BadRequestError
        If ``value`` is not a valid report.
    """
    if "acknowledged" not in value:
        return None
    try:
        return AcknowledgementReport(
            str(value["incarnation"]),
            {
                str(group): LogPosition(int(term), int(index))
                for group, (term, index) in value["acknowledged"].items()
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadRequestError(
            f"no report of acknowledged writes: {error!r}; run the same version on all boxes"
        ) from None
