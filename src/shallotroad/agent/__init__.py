"""The process beside an endpoint, the authority over what it runs."""

from __future__ import annotations
