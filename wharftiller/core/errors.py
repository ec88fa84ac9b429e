"""Typed errors; each message says what was got, what would do and what to do next."""

from __future__ import annotations


class WharfError(Exception):
    """Base of every error that reaches a caller or an operator.

    Attributes
    ----------
    kind : str
        Stable name of the error, for programs.
    status : int
        HTTP status under which an edge answers it.
    """

    kind = "error"
    status = 400


class BadRequestError(WharfError):
    """A request could not be understood."""

    kind = "bad_request"


class BodyTooLargeError(WharfError):
    """A body or header block passes the size limit."""

    kind = "body_too_large"
    status = 413


class AuthenticationError(WharfError):
    """A key is missing or wrong."""

    kind = "not_authenticated"
    status = 401


class TokenError(WharfError):
    """A session token is forged, foreign or damaged."""

    kind = "bad_token"
    status = 403


class UnknownPathError(WharfError):
    """No such path or method."""

    kind = "unknown_path"
    status = 404


class ConfigurationError(WharfError):
    """A configuration breaks one of its rules."""

    kind = "bad_configuration"
    status = 422


class UnknownPlanError(WharfError):
    """No plan has this id."""

    kind = "unknown_plan"
    status = 404


class StalePlanError(WharfError):
    """Another change overtook the plan."""

    kind = "stale_plan"
    status = 409


class ExpiredPlanError(WharfError):
    """The plan was not confirmed in time."""

    kind = "expired_plan"
    status = 409


class PlatformUnavailableError(WharfError):
    """The platform did not answer, or refused for its rate limit."""

    kind = "platform_unavailable"
    status = 503


class ExchangeError(WharfError):
    """A peer closed the connection, timed out or answered nonsense."""

    kind = "exchange_failed"
    status = 502


class EndpointRefusedError(WharfError):
    """An endpoint answered but did not take a connection.

    Attributes
    ----------
    at_limit : bool
        Whether it has too many connections; otherwise it is another endpoint
        than the one expected at its address.
    queue_s : float or None
        How long those ahead take, in seconds, where its connections are held and in use.
    """

    kind = "endpoint_refused"
    status = 503

    def __init__(self, message: str, *, at_limit: bool, queue_s: float | None = None) -> None:
        super().__init__(message)
        self.at_limit = at_limit
        self.queue_s = queue_s
