"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

from loguru import logger


M_MMAP_THRESHOLD = -3
# Larger blocks are mapped by themselves. It is the initial value of the C library.
MMAP_THRESHOLD_BYTES = 131_072


def return_large_blocks() -> bool:
    """Let the allocator return each large block to the system when it is freed.

    Otherwise the C library raises its threshold to the size of the largest freed block,
    and bodies that grow side by side leave gaps in the heap of several times their
    size. Returns False where the C library has no such setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        logger.bind(why=repr(error)).debug("allocator has no threshold for blocks")
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
