"""Development tools that are not part of the wheel.

They are stand-ins of services, a fault proxy, a demo, chaos and soak runs, and
experiments.
"""

from __future__ import annotations
