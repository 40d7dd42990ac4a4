"""Finds what the requests that crash endpoints have in common.

When an endpoint crashes, any of the requests that it had not yet begun to answer may be
the cause. Each has some keys: the shared parts of its prompt, and a fingerprint of the
whole request. A key that crashes endpoints has such a request in every crash, and no
request with it is ever answered; a sound key is soon proven by an answer. Requests with
a part are suspended once crashes at enough different moments have this part and nothing
else explains them; a whole request once it was lost in enough crashes that no suspended
part explains (``RequestLosses``).

Facts are shared by all gateways. They may arrive in any order and more than once.
"""

from __future__ import annotations

import math
from collections import defaultdict
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from shallotroad.policy.request_losses import MOMENT_S
from shallotroad.policy.request_losses import LossOrder
from shallotroad.policy.request_losses import RequestLosses


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from shallotroad.policy.request_losses import LossEvidence

FACT_TTL_S = 600.0
MAX_LOST_REQUESTS = 512
MAX_PROOFS = 1_024
MAX_TRIALS = 64
MAX_RECENT_PROOFS = 4_096
# Facts that were known once stay known, so that one that was dropped is no news again.
MAX_KNOWN_FACTS = 16_384
# Numbers on the wire beyond this can't be encoded again.
MAX_NUMBER = 2**53
EXPIRY_INTERVAL_S = 10.0
MAX_KEYS = 16
MAX_TEXT_LENGTH = 160
MAX_VERDICTS = 8
# Crash moments after which requests with a key are suspended. A key with an answer less
# than PROVEN_BEFORE_S before its first crash needs more, because most such keys are
# sound.
MIN_CRASHES = 3
MIN_CRASHES_IF_PROVEN = 5
PROVEN_BEFORE_S = 60.0
# One crash without a companion may have another cause.
MIN_CRASHES_WITHOUT_COMPANION = 2
# Requests that are let through while their key is suspended, to find out whether it
# still crashes endpoints. The time before the first is doubled for each further one.
MAX_TRIALS_OF_A_KEY = 3
FIRST_TRIAL_DELAY_S = 10.0
# A trial of a part is a request of its own each time. That of a whole request risks an
# endpoint for one caller's answer.
MAX_TRIALS_OF_A_REQUEST = 1
FINGERPRINT_PREFIX = "request:"


class Incarnation(NamedTuple):
    """One run of an endpoint's process.

    ``started_at_ms`` is the Unix time of its start; 0 when it is not stated.
    """

    endpoint: str
    started_at_ms: int


class LostRequest(NamedTuple):
    """A request that was lost in a crash before it had proven itself.

    ``source`` identifies the fact; ``at_s`` is the monotonic time of the loss. The keys
    are those that were not proven: not the parts of a stream that had begun. ``order``
    says how it follows earlier losses of the whole request.
    """

    source: str
    endpoint: Incarnation
    keys: tuple[str, ...]
    at_s: float
    order: LossOrder = LossOrder.INDEPENDENT

    @property
    def has_parts(self) -> bool:
        """Whether it counts for prompt parts, not only for the whole request."""
        return not all(map(is_fingerprint, self.keys))


class Proof(NamedTuple):
    """A request with the key was answered at ``at_s``; earlier crashes do not count."""

    source: str
    key: str
    at_s: float


class Trial(NamedTuple):
    """The latest trial of a suspended key; ``number`` counts them from 1."""

    key: str
    number: int
    at_s: float


Fact = LostRequest | Proof | Trial


class Verdict(NamedTuple):
    """Requests that have all of ``keys`` are suspended, or run alone if ``alone``.

    ``lead`` is the key with the most evidence, ``crashes`` the number of its crash
    moments, for a whole request of its crashes, and ``last_crash_s`` the monotonic time
    of the last one.
    """

    lead: str
    keys: frozenset[str]
    crashes: int
    last_crash_s: float
    alone: bool = False

    @property
    def max_trials(self) -> int:
        """Number of its requests that may be let through while it holds."""
        if is_fingerprint(self.lead):
            return MAX_TRIALS_OF_A_REQUEST
        return MAX_TRIALS_OF_A_KEY


class OpenLoss(NamedTuple):
    """A lost request with those of its keys that no later answer has proven."""

    endpoint: Incarnation
    moment: int
    keys: frozenset[str]


