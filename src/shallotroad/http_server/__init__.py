"""HTTP/1.1 server of the gateway's processes, on the parser of httptools."""

from __future__ import annotations
