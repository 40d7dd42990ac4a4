"""One thin command a module."""

from __future__ import annotations
