"""Versions of a box's configuration and endpoints, which boxes exchange and compare."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wharftiller.core.sessions.routes import EndpointEntry


def digest_of(entries: Iterable[EndpointEntry]) -> int:
    """Return a checksum of a list of endpoints that does not depend on its order."""
    return zlib.crc32(repr(sorted(attrs.astuple(entry) for entry in entries)).encode())


@attrs.frozen
class StateVersions:
    """Versions of one box's state.

    Attributes
    ----------
    version : int
        Version of the configuration in force.
    endpoints_revision : int
        The platform's revision at which the list of endpoints was read.
    endpoints_digest : int
        Checksum of that list, since boxes read the same list at different revisions.
    """

    version: int = 0
    endpoints_revision: int = 0
    endpoints_digest: int = 0

    def lacks_configuration(self, other: StateVersions) -> bool:
        """Return whether another box has a newer configuration."""
        return other.version > self.version

    def lacks_endpoints(self, other: StateVersions) -> bool:
        """Return whether another box has a newer list of endpoints that differs."""
        is_newer = other.endpoints_revision > self.endpoints_revision
        return is_newer and other.endpoints_digest != self.endpoints_digest

    def lacks(self, other: StateVersions) -> bool:
        """Return whether another box has newer state."""
        return self.lacks_configuration(other) or self.lacks_endpoints(other)

    def to_json(self) -> list[int]:
        """Return the JSON form."""
        return [self.version, self.endpoints_revision, self.endpoints_digest]

    @classmethod
    def from_json(cls, value: list[int]) -> StateVersions:
        """Return the versions that another box sent.

        Raises
        ------
        TypeError, ValueError
            If ``value`` is not three numbers.
        """
        version, revision, digest = map(int, value)
        return cls(version, revision, digest)
