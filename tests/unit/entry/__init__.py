"""Tests without a network."""

from __future__ import annotations
