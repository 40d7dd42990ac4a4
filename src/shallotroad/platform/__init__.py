"""Adapter to the platform: its wire names, formats and HTTP calls."""

from __future__ import annotations
