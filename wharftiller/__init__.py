"""A database proxy with session consistency for shared booking databases."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
