from __future__ import annotations

from hypothesis import settings


settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=60, print_blob=True
)
settings.load_profile("fixed")
