"""Read-only access to the platform's configuration service and instance list.

Entries and agents use it, and "the platform" means these two services here and in
``config``. The gateway reads the platform's store through the package ``platform``.
"""

from __future__ import annotations
