"""The process that serves callers on the users' machines."""

from __future__ import annotations
