"""Typed errors; each message says what was received, what is expected and what to do."""

from __future__ import annotations


class WharfError(Exception):
    """Base of every error that reaches a caller or an operator.

    Attributes
    ----------
    kind : str
        Stable name of the error, for programs.
    status : int
        HTTP status of the response.
    """

    kind = "error"
    status = 400


class BadRequestError(WharfError):
    """A request could not be understood."""

    kind = "bad_request"


class BodyTooLargeError(WharfError):
    """A body or header block exceeds the size limit."""

    kind = "body_too_large"
    status = 413


class AuthenticationError(WharfError):
    """A key is missing or wrong."""

    kind = "not_authenticated"
    status = 401


class TokenError(WharfError):
    """A session token is forged, damaged or of another business."""

    kind = "bad_token"
    status = 403


class UnknownPathError(WharfError):
    """A path or method does not exist."""

    kind = "unknown_path"
    status = 404


class ConfigurationError(WharfError):
    """A configuration violates one of its rules."""

    kind = "bad_configuration"
    status = 422


class UnknownPlanError(WharfError):
    """No plan has this id."""

    kind = "unknown_plan"
    status = 404


class StalePlanError(WharfError):
    """The configuration changed after the plan was made."""

    kind = "stale_plan"
    status = 409


class ExpiredPlanError(WharfError):
    """The plan was not confirmed in time."""

    kind = "expired_plan"
    status = 409


class PlatformUnavailableError(WharfError):
    """The platform did not answer, or refused because of its rate limit."""

    kind = "platform_unavailable"
    status = 503


class ExchangeError(WharfError):
    """A peer closed the connection, timed out or sent an invalid response."""

    kind = "exchange_failed"
    status = 502


class AddressRefusedError(ExchangeError):
    """A host refused a connection, as no process listens at the address."""

    kind = "address_refused"


class EndpointRefusedError(WharfError):
    """An endpoint answered but did not accept a connection.

    Attributes
    ----------
    at_limit : bool
        Whether it is at its connection limit; otherwise a different endpoint
        answered at the address.
    queue_s : float or None
        Expected wait for one of the connections that the box holds, all in use, in
        seconds; None if it holds none.
    """

    kind = "endpoint_refused"
    status = 503

    def __init__(self, message: str, *, at_limit: bool, queue_s: float | None = None) -> None:
        super().__init__(message)
        self.at_limit = at_limit
        self.queue_s = queue_s
