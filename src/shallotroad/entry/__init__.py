"""The entry process: callers on one side, agents on the other."""

from __future__ import annotations
