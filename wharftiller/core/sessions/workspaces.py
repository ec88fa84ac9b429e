"""Workspaces, their keys, and the workspace of a session.

Keys are secrets: they are stored and looked up by their digests, and a key itself never leaves
the adapter that read it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

from wharftiller.core.errors import ConfigurationError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wharftiller.core.sessions.routes import Route

DIGEST_BYTES = 16
"""Length of a key's digest: 128 bits, so that no two keys of a configuration share one."""

FINGERPRINT_BYTES = 4
"""Length of a key's fingerprint in logs: enough to distinguish keys, too short to reveal one."""


@attrs.frozen
class Allowance:
    """Rate limit of a workspace's operations, over all boxes.

    Attributes
    ----------
    rate_per_s : float
        Sustained rate, in operations per second.
    burst : float
        Operations beyond that rate that may run at once.
    """

    rate_per_s: float
    burst: float


@attrs.frozen
class Workspace:
    """A business that shares the database groups with others.

    Attributes
    ----------
    allowance : Allowance or None
        None if its rate is not limited.
    """

    name: str
    allowance: Allowance | None = None


def digest_of_key(key: str) -> str:
    """Return the digest by which a key is stored and looked up."""
    encoded = key.encode(errors="surrogateescape")
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def fingerprint(digest: str) -> str:
    """Return the fingerprint that logs show for a key with this digest."""
    return hashlib.blake2b(
        digest.encode(), digest_size=FINGERPRINT_BYTES, person=b"log"
    ).hexdigest()


class WorkspaceDirectory:
    """The workspaces of one configuration, by the digests of their keys and by name.

    Raises
    ------
    ConfigurationError
        If two workspaces share a name or a key.
    """

    def __init__(self, listed: Iterable[tuple[Workspace, Iterable[str]]] = ()) -> None:
        self._by_digest: dict[str, Workspace] = {}
        self._by_name: dict[str, Workspace] = {}
        for workspace, digests in listed:
            self._add(workspace, digests)

    def _add(self, workspace: Workspace, digests: Iterable[str]) -> None:
        if workspace.name in self._by_name:
            raise ConfigurationError(
                f"two workspaces are named {workspace.name!r}; give each a name of its own"
            )
        self._by_name[workspace.name] = workspace
        for digest in digests:
            other = self._by_digest.setdefault(digest, workspace)
            if other is not workspace:
                raise ConfigurationError(
                    f"workspaces {other.name!r} and {workspace.name!r} share the key with"
                    f" fingerprint {fingerprint(digest)}; remove it from one of them"
                )

    def __len__(self) -> int:
        return len(self._by_name)

    def of_key(self, digest: str) -> Workspace | None:
        """Return the workspace that holds the key with this digest."""
        return self._by_digest.get(digest)

    def named(self, name: str) -> Workspace | None:
        """Return the workspace of this name."""
        return self._by_name.get(name)


@attrs.frozen
class Member:
    """The session belongs to a workspace."""

    workspace: Workspace


@attrs.frozen
class Anonymous:
    """The session needs no workspace: the route or the deployment requires no key."""


@attrs.frozen
class UnknownKey:
    """No workspace holds the session's key."""


Identity = Member | Anonymous | UnknownKey


def identify(directory: WorkspaceDirectory | None, route: Route, digest: str) -> Identity:
    """Return the identity of a session on ``route`` that presents the key with this digest.

    Parameters
    ----------
    directory : WorkspaceDirectory or None
        None in a deployment without workspaces.
    """
    if directory is None:
        return Anonymous()
    workspace = directory.of_key(digest)
    if workspace is not None:
        return Member(workspace)
    return Anonymous() if route.needs_no_key else UnknownKey()
