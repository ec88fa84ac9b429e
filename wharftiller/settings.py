"""Settings of a box: JSON with comments, validated with all faults reported together."""

from __future__ import annotations

import difflib
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import cattrs
import json5

from wharftiller.core.errors import WharfError
from wharftiller.edges.codec import make_strict_converter
from wharftiller.edges.transport import split_address
from wharftiller.keys import KeyRing

MIN_SECRET_CHARS = 16


class SettingError(WharfError):
    """One fault of a settings file.

    Attributes
    ----------
    line : int or None
        Line of the file, counted from 1, where it is known.
    """

    kind = "bad_setting"

    def __init__(self, message: str, line: int | None = None) -> None:
        super().__init__(message)
        self.line = line


class SettingsErrorGroup(ExceptionGroup[SettingError]):
    """All faults of a settings file."""


@attrs.frozen
class BoxSettings:
    """Identity of the box."""

    name: str
    data_centre: str


@attrs.frozen
class PlatformSettings:
    """Connection to the platform.

    Attributes
    ----------
    list_lag_s : float
        Maximum lag of the platform's list of boxes.
    """

    address: str
    list_lag_s: float = 30.0


@attrs.frozen
class ProxySettings:
    """The proxy's address and how it stops.

    Attributes
    ----------
    stop_unready_s : float
        Time between reporting unready and refusing new requests.
    stop_longest_s : float
        Maximum duration of a graceful stop.
    """

    listen: str = "127.0.0.1:7100"
    stop_unready_s: float = 3.0
    stop_longest_s: float = 15.0


@attrs.frozen
class StewardSettings:
    """The steward's address, peers and detection time.

    Attributes
    ----------
    peers : list of str
        Stewards to request the configuration from while the platform is unavailable.
    detect_s : float
        Time without an answer after which a primary counts as lost.
    """

    listen: str = "127.0.0.1:7200"
    peers: list[str] = attrs.field(factory=list)
    detect_s: float = 1.0


@attrs.frozen
class AdminSettings:
    """The intent API's address and its operators.

    Attributes
    ----------
    operators : list of str
        Names of the operators whose keys are accepted.
    plan_expires_s : float
        Time within which a plan has to be confirmed.
    """

    listen: str = "127.0.0.1:7300"
    operators: list[str] = attrs.field(factory=list)
    plan_expires_s: float = 600.0


@attrs.frozen
class LogSettings:
    """Log level: debug, info, warning or error."""

    level: str = "info"


@attrs.frozen
class MetricsSettings:
    """Address of the statsd server; empty to send no metrics."""

    statsd: str = ""


@attrs.frozen
class Settings:
    """All settings of a box's daemons."""

    box: BoxSettings
    platform: PlatformSettings
    keys: KeyRing
    proxy: ProxySettings = ProxySettings()
    steward: StewardSettings = StewardSettings()
    admin: AdminSettings = AdminSettings()
    logs: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()


def load_settings(path: Path) -> Settings:
    """Return the settings of a file.

    Raises
    ------
    SettingsErrorGroup
        With one `SettingError` per fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        fault = SettingError(f"{path} cannot be read: {error.strerror}. Check the path")
        raise SettingsErrorGroup("settings are not usable", [fault]) from None
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Return the settings that ``text`` (JSON with comments) holds.

    Raises
    ------
    SettingsErrorGroup
        With one `SettingError` per fault.
    """
    value = _parse_json(text)
    faults = list(_unknown_keys(value, Settings, "", text))
    faults.extend(_structure_faults(value, text))
    if not faults:
        settings = _converter.structure(value, Settings)
        faults.extend(_value_faults(settings, text))
        if not faults:
            return settings
    raise SettingsErrorGroup("settings are not usable", faults)


def _parse_json(text: str) -> Any:
    try:
        value = json5.loads(text)
    except ValueError as error:
        line = re.search(r":(\d+) ", str(error))
        fault = SettingError(
            f"not JSON with comments: {error}. Correct the syntax there",
            int(line.group(1)) if line else None,
        )
        raise SettingsErrorGroup("settings are not usable", [fault]) from None
    if not isinstance(value, dict):
        fault = SettingError("the settings are not an object; write { … }", 1)
        raise SettingsErrorGroup("settings are not usable", [fault])
    return value