def encode_fact(fact: Fact, now_s: float) -> list[Any]:
    """Return the row of a fact, with its age in milliseconds in place of its time."""
    age_ms = round((now_s - fact.at_s) * 1000)
    if isinstance(fact, LostRequest):
        row = ["lost", fact.source, age_ms, *fact.endpoint, list(fact.keys)]
        # Gateways of earlier versions take only the row without the last field.
        return [*row, int(fact.order)] if fact.order else row
    if isinstance(fact, Proof):
        return ["proof", fact.source, age_ms, fact.key]
    return ["trial", fact.key, age_ms, fact.number]


def decode_fact(row: Any, now_s: float) -> Fact | None:
    """Return the fact of a row; None if it is malformed, too old or of another kind."""
    try:
        kind, name, age_ms, *fields = row
        age_s = float(age_ms) / 1000
        if not (-MOMENT_S <= age_s < FACT_TTL_S and _is_text(name)):
            return None
        at_s = now_s - max(0.0, age_s)
        if kind == "lost":
            endpoint, started_at_ms, keys, *order = fields
            if len(order) > 1:
                return None
            if not (_is_text(endpoint) and isinstance(keys, list)):
                return None
            if not (0 < len(keys) <= MAX_KEYS and all(map(_is_text, keys))):
                return None
            incarnation = Incarnation(endpoint, int(started_at_ms))
            if abs(incarnation.started_at_ms) > MAX_NUMBER:
                return None
            return LostRequest(
                name, incarnation, tuple(keys), at_s, LossOrder(*order or [0])
            )
        if kind == "proof":
            (key,) = fields
            return Proof(name, key, at_s) if _is_text(key) else None
        if kind == "trial":
            (number,) = fields
            if int(number) < 1:
                return None
            return Trial(name, min(MAX_TRIALS_OF_A_KEY, int(number)), at_s)
    except (OverflowError, TypeError, ValueError):
        return None
    return None


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH


def is_fingerprint(key: str) -> bool:
    """Return whether a key stands for a whole request."""
    return key.startswith(FINGERPRINT_PREFIX)


