"""Encoding of forwarded statements, including compatibility with the previous version."""

from __future__ import annotations

import pytest

from wharftiller.core.errors import BadRequestError
from wharftiller.core.sessions.routes import PrimaryReads, Route
from wharftiller.core.sessions.statements import Access, Direct, Statement
from wharftiller.core.sessions.workspaces import Allowance, Workspace
from wharftiller.edges.forwarded_json import (
    ForwardedStatement,
    statement_from_json,
    statement_to_json,
)

ROUTE = Route("r-1", "seats-db", "seats", PrimaryReads(), 0.8, 0.2, 1)


def statement(workspace: Workspace | None) -> ForwardedStatement:
    body = Statement("id-1", "READ seat1", Direct(Access.READ))
    return ForwardedStatement("box-1", workspace, ROUTE, body, 0.1, {"lang": "bg"})


class TestWorkspaces:
    @pytest.mark.parametrize(
        "workspace",
        [None, Workspace("rila"), Workspace("rila", Allowance(6.0, 12.0))],
    )
    def test_a_statement_includes_its_workspace(self, workspace: Workspace | None) -> None:
        forwarded = statement(workspace)
        assert statement_from_json(statement_to_json(forwarded)) == forwarded

    def test_a_statement_of_the_previous_version_is_read(self) -> None:
        value = statement_to_json(statement(None))
        del value["workspace"]
        assert statement_from_json(value).workspace is None

    def test_a_statement_has_the_fields_of_the_previous_version(self) -> None:
        assert statement_to_json(statement(Workspace("rila")))["caller"] == ""

    @pytest.mark.parametrize("workspace", ["rila", ["rila"], ["rila", [1]], ["rila", "6"], 7])
    def test_an_invalid_workspace_is_refused(self, workspace: object) -> None:
        value = {**statement_to_json(statement(None)), "workspace": workspace}
        with pytest.raises(BadRequestError):
            statement_from_json(value)
