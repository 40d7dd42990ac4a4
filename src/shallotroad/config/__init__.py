"""Settings, templates and the fleet configuration."""

from __future__ import annotations
