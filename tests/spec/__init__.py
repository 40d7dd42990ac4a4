"""Checks of the executable specifications and of their mutants."""

from __future__ import annotations
