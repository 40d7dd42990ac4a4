"""Stand-ins, fault proxy, demo and experiments; not part of the wheel."""

from __future__ import annotations
