"""Settings, team templates and fleet configuration of entries and agents.

The platform's configuration service publishes the fleet configuration. The gateway
uses none of this, but ``platform.settings`` and ``catalog.configuration``.
"""

from __future__ import annotations
