"""Placement of all entries' requests by one coordinator a service."""

from __future__ import annotations
