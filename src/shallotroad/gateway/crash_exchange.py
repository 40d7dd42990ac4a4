"""Spreads facts about crashes to all gateways by epidemic broadcast.

A gateway sends each fact that is new to it to a few random members, by datagram. The
exchange of gossip carries all facts as well, for members that no datagram reached.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import orjson

from shallotroad.gateway.coordination.messages import CrashNews
from shallotroad.policy.crash_correlation import decode_fact
from shallotroad.policy.crash_correlation import encode_fact


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from shallotroad.gateway.membership import Membership
    from shallotroad.policy.crash_correlation import CrashCorrelation
    from shallotroad.policy.crash_correlation import Fact

# Members that a gateway sends a new fact to. Four reach over nine tenths of all.
FAN_OUT = 4
# Facts that arrive within this time go out together.
SEND_DELAY_S = 0.05
FACTS_PER_DATAGRAM = 8
# Facts that one gossip exchange carries.
MAX_EXCHANGED_FACTS = 192
# Most of an exchange is left to the members.
MAX_EXCHANGED_BYTES = 100_000


class CrashExchange:
    """Sends the crash facts of this gateway and merges those of others.

    ``on_changed`` is called after facts of others were merged.

    Parameters
    ----------
    send : callable
        Sends a message to the gateway of a name, without any guarantee of delivery.
    """

    def __init__(
        self,
        *,
        correlation: CrashCorrelation,
        membership: Membership,
        send: Callable[[str, CrashNews], None],
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._correlation = correlation
        self._membership = membership
        self._send = send
        self._clock = clock
        self._rng = rng
        self._outbox: list[Fact] = []
        self._timer: asyncio.TimerHandle | None = None
        self.on_changed: Callable[[], None] = lambda: None

    def publish(self, facts: list[Fact]) -> None:
        """Send facts to other gateways soon."""
        self._outbox += facts
        if self._outbox and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SEND_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        facts, self._outbox = self._outbox, []
        now_s = self._clock()
        names = [
            name
            for name in self._membership.live_names(now_s)
            if name != self._membership.name
        ]
        targets = self._rng.sample(names, min(FAN_OUT, len(names)))
        for first in range(0, len(facts), FACTS_PER_DATAGRAM):
            rows = [
                encode_fact(fact, now_s)
                for fact in facts[first : first + FACTS_PER_DATAGRAM]
            ]
            for name in targets:
                self._send(name, CrashNews(rows))

    def rows(self) -> list[list[Any]]:
        """Return the rows for a gossip exchange, empty while nothing crashes."""
        now_s = self._clock()
        rows: list[list[Any]] = []
        size_bytes = 0
        for fact in self._correlation.facts(MAX_EXCHANGED_FACTS, now_s):
            row = encode_fact(fact, now_s)
            size_bytes += len(orjson.dumps(row))
            if size_bytes > MAX_EXCHANGED_BYTES:
                break
            rows.append(row)
        return rows

    def merge(self, rows: object) -> None:
        """Merge the rows of another gateway and pass on what is new.

        Rows that are malformed or of an unknown kind are ignored.
        """
        if not isinstance(rows, list):
            return
        now_s = self._clock()
        new_facts: list[Fact] = []
        for row in rows[:MAX_EXCHANGED_FACTS]:
            fact = decode_fact(row, now_s)
            if fact is not None:
                new_facts += self._correlation.apply(fact, now_s)
        if new_facts:
            self.publish(new_facts)
            self.on_changed()
