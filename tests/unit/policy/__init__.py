"""Tests of the decision logic, without network or clock."""

from __future__ import annotations