class CrashCorrelation:
    """What a gateway knows of crashes, and the requests that are suspended for them.

    Parameters
    ----------
    source : str
        Identifies this process in the facts that it makes.
    """

    def __init__(self, *, source: str) -> None:
        self._source = source
        self._fact_count = 0
        self._lost: dict[str, LostRequest] = {}
        self._request_losses = RequestLosses()
        # May still have keys of losses that were dropped for others.
        self._lost_keys: set[str] = set()
        self._proofs: dict[str, Proof] = {}
        self._trials: dict[str, Trial] = {}
        # The latest answers to requests with a part, and to whole requests.
        self._recent_proofs: dict[str, float] = {}
        self._recent_answers: dict[str, float] = {}
        self._known: dict[str, None] = {}
        self._expired_s = -math.inf
        self._verdicts: list[Verdict] = []
        self._stale = False

    def _next_source(self) -> str:
        self._fact_count += 1
        return f"{self._source}:{self._fact_count}"

    @property
    def has_losses(self) -> bool:
        """Whether any lost request is known."""
        return bool(self._lost or self._request_losses)

    def is_repeated(self, fact: Fact) -> bool:
        """Return whether the whole request of a fact was lost more than once."""
        keys = fact.keys if isinstance(fact, LostRequest) else (fact.key,)
        return any(len(self._request_losses.losses(key)) > 1 for key in keys)

    def loss_evidence(self, fingerprint: str) -> LossEvidence:
        """Return how often a whole request was lost since its last answer."""
        return self._request_losses.evidence(fingerprint)

    def is_retry(self, fingerprint: str, sent_s: float) -> bool:
        """Return whether a whole request was sent again because of a loss."""
        return self._request_losses.is_retry(fingerprint, sent_s)

    def first_loss(self, fact: LostRequest) -> list[LostRequest]:
        """Return the first loss of a request whose second loss is the fact."""
        losses = [x for key in fact.keys for x in self._request_losses.losses(key)]
        return (
            [x for x in losses if x.source != fact.source] if len(losses) == 2 else []
        )

    def facts(self, limit: int, now_s: float) -> list[Fact]:
        """Return known facts, first those that verdicts rest on, then the newest."""
        suspended = [verdict.keys for verdict in self.verdicts(now_s)]

        def rank(fact: Fact) -> tuple[bool, float]:
            keys = fact.keys if isinstance(fact, LostRequest) else (fact.key,)
            decisive = isinstance(fact, Trial) or any(
                keys_of_verdict <= set(keys) for keys_of_verdict in suspended
            )
            return decisive, fact.at_s

        lost = {fact.source: fact for fact in self._request_losses.repeated_losses()}
        facts: list[Fact] = [*(lost | self._lost).values(), *self._proofs.values()]
        facts += self._trials.values()
        return sorted(facts, key=rank, reverse=True)[:limit]

    def record_crash(
        self,
        endpoint: Incarnation,
        requests: Iterable[tuple[str, ...]],
        now_s: float,
        *,
        orders: Mapping[str, LossOrder] = MappingProxyType({}),
    ) -> list[Fact]:
        """Record a crash with the keys of each request that it lost.

        ``orders`` has the orders of the losses by fingerprint, if not independent.
        Returns the new facts, among them that some of the keys were proven before.
        """
        facts: list[Fact] = []
        for keys in requests:
            if keys:
                lost = LostRequest(
                    source=self._next_source(),
                    endpoint=endpoint,
                    keys=keys,
                    at_s=now_s,
                    order=max(orders.get(key, LossOrder.INDEPENDENT) for key in keys),
                )
                facts += self.apply(lost, now_s)
        return facts

    def record_answer(self, keys: Iterable[str], now_s: float) -> list[Fact]:
        """Record that a request with these keys was answered; return the new facts."""
        facts: list[Fact] = []
        for key in keys:
            recent = (
                self._recent_answers if is_fingerprint(key) else self._recent_proofs
            )
            recent.pop(key, None)
            recent[key] = now_s
            if len(recent) > MAX_RECENT_PROOFS:
                del recent[next(iter(recent))]
            if self._has_open_loss(key, now_s):
                facts += self.apply(Proof(self._next_source(), key, now_s), now_s)
        return facts

    def apply(self, fact: Fact, now_s: float) -> list[Fact]:
        """Merge a fact; return what is new to this gateway, nothing if it is known."""
        if now_s - fact.at_s > FACT_TTL_S or _fact_name(fact) in self._known:
            return []
        if isinstance(fact, LostRequest):
            self._remember(fact)
            for key in filter(is_fingerprint, fact.keys):
                self._request_losses.record_loss(key, fact)
            if not fact.has_parts:
                self._stale = True
                return [fact, *self._earlier_proofs(fact)]
            self._lost[fact.source] = fact
            self._lost_keys.update(fact.keys)
            self._drop_surplus_losses()
            self._stale = True
            return [fact, *self._earlier_proofs(fact)]
        if isinstance(fact, Proof):
            return self._apply_proof(fact)
        known = self._trials.get(fact.key)
        if known is not None and known.number >= fact.number:
            return []
        self._remember(fact)
        self._trials[fact.key] = fact
        _drop_oldest(self._trials, MAX_TRIALS)
        return [fact]

    def _remember(self, fact: Fact) -> None:
        """Keep that a fact was taken over, also after it is dropped."""
        self._known[_fact_name(fact)] = None
        while len(self._known) > MAX_KNOWN_FACTS:
            del self._known[next(iter(self._known))]

    def _drop_surplus_losses(self) -> None:
        """Drop the oldest losses, but last those that a verdict rests on."""

        def is_decisive(lost: LostRequest) -> bool:
            keys = set(lost.keys)
            return any(verdict.keys <= keys for verdict in self._verdicts)

        while len(self._lost) > MAX_LOST_REQUESTS:
            surplus = (k for k, lost in self._lost.items() if not is_decisive(lost))
            del self._lost[next(surplus, next(iter(self._lost)))]

    def _apply_proof(self, proof: Proof) -> list[Fact]:
        """Merge a proof if it is the first of its key or clears a further loss.

        Others are not news. Ages grow a little with each gateway that passes a fact on,
        so the latest of two proofs would change for ever.
        """
        known = self._proofs.get(proof.key)
        if known is not None:
            if known.source == proof.source or known.at_s >= proof.at_s:
                return []
            if not self._has_open_loss(proof.key, proof.at_s):
                return []
        self._remember(proof)
        self._proofs[proof.key] = proof
        _drop_oldest(self._proofs, MAX_PROOFS)
        if is_fingerprint(proof.key):
            self._request_losses.record_answer(proof.key, proof.at_s)
        self._stale = True
        return [proof]

    def _earlier_proofs(self, lost: LostRequest) -> list[Fact]:
        """Return proofs from before a loss that other gateways may not know."""
        facts: list[Fact] = []
        for key in lost.keys:
            recent = (
                self._recent_answers if is_fingerprint(key) else self._recent_proofs
            )
            proven_s = recent.get(key)
            if proven_s is not None and key not in self._proofs:
                facts += self._apply_proof(Proof(self._next_source(), key, proven_s))
        return facts

    def _has_open_loss(self, key: str, at_s: float) -> bool:
        """Return whether an answer at ``at_s`` would clear a loss of the key."""
        if is_fingerprint(key):
            return self._request_losses.has_loss(key, at_s)
        if key not in self._lost_keys:
            return False
        known = self._proofs.get(key)
        after_s = known.at_s if known is not None else -math.inf
        return any(
            key in lost.keys and after_s < lost.at_s <= at_s
            for lost in self._lost.values()
        )

    def verdicts(self, now_s: float) -> list[Verdict]:
        """Return the verdicts that hold now."""
        if now_s - self._expired_s > EXPIRY_INTERVAL_S:
            self._expired_s = now_s
            self._expire(now_s)
        if self._stale:
            self._stale = False
            self._verdicts = self._find_verdicts()
        return self._verdicts

    def _expire(self, now_s: float) -> None:
        def is_live(fact: Fact) -> bool:
            return now_s - fact.at_s <= FACT_TTL_S

        self._lost = {k: fact for k, fact in self._lost.items() if is_live(fact)}
        self._lost_keys = {key for lost in self._lost.values() for key in lost.keys}
        self._proofs = {k: fact for k, fact in self._proofs.items() if is_live(fact)}
        self._trials = {k: fact for k, fact in self._trials.items() if is_live(fact)}
        self._request_losses.expire(now_s - FACT_TTL_S)
        self._stale = True

    def next_trial_s(self, verdict: Verdict) -> float:
        """Return when a request may be let through; infinity after the last trial."""
        count = self._trial_count(verdict)
        if count >= verdict.max_trials:
            return math.inf
        trials = [self._trials[key] for key in verdict.keys if key in self._trials]
        last_s = max([verdict.last_crash_s, *(trial.at_s for trial in trials)])
        return last_s + FIRST_TRIAL_DELAY_S * float(2**count)

    def begin_trial(self, verdict: Verdict, now_s: float) -> list[Fact]:
        """Count a trial for each key of a verdict; return the new facts.

        Another key of them may have most evidence later.
        """
        number = self._trial_count(verdict) + 1
        facts: list[Fact] = []
        for key in sorted(verdict.keys):
            facts += self.apply(Trial(key, number, now_s), now_s)
        return facts

    def _trial_count(self, verdict: Verdict) -> int:
        trials = [self._trials[key] for key in verdict.keys if key in self._trials]
        return max((trial.number for trial in trials), default=0)

    def _find_verdicts(self) -> list[Verdict]:
        """Return the verdicts on whole requests, then those on prompt parts."""
        found = self._find_part_verdicts()

        def is_explained(lost: LostRequest) -> bool:
            return any(
                lost.endpoint in explained and not verdict.keys <= set(lost.keys)
                for verdict, explained in found
                if not any(map(is_fingerprint, verdict.keys))
            )

        requests = self._request_losses.suspects_without(is_explained)
        suspects = {request.fingerprint for request in requests}
        verdicts = [
            Verdict(
                lead=request.fingerprint,
                keys=frozenset({request.fingerprint}),
                crashes=request.crashes,
                last_crash_s=request.last_crash_s,
                alone=request.alone,
            )
            for request in sorted(requests)
        ]
        verdicts += [verdict for verdict, _ in found if not verdict.keys & suspects]
        return verdicts

    # Search for the keys that explain the crashes

    def _find_part_verdicts(self) -> list[tuple[Verdict, set[Incarnation]]]:
        """Return the parts that explain the crashes, and which crashes these are.

        Those with most evidence come first. The crashes that a key explains are not
        counted for the others. Whole requests that explain crashes are left out, as
        ``RequestLosses`` has them.
        """
        crash_times_s: dict[Incarnation, float] = {}
        for lost in self._lost.values():
            known_s = crash_times_s.get(lost.endpoint, math.inf)
            crash_times_s[lost.endpoint] = min(known_s, lost.at_s)
        moments = _moments(crash_times_s)
        first_loss_s: dict[str, float] = {}
        losses: list[OpenLoss] = []
        for lost in self._lost.values():
            for key in lost.keys:
                first_s = first_loss_s.get(key, math.inf)
                first_loss_s[key] = min(first_s, lost.at_s)
            keys = frozenset(
                key for key in lost.keys if not self._is_cleared(lost, key)
            )
            losses.append(OpenLoss(lost.endpoint, moments[lost.endpoint], keys))
        proven = {
            key
            for key, first_s in first_loss_s.items()
            if key in self._proofs
            and self._proofs[key].at_s >= first_s - PROVEN_BEFORE_S
        }
        suspended = {
            request.fingerprint for request in self._request_losses.suspended()
        }
        by_requests = {
            moments[lost.endpoint]
            for lost in self._lost.values()
            if not suspended.isdisjoint(lost.keys)
        }
        verdicts: list[tuple[Verdict, set[Incarnation]]] = []
        for _ in range(MAX_VERDICTS):
            found = _strongest(losses, proven, by_requests)
            if found is None:
                break
            lead, keys = found
            explained = {loss.endpoint for loss in losses if keys <= loss.keys}
            if not is_fingerprint(lead):
                verdict = Verdict(
                    lead=lead,
                    keys=keys,
                    crashes=len({moments[endpoint] for endpoint in explained}),
                    last_crash_s=max(crash_times_s[endpoint] for endpoint in explained),
                )
                verdicts.append((verdict, explained))
            losses = [loss for loss in losses if loss.endpoint not in explained]
        return verdicts

    def _is_cleared(self, lost: LostRequest, key: str) -> bool:
        proof = self._proofs.get(key)
        return proof is not None and proof.at_s >= lost.at_s


