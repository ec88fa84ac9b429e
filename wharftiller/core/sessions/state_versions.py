"""What a box knows of configuration and endpoints, in a few numbers that others can compare."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wharftiller.core.sessions.routes import EndpointEntry


def digest_of(entries: Iterable[EndpointEntry]) -> int:
    """Return a checksum of a list of endpoints, whatever its order."""
    return zlib.crc32(repr(sorted(attrs.astuple(entry) for entry in entries)).encode())


@attrs.frozen
class StateVersions:
    """What one box knows.

    Attributes
    ----------
    version : int
        Of the configuration in force.
    endpoints_revision : int
        The platform's revision at which the list of endpoints was read.
    endpoints_digest : int
        Checksum of that list: boxes read the same list as of different revisions.
    """

    version: int = 0
    endpoints_revision: int = 0
    endpoints_digest: int = 0

    def lacks_configuration(self, other: StateVersions) -> bool:
        """Return whether another box knows a newer configuration."""
        return other.version > self.version

    def lacks_endpoints(self, other: StateVersions) -> bool:
        """Return whether another box knows another list of endpoints that is newer."""
        newer = other.endpoints_revision > self.endpoints_revision
        return newer and other.endpoints_digest != self.endpoints_digest

    def lacks(self, other: StateVersions) -> bool:
        """Return whether something is to be learned from another box."""
        return self.lacks_configuration(other) or self.lacks_endpoints(other)

    def to_json(self) -> list[int]:
        """Return it as plain JSON."""
        return [self.version, self.endpoints_revision, self.endpoints_digest]

    @classmethod
    def from_json(cls, value: list[int]) -> StateVersions:
        """Return what another box told.

        Raises
        ------
        TypeError, ValueError
            If it is not three numbers.
        """
        version, revision, digest = map(int, value)
        return cls(version, revision, digest)