_converter = make_strict_converter(forbid_extra_keys=False, detailed=True)


def _unknown_keys(value: Any, kind: type, path: str, text: str) -> Iterator[SettingError]:
    if not isinstance(value, dict):
        return
    fields = attrs.fields_dict(attrs.resolve_types(kind))
    for key, inner in value.items():
        if key not in fields:
            near = difflib.get_close_matches(key, fields, n=1)
            hint = f"did you mean {near[0]!r}?" if near else f"known are {sorted(fields)}"
            yield SettingError(f"unknown setting {path + key!r}; {hint}", _line_of(text, key))
            continue
        inner_kind = fields[key].type
        if inner_kind is not None and attrs.has(inner_kind):
            yield from _unknown_keys(inner, inner_kind, f"{path}{key}.", text)


def _structure_faults(value: Any, text: str) -> list[SettingError]:
    try:
        _converter.structure(value, Settings)
    except Exception as error:
        lines = cattrs.transform_error(error, path="", format_exception=_error_text)
        return [_fault(line, text) for line in lines]
    return []


def _error_text(error: BaseException, _: type | None) -> str:
    if isinstance(error, KeyError):
        return f"{error.args[0]!r} is missing; add it"
    return f"{error}; correct it"


def _fault(line: str, text: str) -> SettingError:
    what, _, where = line.rpartition(" @ ")
    path = where.strip(".")
    name = path.rpartition(".")[2].partition("[")[0]
    return SettingError(f"setting {path or 'settings'!r}: {what}", _line_of(text, name))


def _value_faults(settings: Settings, text: str) -> Iterator[SettingError]:
    for name, address in _addresses(settings):
        try:
            split_address(address)
        except ValueError as error:
            yield SettingError(f"setting {name!r}: {error}", _line_of(text, address))
    for kid, secret in settings.keys.secrets.items():
        if len(secret) < MIN_SECRET_CHARS:
            detail = f"secret {kid!r} has {len(secret)} characters; use {MIN_SECRET_CHARS} or more"
            yield SettingError(detail, _line_of(text, kid))
    if settings.keys.current not in settings.keys.secrets:
        known = sorted(settings.keys.secrets)
        detail = f"'keys.current' is {settings.keys.current!r}; use one of {known}"
        yield SettingError(detail, _line_of(text, "current"))
    if settings.logs.level not in ("debug", "info", "warning", "error"):
        detail = f"'logs.level' is {settings.logs.level!r}; use debug, info, warning or error"
        yield SettingError(detail, _line_of(text, "level"))
    for name, number in _positive_numbers(settings):
        if not number > 0:
            detail = f"{name!r} is {number}; use a number above 0"
            yield SettingError(detail, _line_of(text, name.rpartition(".")[2]))


def _addresses(settings: Settings) -> Iterator[tuple[str, str]]:
    yield "platform.address", settings.platform.address
    yield "proxy.listen", settings.proxy.listen
    yield "steward.listen", settings.steward.listen
    yield "admin.listen", settings.admin.listen
    for peer in settings.steward.peers:
        yield "steward.peers", peer
    if settings.metrics.statsd:
        yield "metrics.statsd", settings.metrics.statsd


def _positive_numbers(settings: Settings) -> Iterator[tuple[str, float]]:
    yield "platform.list_lag_s", settings.platform.list_lag_s
    yield "proxy.stop_longest_s", settings.proxy.stop_longest_s
    yield "steward.detect_s", settings.steward.detect_s
    yield "admin.plan_expires_s", settings.admin.plan_expires_s


def _line_of(text: str, word: str) -> int | None:
    if not word:
        return None
    for number, line in enumerate(text.splitlines(), start=1):
        if re.search(rf"(?<![\w-]){re.escape(word)}(?![\w-])", line.partition("//")[0]):
            return number
    return None
