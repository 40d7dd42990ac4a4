"""Commands of ``shallotroad``, one per module."""

from __future__ import annotations
