"""The ``shallotroad`` command line for operators."""

from __future__ import annotations
