"""Published configuration and registered endpoints, as the process knows them."""

from __future__ import annotations
