"""Structured logs: sentences prefixed with the component's name."""

from __future__ import annotations

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter


class ComponentLog(logging.LoggerAdapter[logging.Logger]):
    """Logger of one component; the entries of ``fields`` become fields of the line."""

    def process(self, msg: Any, kwargs: Any) -> tuple[Any, Any]:
        """Prefix the message with the component's name."""
        fields = kwargs.pop("fields", {})
        kwargs["extra"] = {**(self.extra or {}), **fields}
        return f"{(self.extra or {})['part']}: {msg}", kwargs


def component_log(part: str, box: str) -> ComponentLog:
    """Return the logger of a component (``proxy``, ``steward``, ``admin``) on a box."""
    return ComponentLog(logging.getLogger(f"wharftiller.{part}"), {"part": part, "box": box})


def set_up_logs(level: str) -> None:
    """Send logs of ``level`` and above to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    root = logging.getLogger("wharftiller")
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False
