"""Spreads facts about crashes to all gateways by epidemic broadcast.

A gateway sends each fact that is new to it to a few random members, by datagram. The
exchange of gossip carries all facts as well, for members that no datagram reached.

The first loss of a whole request concerns few members: most requests are lost once at
most. It goes to its keepers only, which rendezvous hashing chooses, and to all once
the request is lost again.
"""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING
from typing import Any

import orjson

from shallotroad.gateway.coordination.messages import CrashNews
from shallotroad.policy.crash_correlation import LostRequest
from shallotroad.policy.crash_correlation import Proof
from shallotroad.policy.crash_correlation import decode_fact
from shallotroad.policy.crash_correlation import encode_fact
from shallotroad.policy.crash_correlation import is_fingerprint


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
# Members that keep the first loss of a request, as some may be lost or not reached.
KEEPERS = 3
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
        self._for_keepers: list[Fact] = []
        self._timer: asyncio.TimerHandle | None = None
        self.on_changed: Callable[[], None] = lambda: None

    def publish(self, facts: list[Fact]) -> None:
        """Send facts to other gateways soon."""
        for fact in facts:
            if not _concerns_request(fact):
                self._outbox.append(fact)
            elif not self._correlation.is_repeated(fact):
                self._for_keepers.append(fact)
            else:
                self._outbox.append(fact)
                if isinstance(fact, LostRequest):
                    # The others don't know the first loss before the second one.
                    self._outbox += self._correlation.first_loss(fact)
        if (self._outbox or self._for_keepers) and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SEND_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        facts, self._outbox = self._outbox, []
        for_keepers, self._for_keepers = self._for_keepers, []
        now_s = self._clock()
        members = self._membership.live_names(now_s)
        names = [name for name in members if name != self._membership.name]
        for name in self._rng.sample(names, min(FAN_OUT, len(names))):
            self._send_all(name, facts, now_s)
        by_keeper: dict[str, list[Fact]] = {}
        for fact in for_keepers:
            for name in _keepers(_request_key(fact), members):
                by_keeper.setdefault(name, []).append(fact)
        by_keeper.pop(self._membership.name, None)
        for name, kept in by_keeper.items():
            self._send_all(name, kept, now_s)

    def _send_all(self, name: str, facts: list[Fact], now_s: float) -> None:
        for first in range(0, len(facts), FACTS_PER_DATAGRAM):
            rows = [
                encode_fact(fact, now_s)
                for fact in facts[first : first + FACTS_PER_DATAGRAM]
            ]
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


def _concerns_request(fact: Fact) -> bool:
    """Return whether a fact is about a whole request, and no part of its prompt."""
    if isinstance(fact, LostRequest):
        return not fact.has_parts
    return isinstance(fact, Proof) and is_fingerprint(fact.key)


def _request_key(fact: Fact) -> str:
    return fact.keys[0] if isinstance(fact, LostRequest) else fact.key


def _keepers(key: str, names: list[str]) -> list[str]:
    """Return the members that keep the first loss of a request."""

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)[:KEEPERS]
