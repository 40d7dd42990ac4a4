"""The entry process: forwards callers' HTTP requests to the agents of endpoints."""

from __future__ import annotations
