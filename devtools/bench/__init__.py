"""Benchmarks of the router on local processes and of its inner functions.

``python -m devtools.bench`` compares routing policies under seeded mixed load. The
modules ``path_cost``, ``control_cost`` and ``decisions`` are commands of their own.
"""

from __future__ import annotations
