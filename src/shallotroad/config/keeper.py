"""Keeps a process's configuration up to date from peers and the platform.

The platform is read by few: entries that rendezvous hashing chooses in each
data centre, and processes that no peer has answered. All others learn from
their peers, by the revision that every batch carries.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from typing import TYPE_CHECKING

import grpc
import grpc.aio
from loguru import logger

from shallotroad.discovery.exceptions import PlatformUnavailableError
from shallotroad.protocol.config_delta import decode_delta
from shallotroad.protocol.peer_pb2 import PullRequest
from shallotroad.protocol.rpc import pull_config


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from shallotroad.config.revision_log import RevisionLog
    from shallotroad.discovery.client import Instance
    from shallotroad.discovery.client import PlatformClient
    from shallotroad.protocol.peer_pb2 import ConfigDelta

READERS_PER_DATA_CENTRE = 2
WATCH_S = 20.0
WATCH_GAP_S = 0.2
PULL_TIMEOUT_S = 1.0
PULL_PEERS = 8
BACKOFF_FIRST_S = 0.25
BACKOFF_LAST_S = 8.0
LONELY_FIRST_S = 10.0
LONELY_LAST_S = 60.0


def chosen_readers(
    names: Iterable[str], count: int = READERS_PER_DATA_CENTRE
) -> list[str]:
    """Return the processes of one data centre that read the platform."""

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"reader:{name}".encode()).digest()

    return sorted(names, key=weight)[:count]


def is_reader(instances: Sequence[Instance], *, name: str, data_centre: str) -> bool:
    """Tell whether an entry reads the platform, by the list that it knows.

    A wrong list costs a second reader at most. A process that is not listed
    yet reads as well.
    """
    names = [
        row.name
        for row in instances
        if row.role == "entry"
        and row.data_centre == data_centre
        and row.state == "live"
    ]
    return name not in names or name in chosen_readers(names)


async def ask_peers(
    log: RevisionLog, addresses: Sequence[str], *, fleet_key: str
) -> int:
    """Learn the newest configuration of a sample of peers.

    All are asked for their revision, then one of the newest for the values.
    Returns how many answered.
    """
    sample = random.sample(addresses, min(PULL_PEERS, len(addresses)))

    async def ask(address: str, request: PullRequest) -> ConfigDelta | None:
        try:
            return await pull_config(
                address, request, fleet_key=fleet_key, timeout_s=PULL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None

    only = PullRequest(revision_only=True)
    answers = await asyncio.gather(*(ask(address, only) for address in sample))
    known = [
        (answer.revision, address)
        for answer, address in zip(answers, sample, strict=True)
        if answer is not None
    ]
    for revision, address in sorted(known, reverse=True):
        if revision <= log.revision:
            break
        answer = await ask(address, PullRequest(since=log.revision))
        if answer is not None:
            log.adopt(decode_delta(answer))
    return len(known)


async def watch_platform(
    log: RevisionLog, platform: PlatformClient, *, reads: Callable[[], bool]
) -> None:
    """Follow the configuration service while ``reads`` says so.

    A revision that was refused is not asked for again; an absent or stale
    service changes nothing of what is in force.
    """
    backoff_s = BACKOFF_FIRST_S
    seen = 0
    while True:
        if not reads():
            await asyncio.sleep(BACKOFF_FIRST_S)
            continue
        began_s = time.monotonic()
        try:
            delta = await platform.fetch_config_delta(
                since=log.revision, after=max(seen, log.revision), wait_s=WATCH_S
            )
        except PlatformUnavailableError as error:
            logger.debug("{}", error)
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(BACKOFF_LAST_S, backoff_s * 2)
            continue
        backoff_s = BACKOFF_FIRST_S
        seen = delta.revision
        if log.adopt(delta):
            logger.info("revision {} in force", log.revision)
        elapsed_s = time.monotonic() - began_s
        await asyncio.sleep(max(WATCH_GAP_S, WATCH_GAP_S * 5 - elapsed_s))


async def read_platform_once(log: RevisionLog, platform: PlatformClient) -> bool:
    """Read the configuration service once; tell whether it answered."""
    try:
        log.adopt(await platform.fetch_config_delta(since=log.revision))
    except PlatformUnavailableError as error:
        logger.debug("{}", error)
        return False
    return True


async def poll_when_lonely(
    log: RevisionLog, platform: PlatformClient, *, lonely: Callable[[], bool]
) -> None:
    """Read the platform now and then while no peer is connected.

    The time between reads doubles up to ``LONELY_LAST_S``, so that a fleet
    whose entries are all away does not flood the platform.
    """
    gap_s = LONELY_FIRST_S
    while True:
        await asyncio.sleep(gap_s * random.uniform(0.2, 1.8))
        if not lonely():
            gap_s = LONELY_FIRST_S
            continue
        await read_platform_once(log, platform)
        gap_s = min(LONELY_LAST_S, gap_s * 2)
