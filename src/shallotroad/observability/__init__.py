"""Logs, status routes, stop signals and stall detection of the processes."""

from __future__ import annotations
