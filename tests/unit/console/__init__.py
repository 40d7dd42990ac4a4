"""Tests of the command line that need no running process."""

from __future__ import annotations
