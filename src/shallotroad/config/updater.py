"""Keeps a process's configuration up to date from peers and the platform.

To bound the load on the platform, only a few processes read it: the entries that
rendezvous hashing selects in each data centre, and isolated agents, at a low rate.
All others pull from their peers: every batch carries the sender's revision, so
that a process notices when it is behind. A process is isolated while no peer is
connected; the peers of an agent are the entries.
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
# Time that the configuration service may hold a watch open without a new revision.
WATCH_TIMEOUT_S = 20.0
# Minimum pause from the end of a watch to the start of the next one. The starts of
# two watches are at least five such pauses apart.
MIN_WATCH_PAUSE_S = 0.2
# Timeout of each call to one peer.
PULL_TIMEOUT_S = 1.0
MAX_PULL_PEERS = 8
# Bounds of the mean delay before a retry after the platform was unavailable. The delay
# is randomized between 0.5 and 1.5 times the mean.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0
# Bounds of the mean time between reads of the platform by an isolated process. The
# time is randomized between 0.2 and 1.8 times the mean.
MIN_ISOLATED_POLL_INTERVAL_S = 10.0
MAX_ISOLATED_POLL_INTERVAL_S = 60.0


def select_readers(
    names: Iterable[str], count: int = READERS_PER_DATA_CENTRE
) -> list[str]:
    """Return the platform readers among the processes of one data centre.

    Rendezvous hashing selects them, so that all processes with the same list of
    names select the same readers, and few change when the list does.
    """

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"reader:{name}".encode()).digest()

    return sorted(names, key=weight)[:count]


def is_platform_reader(
    instances: Sequence[Instance], *, name: str, data_centre: str
) -> bool:
    """Return whether an entry is a platform reader, according to its instance list.

    An outdated list only causes additional readers. An entry that is not listed
    yet, or not as live, also reads the platform.
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
    """Pull the newest configuration from a random sample of peers.

    All peers of the sample are asked for their revision first. Then those with a
    newer revision are asked for the changes, the newest first, until the revision
    of the next peer is not newer than the accepted one. Returns the number of
    peers that responded with their revision.
    """
    sample = random.sample(addresses, min(MAX_PULL_PEERS, len(addresses)))

    async def pull(address: str, request: PullRequest) -> ConfigDelta | None:
        try:
            return await pull_config(
                address, request, fleet_key=fleet_key, timeout_s=PULL_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None

    revision_request = PullRequest(revision_only=True)
    responses = await asyncio.gather(
        *(pull(address, revision_request) for address in sample)
    )
    revisions = [
        (response.revision, address)
        for response, address in zip(responses, sample, strict=True)
        if response is not None
    ]
    for revision, address in sorted(revisions, reverse=True):
        if revision <= config.revision:
            break
        response = await pull(address, PullRequest(since=config.revision))
        if response is not None:
            config.apply(decode_delta(response))
    return len(revisions)


async def watch_platform(
    config: VersionedConfig, platform: PlatformClient, *, is_reader: Callable[[], bool]
) -> None:
    """Watch the configuration service while ``is_reader`` returns true.

    Runs until cancelled. A rejected revision is not requested again; when the
    service is unavailable or serves an old revision, the accepted one stays in force.
    """
    backoff_s = MIN_BACKOFF_S
    last_seen_revision = 0
    while True:
        if not is_reader():
            await asyncio.sleep(MIN_BACKOFF_S)
            continue
        started_s = time.monotonic()
        try:
            delta = await platform.fetch_config_delta(
                since=config.revision,
                after=max(last_seen_revision, config.revision),
                wait_s=WATCH_TIMEOUT_S,
            )
        except PlatformUnavailableError as error:
            logger.debug("{}", error)
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            continue
        backoff_s = MIN_BACKOFF_S
        last_seen_revision = delta.revision
        if config.apply(delta):
            logger.info("revision {} in force", config.revision)
        elapsed_s = time.monotonic() - started_s
        await asyncio.sleep(max(MIN_WATCH_PAUSE_S, MIN_WATCH_PAUSE_S * 5 - elapsed_s))


async def read_platform_once(config: VersionedConfig, platform: PlatformClient) -> bool:
    """Read the configuration service once; return whether it responded."""
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
    """Read the platform at growing intervals while ``is_isolated`` returns true.

    Runs until cancelled. The mean interval doubles up to
    ``MAX_ISOLATED_POLL_INTERVAL_S``, so that a fleet that has lost all of its
    entries does not overload the platform. Once the process is not isolated, it starts
    from ``MIN_ISOLATED_POLL_INTERVAL_S`` again.
    """
    interval_s = MIN_ISOLATED_POLL_INTERVAL_S
    while True:
        await asyncio.sleep(interval_s * random.uniform(0.2, 1.8))
        if not is_isolated():
            interval_s = MIN_ISOLATED_POLL_INTERVAL_S
            continue
        await read_platform_once(config, platform)
        interval_s = min(MAX_ISOLATED_POLL_INTERVAL_S, interval_s * 2)
