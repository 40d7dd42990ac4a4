"""The gateway process, which forwards callers' requests to endpoints."""

from __future__ import annotations
