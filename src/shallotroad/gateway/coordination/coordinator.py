"""The coordinator's side: places what other entries ask for.

It counts the work of all entries at each engine, so that one queue and one
account of the engines serve them all. Everything here can be lost: a
successor rebuilds it from the entries' next reports.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.gateway.coordination.messages import Decline
from shallotroad.gateway.coordination.messages import Grant
from shallotroad.gateway.coordination.messages import Hold
from shallotroad.gateway.exceptions import RefusedError
from shallotroad.observability.event_log import log_event
from shallotroad.policy.endpoint_load import FIRST_EVENT_MS


if TYPE_CHECKING:
    from collections.abc import Callable

    from shallotroad.gateway.admission import Admission
    from shallotroad.gateway.admission import Waiter
    from shallotroad.gateway.cache_survey import CacheSurvey
    from shallotroad.gateway.coordination.messages import Ask
    from shallotroad.gateway.coordination.messages import Ended
    from shallotroad.gateway.coordination.messages import Message
    from shallotroad.gateway.coordination.messages import OpenWork
    from shallotroad.gateway.coordination.messages import Report
    from shallotroad.gateway.coordination.messages import Sender
    from shallotroad.gateway.coordination.messages import Started
    from shallotroad.gateway.endpoint_registry import Fleet
    from shallotroad.policy.endpoint_load import EndpointLoad
    from shallotroad.policy.placement import Candidate

    Reply = Callable[[Message], None]

SILENT_S = 2.0  # several reports were missed: the entry is gone, or cut off


class RemoteWork(NamedTuple):
    """A request of another entry that is counted at an engine."""

    load: EndpointLoad
    due_s: float
    expected_ms: float
    started: bool
    grant: Grant | None


class EntryWork:
    """What one entry has open here."""

    def __init__(self, *, incarnation: int, heard_s: float) -> None:
        self.incarnation = incarnation
        self.heard_s = heard_s
        self.work: dict[int, RemoteWork] = {}
        self.waiting: dict[int, Waiter] = {}


class Coordinator:
    """Answers questions of other entries, and keeps the account of their work."""

    def __init__(
        self,
        *,
        admission: Admission,
        fleet: Fleet,
        clock: Callable[[], float],
        leaving: Callable[[], bool],
        survey: CacheSurvey,
    ) -> None:
        self._admission = admission
        self._fleet = fleet
        self._clock = clock
        self._leaving = leaving
        self._survey = survey
        survey.on_done = self._resume
        self._entries: dict[str, EntryWork] = {}
        self._deferred: dict[tuple[Sender, int], tuple[Ask, Reply]] = {}

    @property
    def granted(self) -> int:
        """Number of other entries' requests that are counted here."""
        return sum(len(entry.work) for entry in self._entries.values())

    def _entry(self, sender: Sender) -> EntryWork | None:
        """Return the account of an entry; None for an earlier incarnation's."""
        now_s = self._clock()
        held = self._entries.get(sender.name)
        if held is not None and held.incarnation > sender.incarnation:
            return None
        if held is None or held.incarnation < sender.incarnation:
            if held is not None:
                self._drop(sender.name, "restarted")
            held = EntryWork(incarnation=sender.incarnation, heard_s=now_s)
            self._entries[sender.name] = held
        held.heard_s = now_s
        return held

    def ask(self, message: Ask, reply: Reply) -> None:
        """Place a request, hold it, or decline it."""
        entry = self._entry(message.sender)
        if entry is None:
            return
        number = message.number
        known = entry.work.get(number)
        if known is not None and known.grant is not None:
            reply(known.grant)
        elif number in entry.waiting:
            reply(Hold(number))
        elif self._leaving():
            reply(Decline(number, "leaving", leaving=True))
        elif self._survey.pending(message.demand.service) and (
            message.demand.placing.patient
        ):
            # Short prompts cost little where they are not cached, and can't wait.
            self._deferred[message.sender, number] = (message, reply)
            reply(Hold(number))
        else:
            self._submit(entry, message, reply)

    def _resume(self) -> None:
        """Place what was held back until the caches were known."""
        deferred, self._deferred = self._deferred, {}
        for message, reply in deferred.values():
            self.ask(message, reply)

    def _submit(self, entry: EntryWork, message: Ask, reply: Reply) -> None:
        number = message.number
        try:
            waiter = self._admission.submit(
                message.demand, partial(self._grant, entry, number, reply)
            )
        except RefusedError as error:
            reply(Decline(number, error.reason, leaving=False))
            return
        if waiter is not None:
            entry.waiting[number] = waiter
            reply(Hold(number))

    def _grant(
        self, entry: EntryWork, number: int, reply: Reply, candidate: Candidate
    ) -> None:
        entry.waiting.pop(number, None)
        grant = Grant(
            number,
            candidate.load.record.identifier,
            round(candidate.cost_ms, 1),
            round(candidate.backlog_ms, 1),
            round(candidate.prefill_ms, 1),
            candidate.cached_tokens,
            candidate.express,
        )
        expected_ms = candidate.backlog_ms + candidate.prefill_ms
        entry.work[number] = RemoteWork(
            candidate.load, candidate.due_s, expected_ms, False, grant
        )
        reply(grant)

    def started(self, message: Started) -> None:
        """Note that a request has begun to answer."""
        entry = self._entry(message.sender)
        work = entry.work.get(message.number) if entry is not None else None
        if entry is None or work is None or work.started:
            return
        work.load.start(work.due_s, self._clock())
        if work.grant is not None:
            observed_ms = message.first_event_ms - FIRST_EVENT_MS
            work.load.learn_pace(work.expected_ms, observed_ms)
        entry.work[message.number] = work._replace(started=True)
        self._admission.pump_soon()

    def ended(self, message: Ended) -> None:
        """Note the end of a request, or of a question."""
        self._deferred.pop((message.sender, message.number), None)
        entry = self._entry(message.sender)
        if entry is None:
            return
        work = entry.work.get(message.number)
        if work is not None:
            if message.success:
                work.load.succeed(self._clock())
            elif message.failure:
                work.load.fail(self._clock(), message.failure)
        self._forget(entry, message.number)
        self._admission.pump_soon()

    def report(self, message: Report) -> None:
        """Bring the account of an entry in line with all that it has open."""
        entry = self._entry(message.sender)
        if entry is None:
            return
        open_work = {work.number: work for work in message.work}
        still = open_work.keys() | set(message.asking)
        for number in [*entry.work, *entry.waiting]:
            if number not in still:
                self._forget(entry, number)
        for work in message.work:
            self._account(entry, work)
        self._admission.pump_soon()

    def _account(self, entry: EntryWork, work: OpenWork) -> None:
        now_s = self._clock()
        held = entry.work.get(work.number)
        if held is None:
            load = self._fleet.loads.get(work.endpoint)
            if load is None:
                return
            # A prompt that has been read already is neither backlog nor debt.
            unread_ms = 0.0 if work.started else work.prefill_ms
            due_s = load.begin(unread_ms, now_s, urgent_tokens=work.urgent_tokens)
            held = RemoteWork(load, due_s, 0.0, False, None)
        if work.started and not held.started:
            held.load.start(held.due_s, now_s)
            held = held._replace(started=True)
        entry.work[work.number] = held

    def _forget(self, entry: EntryWork, number: int) -> None:
        waiter = entry.waiting.pop(number, None)
        if waiter is not None:
            self._admission.withdraw(waiter)
        work = entry.work.pop(number, None)
        if work is not None:
            work.load.end(work.due_s, started=work.started, now_s=self._clock())

    def _drop(self, name: str, why: str) -> None:
        entry = self._entries.pop(name)
        open_work = len(entry.work) + len(entry.waiting)
        for number in [*entry.work, *entry.waiting]:
            self._forget(entry, number)
        if open_work:
            log_event("work of an entry forgotten", entry=name, why=why, n=open_work)

    def expire(self) -> None:
        """Forget the work of entries that have fallen silent."""
        now_s = self._clock()
        for name, entry in list(self._entries.items()):
            if now_s - entry.heard_s > SILENT_S:
                self._drop(name, "silent")

    async def expire_regularly(self) -> None:
        """Look for silent entries until cancelled."""
        while True:
            await asyncio.sleep(SILENT_S / 4)
            self.expire()
