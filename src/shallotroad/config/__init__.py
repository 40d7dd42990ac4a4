"""Process settings, team templates and the fleet configuration."""

from __future__ import annotations
