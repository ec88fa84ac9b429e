"""Decoding of the platform's settings file."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import attrs
import orjson

from wharftiller.core.errors import WharfError
from wharftiller.core.sessions.allowances import AllowanceBounds
from wharftiller.core.sessions.bounds import PlatformBounds
from wharftiller.core.sessions.connection_limits import BoxLimits

METRICS_PORT = 9464
"""Port of the metrics page; declared to the platform in deploy/system.toml."""

RESERVED_FOR_FILES = 200
"""File descriptors out of `MaxFds` that are reserved for files."""

MAX_BOUND_S = 3600.0
"""Exclusive limit of a bound, in seconds; a longer one is probably given in a wrong unit."""

MILLISECOND_S = 0.001
"""One millisecond, in seconds."""

MIN_QUOTA_WINDOW_S = 0.1
"""Minimum of `QuotaWindowS`, in seconds; a shorter one is probably given in a wrong unit."""


class PlatformSettingsError(WharfError):
    """The settings file is unreadable, or a field is missing or invalid."""

    kind = "bad_settings"


@attrs.frozen
class ProcessSettings:
    """The settings that this process uses.

    Attributes
    ----------
    callers, ready, boxes : str
        Addresses on which this process listens for callers' sessions, the load
        balancer's readiness checks and other boxes.
    relay : str
        Address on which it relays other boxes' connections to endpoints.
    metrics : str
        Address of the metrics page.
    store, duties : str
        Addresses of the platform's object store and cloud API.
    bounds : PlatformBounds
        Time limits and quota limits set by the platform.
    first_start : bool
        Whether the whole deployment starts for the first time.
    limits : BoxLimits
        Resource limits of this process.
    needs_workspaces : bool
        Whether callers need a workspace's key.
    """

    box: str
    data_centre: str
    callers: str
    ready: str
    boxes: str
    relay: str
    metrics: str
    seeds: tuple[str, ...]
    store: str
    duties: str
    bounds: PlatformBounds
    first_start: bool = False
    limits: BoxLimits = attrs.field(factory=BoxLimits)
    needs_workspaces: bool = False


def _limits(value: dict[str, Any], path: str) -> BoxLimits:
    """Return the resource limits; missing ones get their defaults.

    Raises
    ------
    PlatformSettingsError
        If a limit is not a number above 0.
    TooFewDescriptorsError
        If the process needs more file descriptors.
    """
    defaults = BoxLimits()

    def number(name: str, default: float) -> float:
        given = value.get(name)
        if given is None:
            return default
        is_number = isinstance(given, int | float) and not isinstance(given, bool)
        if not is_number or not 0 < given < math.inf:
            raise PlatformSettingsError(
                f"{path}: Limits.{name} is {given!r}; give a number above 0, as the platform"
                f" documents it"
            )
        return float(given)

    limits = BoxLimits(
        descriptors=int(number("MaxFds", defaults.descriptors)),
        reserved_for_files=RESERVED_FOR_FILES,
        memory_mb=number("MemoryMb", defaults.memory_mb),
    )
    limits.check()
    return limits


def _bounds(value: dict[str, Any], path: str) -> PlatformBounds:
    """Return the bounds; those of the contracts in force are required."""
    contracts = value.get("Contracts") or ()
    bounds = value["Bounds"]
    defaults = PlatformBounds()

    def seconds(name: str, is_required: bool, unit_s: float, default_s: float) -> float:
        if name not in bounds and not is_required:
            return default_s
        given = bounds.get(name)
        is_number = isinstance(given, int | float) and not isinstance(given, bool)
        if not is_number or not 0 < given * unit_s < MAX_BOUND_S:
            maximum = MAX_BOUND_S / unit_s
            raise PlatformSettingsError(
                f"{path}: Bounds.{name} is {given!r}; give a number above 0 and below"
                f" {maximum:.0f}, as the platform documents it"
            )
        return float(given * unit_s)

    return PlatformBounds(
        grace_s=seconds("GraceS", True, 1.0, defaults.grace_s),
        # How long a leaving endpoint still serves; the platform calls this draining.
        leaving_serves_s=seconds(
            "DrainMs", "drain" in contracts, MILLISECOND_S, defaults.leaving_serves_s
        ),
        configuration_in_force_s=seconds(
            "ConfigApplyMs", "config" in contracts, MILLISECOND_S, defaults.configuration_in_force_s
        ),
        allowances=_allowance_bounds(value, "quota" in contracts, path),
    )


def _allowance_bounds(value: dict[str, Any], is_required: bool, path: str) -> AllowanceBounds:
    """Return the bounds of allowances, which the platform calls quotas."""
    bounds = value["Bounds"]
    defaults = AllowanceBounds()

    def number(name: str, minimum: float, default: float) -> float:
        if name not in bounds and not is_required:
            return default
        given = bounds.get(name)
        if not isinstance(given, int | float) or isinstance(given, bool) or given < minimum:
            raise PlatformSettingsError(
                f"{path}: Bounds.{name} is {given!r}; give a number of {minimum:g} or more, as the"
                f" platform documents it"
            )
        return float(given)

    centres = tuple(sorted(map(str, value.get("Zones") or ())))
    if is_required and value["Zone"] not in centres:
        # Each data centre grants its share: an unlisted one would exceed the allowance.
        raise PlatformSettingsError(
            f"{path}: Zones lists {', '.join(centres) or 'nothing'}; list every data centre,"
            f" this box's {value['Zone']} among them, as the platform documents it"
        )
    return AllowanceBounds(
        window_s=number("QuotaWindowS", MIN_QUOTA_WINDOW_S, defaults.window_s),
        overrun=number("QuotaOverrun", 0.0, defaults.overrun),
        slack=number("QuotaSlack", 0.0, defaults.slack),
        centres=centres,
    )


def load_settings(path: str) -> ProcessSettings:
    """Return the settings in the file ``path``.

    Raises
    ------
    PlatformSettingsError
        If the file cannot be read, or a field is missing or invalid; the message names it.
    """
    try:
        value: dict[str, Any] = orjson.loads(Path(path).read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        raise PlatformSettingsError(
            f"{path} is not a readable JSON file: {error}. Set WHARFTILLER_SETTINGS to its path"
        ) from None
    try:
        return ProcessSettings(
            box=str(value["Node"]),
            data_centre=str(value["Zone"]),
            callers=str(value["Listen"]["Front"]),
            ready=str(value["Listen"]["Ready"]),
            boxes=str(value["Listen"]["Control"]),
            relay=f"{value['Ip']}:{int(value['InternalPorts'][0])}",
            metrics=f"{value['Ip']}:{METRICS_PORT}",
            seeds=tuple(str(each) for each in value.get("Seeds") or ()),
            store=str(value["platform"]["Address"]),
            duties=str(value["CloudApi"]["Address"]),
            bounds=_bounds(value, path),
            first_start=value.get("FirstStart") is True,
            limits=_limits(value.get("Limits") or {}, path),
            # "tenants" is the platform's word for workspaces.
            needs_workspaces="tenants" in (value.get("Contracts") or ()),
        )
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise PlatformSettingsError(
            f"{path}: missing or invalid setting: {error}. Let the role serve 'front' and 'control'"
        ) from None
