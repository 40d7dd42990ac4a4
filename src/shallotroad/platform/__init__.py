"""Adapter to the users' machines: names, formats and calls."""

from __future__ import annotations
