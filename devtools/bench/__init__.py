"""Experiments: seeded mixed load on real processes, policies side by side."""

from __future__ import annotations
