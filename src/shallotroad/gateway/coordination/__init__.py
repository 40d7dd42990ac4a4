"""Placement of all gateways' requests by one coordinator per service."""

from __future__ import annotations
