"""Small specifications of the core protocol, checked exhaustively."""

from __future__ import annotations
