"""Log output of the processes ``shallotroad-entry`` and ``shallotroad-agent``.

An entry receives callers' requests and forwards them to the agent of an endpoint. The
process ``shallotroad-gateway``, which forwards to endpoints directly, uses
``event_log`` instead. Nothing is filtered here, so log calls must not contain prompt
text or API keys.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger


if TYPE_CHECKING:
    from shallotroad.config.settings import LogSettings

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[process]} {message}"


def configure_logging(settings: LogSettings, *, process: str) -> None:
    """Send logs to standard error, as text lines or as JSON according to settings."""
    logger.remove()
    logger.configure(extra={"process": process})
    if settings.json:
        logger.add(sys.stderr, level=settings.level, serialize=True)
    else:
        logger.add(sys.stderr, level=settings.level, format=LINE_FORMAT)
