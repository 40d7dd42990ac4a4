"""HTTP connections to endpoints, and pools of them."""

from __future__ import annotations
