"""Tests of keys and session tokens."""

from __future__ import annotations

import pytest

from wharftiller.core.errors import AuthenticationError, TokenError
from wharftiller.core.positions import LogPosition, Session
from wharftiller.keys import KeyRing

OLD = KeyRing("k1", {"k1": "the-first-secret-1"})
BOTH = KeyRing("k2", {"k1": "the-first-secret-1", "k2": "the-second-secret"})
NEW = KeyRing("k2", {"k2": "the-second-secret"})
SESSION = Session("p", "rila", {"g": LogPosition(3, 14)})


class TestKeyRing:
    def test_session_survives_a_rotation(self) -> None:
        assert BOTH.read_session(OLD.sign_session(SESSION), "p", "rila") == SESSION
        assert NEW.read_session(BOTH.sign_session(SESSION), "p", "rila") == SESSION

    def test_dropped_secret_signs_nothing(self) -> None:
        with pytest.raises(TokenError, match="not signed"):
            NEW.read_session(OLD.sign_session(SESSION), "p", "rila")

    @pytest.mark.parametrize("token", ["", "a.b", "k1.b.c", "k1.é.c", "x" * 9_000, "k9.a.b"])
    def test_damaged_token_is_refused(self, token: str) -> None:
        with pytest.raises(TokenError):
            OLD.read_session(token, "p", "rila")

    def test_changed_token_is_refused(self) -> None:
        kid, body, mac = OLD.sign_session(SESSION).split(".")
        other = OLD.sign_session(Session("p", "rila")).split(".")[1]
        with pytest.raises(TokenError):
            OLD.read_session(f"{kid}.{other}.{mac}", "p", "rila")
        assert body != other

    def test_token_of_another_business_is_refused(self) -> None:
        with pytest.raises(TokenError, match="not of business"):
            OLD.read_session(OLD.sign_session(SESSION), "p", "pirin")

    def test_key_is_for_one_name_and_purpose(self) -> None:
        key = OLD.mint("business", "p/rila")
        OLD.check("business", "p/rila", key)
        for purpose, name in (("business", "p/pirin"), ("operator", "p/rila")):
            with pytest.raises(AuthenticationError):
                OLD.check(purpose, name, key)
