"""Published configuration and registered endpoints, as a gateway knows them."""

from __future__ import annotations
