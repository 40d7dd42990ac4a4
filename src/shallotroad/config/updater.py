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

    from shallotroad.config.versioned_config import VersionedConfig
    from shallotroad.discovery.client import Instance
    from shallotroad.discovery.client import PlatformClient
    from shallotroad.protocol.peer_pb2 import ConfigDelta

READERS_PER_DATA_CENTRE = 2
WATCH_TIMEOUT_S = 20.0
WATCH_INTERVAL_S = 0.2
PULL_TIMEOUT_S = 1.0
PULL_PEERS = 8
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0
MIN_ISOLATED_POLL_INTERVAL_S = 10.0
MAX_ISOLATED_POLL_INTERVAL_S = 60.0


def select_readers(
    names: Iterable[str], count: int = READERS_PER_DATA_CENTRE
) -> list[str]:
    """Return the processes of one data centre that read the platform."""

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"reader:{name}".encode()).digest()

    return sorted(names, key=weight)[:count]


def is_platform_reader(
    instances: Sequence[Instance], *, name: str, data_centre: str
) -> bool:
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
    return name not in names or name in select_readers(names)


async def pull_from_peers(
    config: VersionedConfig, addresses: Sequence[str], *, fleet_key: str
) -> int:
    """Learn the newest configuration of a sample of peers.

    All are asked for their revision, then one of the newest for the values.
    Returns how many answered.
    """
    sample = random.sample(addresses, min(PULL_PEERS, len(addresses)))

    async def pull(address: str, request: PullRequest) -> ConfigDelta | None:
        try:
            return await pull_config(
                address, request, fleet_key=fleet_key, timeout_s=PULL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None

    only = PullRequest(revision_only=True)
    responses = await asyncio.gather(*(pull(address, only) for address in sample))
    known = [
        (response.revision, address)
        for response, address in zip(responses, sample, strict=True)
        if response is not None
    ]
    for revision, address in sorted(known, reverse=True):
        if revision <= config.revision:
            break
        response = await pull(address, PullRequest(since=config.revision))
        if response is not None:
            config.apply(decode_delta(response))
    return len(known)


async def watch_platform(
    config: VersionedConfig, platform: PlatformClient, *, is_reader: Callable[[], bool]
) -> None:
    """Follow the configuration service while ``is_reader`` says so.

    A revision that was refused is not asked for again; an absent or stale
    service changes nothing of what is in force.
    """
    backoff_s = MIN_BACKOFF_S
    seen = 0
    while True:
        if not is_reader():
            await asyncio.sleep(MIN_BACKOFF_S)
            continue
        began_s = time.monotonic()
        try:
            delta = await platform.fetch_config_delta(
                since=config.revision,
                after=max(seen, config.revision),
                wait_s=WATCH_TIMEOUT_S,
            )
        except PlatformUnavailableError as error:
            logger.debug("{}", error)
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            continue
        backoff_s = MIN_BACKOFF_S
        seen = delta.revision
        if config.apply(delta):
            logger.info("revision {} in force", config.revision)
        elapsed_s = time.monotonic() - began_s
        await asyncio.sleep(max(WATCH_INTERVAL_S, WATCH_INTERVAL_S * 5 - elapsed_s))


async def read_platform_once(config: VersionedConfig, platform: PlatformClient) -> bool:
    """Read the configuration service once; tell whether it answered."""
    try:
        config.apply(await platform.fetch_config_delta(since=config.revision))
    except PlatformUnavailableError as error:
        logger.debug("{}", error)
        return False
    return True


async def poll_while_isolated(
    config: VersionedConfig,
    platform: PlatformClient,
    *,
    is_isolated: Callable[[], bool],
) -> None:
    """Read the platform now and then while no peer is connected.

    The time between reads doubles up to ``MAX_ISOLATED_POLL_INTERVAL_S``, so that a
    fleet whose entries are all away does not flood the platform.
    """
    interval_s = MIN_ISOLATED_POLL_INTERVAL_S
    while True:
        await asyncio.sleep(interval_s * random.uniform(0.2, 1.8))
        if not is_isolated():
            interval_s = MIN_ISOLATED_POLL_INTERVAL_S
            continue
        await read_platform_once(config, platform)
        interval_s = min(MAX_ISOLATED_POLL_INTERVAL_S, interval_s * 2)
