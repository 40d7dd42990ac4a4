"""Read-only access to the platform's configuration service and instance list."""

from __future__ import annotations
