"""Connections to endpoints."""

from __future__ import annotations
