"""Messages and gRPC service between entries and agents."""

from __future__ import annotations
