"""Remembers which software version began a stream that a caller may resume.

Versions of an endpoint's software write streams that don't fit together, and the
caller that resumes a stream often reaches another gateway than the one that it began
at, which may be gone. So that gateway tells a few others, which the identifier of the
request selects, and the one that is asked to resume the stream asks them. A gateway
that ends tells those that the identifier selects by then.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
from bisect import bisect
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.gateway.coordination.messages import RecallStream
from shallotroad.gateway.coordination.messages import Sender
from shallotroad.gateway.coordination.messages import StreamBegan
from shallotroad.gateway.coordination.messages import StreamRecalled
from shallotroad.observability.event_log import log_event


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from shallotroad.gateway.coordination.messages import Message
    from shallotroad.gateway.endpoint_registry import EndpointRegistry
    from shallotroad.gateway.job import Job
    from shallotroad.gateway.membership import Membership

# Gateways that are told of each stream, besides the one that it begins at. All of them
# are rarely lost together.
HOLDERS = 3
# More are asked than told, as two gateways may know different members.
ASKED = 6
REPLY_TIMEOUT_S = 0.12
RECALL_TRIES = 2
# A gateway that has just started learns of the others meanwhile, by gossip.
RECALL_TRIES_AT_START = 6
# A caller resumes a stream within its deadline.
STREAM_LIFETIME_S = 60.0
# A gateway that has missed no registration for this long has seen all versions that may
# have begun a stream.
VERSIONS_KNOWN_AFTER_S = 30.0
# About 3 MB.
MAX_STREAMS = 20_000
KEY_BYTES = 12
RING_MAX_AGE_S = 0.5
# The newest streams are handed over in batches that the buffers of sockets take, in a
# part of the time that a process keeps for its exit.
HAND_OVER_BATCH = 30
HAND_OVER_PAUSE_S = 0.005
MAX_HAND_OVER_S = 0.25
# The source of an origin that another gateway may know.
STORE_NOT_CONFIRMED = "store not confirmed"


class Origin(NamedTuple):
    """The software version of a stream, and when it was last recorded."""

    software_version: str
    recorded_s: float


class RecalledOrigin(NamedTuple):
    """The software version at which a stream goes on, and how it was found.

    Parameters
    ----------
    software_version : str or None
        None if it is not known.
    source : str
        "known here", "told" (by another gateway), "only version" (of the service's
        endpoints), or why it is not known: "several versions", "no version",
        "registrations missed" (of late) or "store not confirmed" (an endpoint of
        another version may have registered).
    """

    software_version: str | None
    source: str


class Ring(NamedTuple):
    """Names of gateways in the order of their hashes, and when it was made."""

    made_s: float
    points: list[bytes]
    names: list[str]

    def successors(self, key: str, count: int) -> list[str]:
        """Return the names that follow a key."""
        start = bisect(self.points, bytes.fromhex(key))
        names = self.names[start:] + self.names[:start]
        return names[:count]


class Question:
    """A question to some gateways, which may be asked again later.

    Parameters
    ----------
    told : Future of str
        Gets the first version that one of them tells, also of an earlier question.

    Attributes
    ----------
    names : list of str
        The gateways that are asked.
    all_replied : Future
        Done once all of them have replied to this question.
    """

    def __init__(self, *, told: asyncio.Future[str], names: list[str]) -> None:
        self._told = told
        self._silent = len(names)
        self.names = names
        self.all_replied: asyncio.Future[None] = told.get_loop().create_future()
        self._check_complete()

    def record_reply(self, software_version: str | None) -> None:
        """Take the reply of a gateway; those beyond their number are ignored."""
        if self.all_replied.done():
            return
        self._silent -= 1
        if software_version is not None and not self._told.done():
            self._told.set_result(software_version)
        self._check_complete()

    def _check_complete(self) -> None:
        if not self._silent:
            self.all_replied.set_result(None)


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()


def _make_ring(names: list[str], now_s: float) -> Ring:
    ordered = sorted((_hash(name), name) for name in names)
    return Ring(now_s, [point for point, _ in ordered], [name for _, name in ordered])


def stream_key(job: Job) -> str:
    """Return the key of a job's stream, also for a job that resumes it.

    It depends on the team, so that an identifier of another team's request tells
    nothing.
    """
    team = job.team.name if job.team is not None else ""
    request_id = job.request.resumes or job.request.request_id
    return _hash("\0".join((job.service.name, team, request_id))).hex()


class StreamOrigins:
    """The software versions of streams that began here or that others told of.

    Parameters
    ----------
    send : callable
        Sends a message to the gateway of a name, without any guarantee of delivery.
    contact_age_s : callable
        Returns how long ago the store was last heard from.
    confirm_registrations : callable
        Returns whether all endpoints are known that had registered before the call.
    registrations_known_since_s : callable
        Returns the monotonic time in seconds since which no registration was missed.
    """

    def __init__(
        self,
        *,
        endpoint_registry: EndpointRegistry,
        membership: Membership,
        send: Callable[[str, Message], None],
        clock: Callable[[], float],
        contact_age_s: Callable[[], float],
        confirm_registrations: Callable[[], Awaitable[bool]],
        registrations_known_since_s: Callable[[], float],
    ) -> None:
        self._endpoint_registry = endpoint_registry
        self._membership = membership
        self._send = send
        self._clock = clock
        self._contact_age_s = contact_age_s
        self._confirm_registrations = confirm_registrations
        self._registrations_known_since_s = registrations_known_since_s
        self._origins: OrderedDict[str, Origin] = OrderedDict()
        self._questions: dict[int, Question] = {}
        self._last_number = 0
        self._live_ring = Ring(-math.inf, [], [])

    @property
    def known_streams(self) -> int:
        """Number of streams whose version is known here."""
        return len(self._origins)

    def record(self, job: Job) -> None:
        """Record the software version of a job's stream, here and at the holders."""
        if job.software_version is None:
            return
        key = stream_key(job)
        self._remember(key, job.software_version)
        message = StreamBegan(key, job.software_version)
        for name in self._holders(key):
            self._send(name, message)

    async def hand_over(self) -> None:
        """Tell the present holders of the streams that may be resumed.

        A gateway does so before it ends: the holders that were told when a stream began
        may have been restarted since.
        """
        oldest_s = self._clock() - VERSIONS_KNOWN_AFTER_S
        streams = [
            (key, origin.software_version)
            for key, origin in reversed(self._origins.items())
            if origin.recorded_s > oldest_s
        ]
        ends_s = self._clock() + MAX_HAND_OVER_S
        told = 0
        for key, version in streams:
            for name in self._holders(key):
                self._send(name, StreamBegan(key, version))
            told += 1
            if told % HAND_OVER_BATCH == 0:
                await asyncio.sleep(HAND_OVER_PAUSE_S)
                if self._clock() > ends_s:
                    break
        log_event("streams handed over", streams=len(streams), told=told)

    def _remember(self, key: str, version: str) -> None:
        now_s = self._clock()
        self._origins.pop(key, None)
        self._origins[key] = Origin(version, now_s)
        while self._origins:
            oldest = next(iter(self._origins))
            expired = now_s - self._origins[oldest].recorded_s > STREAM_LIFETIME_S
            if not expired and len(self._origins) <= MAX_STREAMS:
                return
            del self._origins[oldest]

    def _known(self, key: str) -> str | None:
        origin = self._origins.get(key)
        if origin is None or self._clock() - origin.recorded_s > STREAM_LIFETIME_S:
            return None
        return origin.software_version

    def _holders(self, key: str) -> list[str]:
        now_s = self._clock()
        if not 0 <= now_s - self._live_ring.made_s < RING_MAX_AGE_S:
            self._live_ring = _make_ring(self._membership.live_names(now_s), now_s)
        names = self._live_ring.successors(key, HOLDERS + 1)
        return [name for name in names if name != self._membership.name][:HOLDERS]

    def _asked(self, key: str) -> list[str]:
        ring = _make_ring(self._membership.known_names(), self._clock())
        names = ring.successors(key, ASKED + 1)
        return [name for name in names if name != self._membership.name][:ASKED]

    async def recall(self, job: Job) -> RecalledOrigin:
        """Return the version that began the stream which a job resumes.

        If no gateway knows it, it is the only version that the endpoints of the service
        had of late. There may have been another one if registrations were missed, or if
        the store does not confirm that all of them are known here.
        """
        if job.request.resumes:
            key = stream_key(job)
            version = self._known(key)
            if version is not None:
                return RecalledOrigin(version, "known here")
            version = await self._ask(key)
            if version is not None:
                return RecalledOrigin(version, "told")
        origin, versions = self._only_version(job.service.name)
        if origin.software_version is not None:
            if await self._confirm_registrations():
                origin, versions = self._only_version(job.service.name)
            else:
                origin = RecalledOrigin(None, STORE_NOT_CONFIRMED)
        log_event(
            "stream of unknown version resumed",
            request=job.request.request_id,
            versions=versions,
            source=origin.source,
            contact_age_s=round(self._contact_age_s(), 3),
        )
        return origin

    def _only_version(self, service: str) -> tuple[RecalledOrigin, int]:
        """Return the only version of a service, and how many versions it had."""
        versions = self._endpoint_registry.software_versions(service, STREAM_LIFETIME_S)
        if len(versions) != 1:
            source = "several versions" if versions else "no version"
            return RecalledOrigin(None, source), len(versions)
        if self._clock() < self._registrations_known_since_s() + VERSIONS_KNOWN_AFTER_S:
            return RecalledOrigin(None, "registrations missed"), 1
        return RecalledOrigin(versions.pop(), "only version"), 1

    async def _ask(self, key: str) -> str | None:
        """Ask the gateways that may know a stream; return the first version told.

        Before gossip has converged, the gateways that may know it are not all known
        here, so they are asked again even if all known ones have replied.
        """
        told: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        numbers: list[int] = []
        all_known = self._membership.has_converged(self._clock())
        try:
            for _ in range(RECALL_TRIES if all_known else RECALL_TRIES_AT_START):
                self._last_number += 1
                numbers.append(self._last_number)
                question = Question(told=told, names=self._asked(key))
                self._questions[self._last_number] = question
                self._send_question(self._last_number, key, question)
                ends: list[asyncio.Future[Any]] = [told]
                if all_known:
                    ends.append(question.all_replied)
                await asyncio.wait(
                    ends,
                    timeout=REPLY_TIMEOUT_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if told.done():
                    return told.result()
                if all_known and question.all_replied.done():
                    return None
            return None
        finally:
            for number in numbers:
                del self._questions[number]

    def _send_question(self, number: int, key: str, question: Question) -> None:
        sender = Sender(self._membership.name, self._membership.incarnation)
        for name in question.names:
            self._send(name, RecallStream(sender, number, key))

    def handle(
        self,
        message: StreamBegan | RecallStream | StreamRecalled,
        reply: Callable[[Message], None],
    ) -> None:
        """Take over or answer a message of another gateway."""
        if isinstance(message, StreamBegan):
            self._remember(message.key, message.software_version)
        elif isinstance(message, RecallStream):
            reply(StreamRecalled(message.number, self._known(message.key)))
        else:
            self._take_answer(message)

    def _take_answer(self, message: StreamRecalled) -> None:
        question = self._questions.get(message.number)
        if question is not None:
            question.record_reply(message.software_version)
