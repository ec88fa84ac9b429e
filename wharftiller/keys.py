"""Keys of businesses, operators and boxes, and signed session tokens.

All are derived from one ring of secrets: the current secret signs, every secret
verifies. To rotate, add the new secret on every box, make it current, then drop
the old one.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import attrs
import orjson

from wharftiller.core.errors import AuthenticationError, TokenError
from wharftiller.core.positions import LogPosition, Session

MAX_TOKEN_BYTES = 8_192
_MAC_BYTES = 16


@attrs.frozen
class KeyRing:
    """Secrets by id, and the id of the one used for signing.

    Attributes
    ----------
    secrets : dict of str to str
        Secrets of at least 16 characters, by id.
    """

    current: str
    secrets: dict[str, str]

    def mint(self, purpose: str, name: str) -> str:
        """Return the key of ``name`` for ``purpose`` (``business``, ``operator``, ``peer``)."""
        return f"{self.current}.{self._mac(self.current, purpose, name)}"

    def check(self, purpose: str, name: str, key: str) -> None:
        """Verify a key that `mint` made.

        Raises
        ------
        AuthenticationError
            If it is not the key of ``name``.
        """
        kid, _, mac = key.partition(".")
        known = kid in self.secrets
        if not known or not hmac.compare_digest(self._mac(kid, purpose, name), mac):
            raise AuthenticationError(
                f"the key is not that of {purpose} {name!r}. Send 'authorization: Bearer KEY' with "
                f"the key from 'wharfctl key {purpose}'"
            )

    def _mac(self, kid: str, purpose: str, name: str) -> str:
        message = f"{purpose}\x00{name}".encode()
        digest = hmac.digest(self.secrets[kid].encode(), message, hashlib.sha256)
        return base64.urlsafe_b64encode(digest[:_MAC_BYTES]).decode().rstrip("=")

    def sign_session(self, session: Session) -> str:
        """Return the token of ``session``."""
        positions = {group: [at.term, at.index] for group, at in session.positions.items()}
        payload = orjson.dumps([session.pool, session.business, positions])
        body = base64.urlsafe_b64encode(payload).decode().rstrip("=")
        return f"{self.current}.{body}.{self._mac(self.current, 'session', body)}"

    def read_session(self, token: str, pool: str, business: str) -> Session:
        """Return the session of ``token``.

        Raises
        ------
        TokenError
            If it is damaged, has no valid signature, or is of another business.
        """
        session = self._verified_session(token)
        if (session.pool, session.business) != (pool, business):
            raise TokenError(
                f"the session token is not of business {business!r} in pool {pool!r}. Send the "
                "token that came with this business's last answer, or none"
            )
        return session

    def _verified_session(self, token: str) -> Session:
        parts = token.split(".")
        if len(parts) != 3 or len(token) > MAX_TOKEN_BYTES:
            raise TokenError("the session token is damaged. Send it as it came, or send none")
        kid, body, mac = parts
        expected = self._mac(kid, "session", body) if kid in self.secrets else ""
        if not expected or not hmac.compare_digest(expected.encode(), mac.encode()):
            raise TokenError(
                "the session token is not signed by this system. Send it as it came, or send none"
            )
        try:
            padded = body + "=" * (-len(body) % 4)
            pool, business, positions = orjson.loads(base64.urlsafe_b64decode(padded))
        except (ValueError, binascii.Error):
            raise TokenError("the session token is damaged. Send none") from None
        seen = {group: LogPosition(term, index) for group, (term, index) in positions.items()}
        return Session(pool, business, seen)


def bearer(headers: dict[str, str]) -> str:
    """Return the key of an ``authorization: Bearer`` header.

    Raises
    ------
    AuthenticationError
        If the header is missing.
    """
    kind, _, key = headers.get("authorization", "").partition(" ")
    if kind.lower() != "bearer" or not key:
        raise AuthenticationError("no key was sent. Send 'authorization: Bearer KEY'")
    return key.strip()


def bearer_header(key: str) -> dict[str, str]:
    """Return the headers that send ``key``."""
    return {"authorization": f"Bearer {key}"}
