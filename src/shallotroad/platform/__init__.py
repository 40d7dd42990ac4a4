"""Adapter of the gateway to the platform: its wire names, formats and HTTP calls.

Here the platform is the users' store, their settings files and their HTTP headers.
Entries and agents use the package ``discovery`` instead, for the platform's
configuration service and instance list.
"""

from __future__ import annotations
