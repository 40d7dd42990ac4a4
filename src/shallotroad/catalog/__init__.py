"""What operators publish and which endpoints exist."""

from __future__ import annotations
