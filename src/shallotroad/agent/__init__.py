"""The agent process, which alone decides what the endpoint of its instance runs."""

from __future__ import annotations
