from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from shallotroad.agent.exceptions import OfferRefusedError
from shallotroad.agent.records import IdempotencyRecords
from shallotroad.agent.records import KeyExpiredError
from shallotroad.agent.records import KeyReusedError
from shallotroad.agent.records import RecordsFullError
from shallotroad.agent.records import WrongOwnerError
from shallotroad.protocol import peer_pb2
from tests.builders import make_idempotency_key


NONCES = ("n1", "n2", "n3", "n4")
LIFETIME_S = 100.0
REFUSAL = OfferRefusedError(reason=peer_pb2.BUSY, detail="busy")


class RecordsMachine(RuleBasedStateMachine):
    """Applies the actions and invariants of the spec to ``IdempotencyRecords``.

    A call must run at most once and never after a refusal, across retries, wrong
    owners, clock steps, eviction of expired records and restarts of the agent.
    """

    def __init__(self) -> None:
        super().__init__()
        self.wall_s = 0.0
        self.incarnation = 0
        self.records = self._make_records()
        self.runs: dict[str, int] = {}
        self.refused: set[str] = set()

    def _make_records(self) -> IdempotencyRecords:
        return IdempotencyRecords(
            owner="agent-1", incarnation=f"i{self.incarnation}", max_records=3
        )

    @rule(
        nonce=st.sampled_from(NONCES),
        incarnation=st.integers(0, 2),
        owner=st.sampled_from(("agent-1", "agent-2")),
        digest=st.sampled_from(("d1", "d2")),
        refuse=st.booleans(),
    )
    def deliver(
        self, nonce: str, incarnation: int, owner: str, digest: str, refuse: bool
    ) -> None:
        call = f"{nonce}:{incarnation}:{owner}"
        key = make_idempotency_key(
            nonce=call,
            owner=owner,
            incarnation=f"i{incarnation}",
            expires_at_s=LIFETIME_S * (1 + int(nonce[1])),
        )
        try:
            if self.records.find(key, digest=digest, wall_s=self.wall_s) is not None:
                return
            if refuse:
                self.records.refuse(key, digest=digest, refusal=REFUSAL)
                self.refused.add(call)
            else:
                self.records.admit(key, attempt="a", digest=digest)
                self.runs[call] = self.runs.get(call, 0) + 1
        except (WrongOwnerError, KeyExpiredError, KeyReusedError, RecordsFullError):
            return
        except OfferRefusedError:
            assert call in self.refused

    @rule(step_s=st.floats(-150.0, 150.0))
    def move_clock(self, step_s: float) -> None:
        self.wall_s = max(0.0, self.wall_s + step_s)

    @rule()
    def sweep(self) -> None:
        self.records.evict_expired(wall_s=self.wall_s)

    @rule()
    def crash(self) -> None:
        self.incarnation += 1
        self.records = self._make_records()

    @invariant()
    def calls_run_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def refused_calls_never_ran(self) -> None:
        assert not self.refused & self.runs.keys()

    @invariant()
    def record_count_is_bounded(self) -> None:
        assert len(self.records) <= 3


RecordsMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestRecords = RecordsMachine.TestCase
