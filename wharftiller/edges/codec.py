"""Conversion of typed messages to and from JSON values, with strict type checks."""

from __future__ import annotations

import sys
from typing import Any, TypeVar

import cattrs
from cattrs.preconf.orjson import make_converter

from wharftiller.core.errors import BadRequestError, ExchangeError

T = TypeVar("T")


def _strict(kind: type) -> Any:
    def structure(value: Any, _: Any) -> Any:
        if type(value) is not kind:
            raise ValueError(f"{value!r} is a {type(value).__name__}, a {kind.__name__} is needed")
        return value

    return structure


def _strict_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise ValueError(f"{value!r} is a {type(value).__name__}, a number is needed")
    return float(value)


def make_strict_converter(*, forbid_extra_keys: bool, detailed: bool) -> cattrs.Converter:
    """Return a converter that coerces no types; an int is accepted as a float."""
    converter = make_converter(forbid_extra_keys=forbid_extra_keys, detailed_validation=detailed)
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _strict(kind))
    converter.register_structure_hook(float, _strict_float)
    return converter


_fast_converter = make_strict_converter(forbid_extra_keys=True, detailed=False)
_detailed_converter = make_strict_converter(forbid_extra_keys=True, detailed=True)
_peer_converter = make_strict_converter(forbid_extra_keys=False, detailed=False)


def _intern_str(value: Any, _: Any) -> str:
    """Intern strings, since a configuration repeats its names."""
    if type(value) is not str:
        raise ValueError(f"{value!r} is a {type(value).__name__}, a str is needed")
    return sys.intern(value)


_peer_converter.register_structure_hook(str, _intern_str)


def to_json(value: Any) -> Any:
    """Return the JSON value of an attrs object."""
    return _peer_converter.unstructure(value)


def from_caller(value: Any, kind: type[T]) -> T:
    """Return ``value`` as ``kind``.

    Raises
    ------
    BadRequestError
        Lists every invalid field with its path and what is expected.
    """
    try:
        return _fast_converter.structure(value, kind)
    except Exception:
        return _structure_with_faults(value, kind)


def _structure_with_faults(value: Any, kind: type[T]) -> T:
    try:
        return _detailed_converter.structure(value, kind)
    except Exception as error:
        faults = "; ".join(cattrs.transform_error(error, path="body", format_exception=_describe))
        raise BadRequestError(f"{faults}. Correct the fields and send it again") from None


def _describe(error: BaseException, _: type | None) -> str:
    match error:
        case cattrs.errors.ForbiddenExtraKeysError():
            return f"unknown fields {sorted(error.extra_fields)}"
        case KeyError():
            return "required field missing"
        case _:
            return str(error)


def from_peer(value: Any, kind: type[T]) -> T:
    """Return ``value`` from another process of this system as ``kind``.

    Unknown fields are ignored, so that processes of different versions can communicate.

    Raises
    ------
    ExchangeError
        If ``value`` does not match ``kind``.
    """
    try:
        return _peer_converter.structure(value, kind)
    except Exception as error:
        raise ExchangeError(
            f"invalid {kind.__name__} from a peer: {error!r}. Check the versions on both sides"
        ) from None