def _fact_name(fact: Fact) -> str:
    return f"{fact.key}:{fact.number}" if isinstance(fact, Trial) else fact.source


def _drop_oldest(items: dict[str, Any], limit: int) -> None:
    while len(items) > limit:
        del items[next(iter(items))]


def _moments(crash_times_s: Mapping[Incarnation, float]) -> dict[Incarnation, int]:
    """Return a number for each crash, the same for those within ``MOMENT_S``."""
    moments: dict[Incarnation, int] = {}
    first_s = -math.inf
    number = -1
    for endpoint, at_s in sorted(crash_times_s.items(), key=lambda item: item[1]):
        if at_s - first_s > MOMENT_S:
            first_s = at_s
            number += 1
        moments[endpoint] = number
    return moments


def _strongest(
    losses: list[OpenLoss], proven: set[str], by_requests: set[int]
) -> tuple[str, frozenset[str]] | None:
    """Return the key with the most evidence and all keys of its verdict, if any.

    The moments ``by_requests``, in which suspended whole requests were lost, don't
    count for a part that is proven, and are not enough for another one.
    """
    losses_of: dict[str, set[int]] = defaultdict(set)
    moments_of: dict[str, set[int]] = defaultdict(set)
    for number, loss in enumerate(losses):
        for key in loss.keys:
            losses_of[key].add(number)
            moments_of[key].add(loss.moment)
    candidates = [
        key
        for key, moments in moments_of.items()
        if _is_enough(key, moments, proven, by_requests)
    ]
    if not candidates:
        return None
    lead = max(
        candidates,
        key=lambda key: (
            key not in proven,
            len(moments_of[key]),
            not is_fingerprint(key),
            len(losses_of[key]),
            key,
        ),
    )
    # A key that only occurs together with the lead explains the lead's crashes as well,
    # and suspends fewer requests, unless the lead has crashes enough without it.
    while narrower := [
        key
        for key in candidates
        if losses_of[key] < losses_of[lead]
        and not is_fingerprint(key)
        and len(moments_of[lead] - moments_of[key]) < MIN_CRASHES_WITHOUT_COMPANION
    ]:
        lead = max(narrower, key=lambda key: (len(moments_of[key]), key))
    shared = [losses[number] for number in losses_of[lead]]
    return lead, _with_companions(lead, shared, proven)


