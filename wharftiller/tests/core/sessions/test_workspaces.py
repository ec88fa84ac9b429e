"""Tests of the workspace of a session, by its key."""

from __future__ import annotations

import attrs
import pytest

from wharftiller.core.errors import ConfigurationError
from wharftiller.core.sessions.routes import PrimaryReads, Route
from wharftiller.core.sessions.workspaces import (
    Anonymous,
    Member,
    UnknownKey,
    Workspace,
    WorkspaceDirectory,
    digest_of_key,
    fingerprint,
    identify,
)

KEY = "nirth5mgjy5rcpihhacr"
RILA = Workspace("rila")
ROUTE = Route("r-1", "seats-db", "seats", PrimaryReads(), 0.8, 0.2, 1)


def directory() -> WorkspaceDirectory:
    return WorkspaceDirectory([(RILA, [digest_of_key(KEY)])])


class TestIdentify:
    @pytest.mark.parametrize(
        ("listed", "needs_no_key", "key", "expected"),
        [
            (True, False, KEY, Member(RILA)),
            (True, False, "garbage", UnknownKey()),
            (True, True, KEY, Member(RILA)),
            (True, True, "garbage", Anonymous()),
            (False, False, "garbage", Anonymous()),
        ],
    )
    def test_the_key_decides_the_identity(
        self, listed: bool, needs_no_key: bool, key: str, expected: object
    ) -> None:
        route = attrs.evolve(ROUTE, needs_no_key=needs_no_key)
        known = directory() if listed else None
        assert identify(known, route, digest_of_key(key)) == expected

    def test_an_empty_directory_knows_no_key(self) -> None:
        assert identify(WorkspaceDirectory(), ROUTE, digest_of_key(KEY)) == UnknownKey()


class TestDirectory:
    def test_a_directory_with_a_shared_key_is_rejected(self) -> None:
        digest = digest_of_key(KEY)
        with pytest.raises(ConfigurationError, match=fingerprint(digest)) as caught:
            WorkspaceDirectory([(RILA, [digest]), (Workspace("vitosha"), [digest])])
        assert KEY not in str(caught.value)
        assert digest not in str(caught.value)

    def test_a_directory_with_a_duplicate_name_is_rejected(self) -> None:
        with pytest.raises(ConfigurationError, match="rila"):
            WorkspaceDirectory([(RILA, []), (Workspace("rila"), [])])

    def test_a_key_listed_twice_by_its_own_workspace_is_one_key(self) -> None:
        digest = digest_of_key(KEY)
        assert WorkspaceDirectory([(RILA, [digest, digest])]).of_key(digest) == RILA
