"""Writes to a descriptor in a thread, so that a slow reader holds up nothing else.

Standard output may be a pipe whose reader stalls, a file on a slow disk or a terminal.
A descriptor that is made non-blocking would be so for all processes that share it, and
a file blocks anyway.
"""

from __future__ import annotations

import os
import queue
import threading


class BackgroundWriter:
    """Writes one piece of data at a time.

    Attributes
    ----------
    failed : bool
        Whether the last write failed, of which a part may have been written.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._handed: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        self._idle = threading.Event()
        self._idle.set()
        self._thread: threading.Thread | None = None
        self.failed = False

    @property
    def idle(self) -> bool:
        """Whether all data is written, or its write has failed."""
        return self._idle.is_set()

    def write(self, data: bytes) -> None:
        """Write data in the background; to be called only while idle."""
        if self._thread is None:
            # The end of the process does not wait for a daemon thread.
            self._thread = threading.Thread(target=self._run, daemon=True)
            self._thread.start()
        self._idle.clear()
        self._handed.put(data)

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait for the data that is being written; return whether all of it is."""
        return self._idle.wait(timeout_s)

    def _run(self) -> None:
        while True:
            rest = memoryview(self._handed.get())
            self.failed = False
            try:
                while rest:
                    rest = rest[os.write(self._descriptor, rest) :]
            except OSError:
                self.failed = True  # The owner counts what was lost.
            self._idle.set()