def _is_enough(
    key: str, moments: set[int], proven: set[str], by_requests: set[int]
) -> bool:
    """Return whether a key was lost at enough moments."""
    if is_fingerprint(key):
        by_requests = set()
    if key in proven:
        return len(moments - by_requests) >= MIN_CRASHES_IF_PROVEN
    return len(moments) >= MIN_CRASHES and not moments <= by_requests


def _with_companions(
    lead: str, losses: list[OpenLoss], proven: set[str]
) -> frozenset[str]:
    """Return the lead with the keys that its lost requests have in common.

    As long as no crash shows that the lead alone is enough, only requests with all of
    these are suspended. One crash without a prompt part does not yet rule it out. The
    fingerprint is one of these if all crashes were of the same request.
    """
    crashes = len({loss.moment for loss in losses})
    counts: dict[str, int] = {}
    for key in set().union(*(loss.keys for loss in losses)) - {lead}:
        if key in proven and lead not in proven:
            continue
        if is_fingerprint(key) and any(key not in loss.keys for loss in losses):
            continue
        counts[key] = len({loss.moment for loss in losses if key in loss.keys})
    keys = frozenset({lead})
    for key in sorted(counts, key=lambda key: (-counts[key], key)):
        together = {loss.moment for loss in losses if keys | {key} <= loss.keys}
        if len(together) >= max(2, crashes - 1):
            keys |= {key}
    return keys
