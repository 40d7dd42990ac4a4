"""Pure decision functions shared by processes and experiments."""

from __future__ import annotations
