"""Decision logic for placement, admission and retries.

The modules do no I/O, and callers pass in the time, so that the processes and the
benchmarks run the same code.
"""

from __future__ import annotations
