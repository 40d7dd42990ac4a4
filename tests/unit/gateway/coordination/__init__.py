"""Tests of the coordination on an in-memory network."""

from __future__ import annotations
