"""Fair shares of engine time for the teams that compete in a tier.

Start-time fair queueing: each team of a tier has a virtual time, the engine time that
it was given while it competed. Waiting requests are ordered by the virtual time at
which they would start: that of their team plus the work of the team's requests before
them. Teams compete while two or more of them have requests waiting in a tier; otherwise
the order is not changed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Sequence
    from collections.abc import Set as AbstractSet

    from shallotroad.policy.cells import Cell

# A tier without competition for this long is forgotten with its virtual times.
COMPETITION_MEMORY_S = 3.0
# A virtual time lags behind the highest one of its tier by at most this engine time, so
# that a team whose requests no engine may take gathers no claim, and no debt outlasts
# the competition by much.
MAX_LAG_MS = 5_000.0
# Half-life of the work by which the teams' present use of the engines is measured.
USE_HALF_LIFE_S = 2.0
# More teams than this are not told apart: the further ones count as new each time.
MAX_TEAMS = 1_024
MAX_TIERS = 256


class TierKey(NamedTuple):
    """A tier in which teams compete: a cell, a tier of teams and a tier of routes."""

    cell: Cell
    tier: int
    route_tier: int


class WaitingRequest(Protocol):
    """What the order depends on.

    ``work_ms`` is its engine time, prefill and decode. ``precedes`` puts it before the
    requests of all teams in its tier. ``order`` sets ``virtual_start_ms``, and
    ``waits_since_s`` to the earliest arrival among the requests behind it: what those
    may use, it may use.
    """

    tier_key: TierKey
    team: str
    work_ms: float
    precedes: bool
    arrival_s: float
    waits_since_s: float
    virtual_start_ms: float


_WaitingT = TypeVar("_WaitingT", bound=WaitingRequest)


class TierShares:
    """Virtual times and recent use of the teams of one tier, in ms of engine time."""

    def __init__(self, *, now_s: float) -> None:
        self.competed_s = now_s
        self.waiting: AbstractSet[str] = frozenset()
        self._virtual_ms = 0.0
        self._team_ms: dict[str, float] = {}
        self._used_ms: dict[str, float] = {}
        self._used_decayed_s = now_s

    def start_ms(self, team: str) -> float:
        """Return the virtual time at which the team's next request starts."""
        team_ms = self._team_ms.get(team, self._virtual_ms)
        if team in self.waiting:
            return team_ms
        return max(team_ms, self._virtual_ms)

    def update_waiting(self, teams: AbstractSet[str], now_s: float) -> None:
        """Set which teams wait; those that begin to start at the tier's virtual time.

        The virtual time of the tier is the lowest one of its waiting teams, and never
        falls.
        """
        starts_ms = {team: self.start_ms(team) for team in teams}
        highest_ms = max(self._team_ms.values(), default=0.0)
        floor_ms = highest_ms - MAX_LAG_MS
        starts_ms = {team: max(ms, floor_ms) for team, ms in starts_ms.items()}
        lowest_ms = min(starts_ms.values(), default=highest_ms)
        self._virtual_ms = max(self._virtual_ms, lowest_ms, floor_ms)
        self._team_ms = {
            team: ms for team, ms in self._team_ms.items() if ms > self._virtual_ms
        }
        for team, ms in starts_ms.items():
            if team in self._team_ms or len(self._team_ms) < MAX_TEAMS:
                self._team_ms[team] = ms
        self.waiting = teams
        if len(teams) > 1:
            self.competed_s = now_s

    def charge(self, team: str, work_ms: float, now_s: float) -> None:
        """Charge a team for a request that was placed.

        Without waiting requests, no other team is kept from the engines by it.
        """
        self._decay_use(now_s)
        if team in self._used_ms or len(self._used_ms) < MAX_TEAMS:
            self._used_ms[team] = self._used_ms.get(team, 0.0) + work_ms
        if self.waiting and (team in self._team_ms or len(self._team_ms) < MAX_TEAMS):
            self._team_ms[team] = self.start_ms(team) + work_ms

    def _decay_use(self, now_s: float) -> None:
        factor = math.exp2(-(now_s - self._used_decayed_s) / USE_HALF_LIFE_S)
        self._used_decayed_s = now_s
        self._used_ms = {
            team: ms * factor for team, ms in self._used_ms.items() if ms * factor > 1.0
        }

    def used_ms_per_s(self, now_s: float) -> float:
        """Return the engine time that all teams were given lately, in ms a second."""
        self._decay_use(now_s)
        return sum(self._used_ms.values()) * math.log(2.0) / USE_HALF_LIFE_S

    def capacity_share(self, team: str, now_s: float) -> float:
        """Return the share of the engines' time that a team can expect.

        It is an equal share, or what the other teams leave if that is more.
        """
        self._decay_use(now_s)
        teams = self._used_ms.keys() | self.waiting | {team}
        total_ms = sum(self._used_ms.values())
        if not total_ms:
            return 1.0 / len(teams)
        others_ms = total_ms - self._used_ms.get(team, 0.0)
        return max(1.0 / len(teams), 1.0 - others_ms / total_ms)


class FairShares:
    """Orders waiting requests by the shares of their teams, within each tier."""

    def __init__(self) -> None:
        self._tiers: dict[TierKey, TierShares] = {}

    def tier(self, key: TierKey) -> TierShares | None:
        """Return the shares of a tier in which teams compete or did a moment ago."""
        return self._tiers.get(key) if self._tiers else None

    @property
    def tiers(self) -> dict[TierKey, TierShares]:
        """The tiers in which teams compete or did a moment ago."""
        return self._tiers

    def order(self, waiting: list[_WaitingT], now_s: float) -> list[_WaitingT]:
        """Return waiting requests in the order of their teams' shares.

        Parameters
        ----------
        waiting : list
            Requests in the order in which they are to be placed without shares. The
            requests of one team keep this order, and each tier its places in it.
        """
        teams: dict[TierKey, set[str]] = {}
        for item in waiting:
            known = teams.get(item.tier_key)
            if known is None:
                teams[item.tier_key] = {item.team}
            else:
                known.add(item.team)
        self._forget(now_s)
        competing = [key for key, names in teams.items() if len(names) > 1]
        for key in competing:
            if key not in self._tiers and len(self._tiers) < MAX_TIERS:
                self._tiers[key] = TierShares(now_s=now_s)
        for key, shares in self._tiers.items():
            shares.update_waiting(teams.get(key, frozenset()), now_s)
        ordered = list(waiting)
        for key in competing:
            if key in self._tiers:
                _order_tier(ordered, key, self._tiers[key])
        if competing:
            _set_waits_since(ordered, {key.cell for key in competing})
        return ordered

    def _forget(self, now_s: float) -> None:
        for key, shares in list(self._tiers.items()):
            if now_s - shares.competed_s > COMPETITION_MEMORY_S:
                del self._tiers[key]

    def charge(self, key: TierKey, team: str, work_ms: float, now_s: float) -> None:
        """Charge a team for a request that was placed; does nothing elsewhere."""
        shares = self._tiers.get(key)
        if shares is not None:
            shares.charge(team, work_ms, now_s)


def _order_tier(ordered: list[_WaitingT], key: TierKey, shares: TierShares) -> None:
    """Order the requests of one tier among the positions that they have."""
    positions = [n for n, item in enumerate(ordered) if item.tier_key == key]
    members = [ordered[position] for position in positions]
    next_start_ms: dict[str, float] = {}
    for item in members:
        start_ms = next_start_ms.get(item.team)
        if start_ms is None:
            start_ms = shares.start_ms(item.team)
        item.virtual_start_ms = start_ms
        next_start_ms[item.team] = start_ms + item.work_ms
    members.sort(key=_start_key)
    for position, item in zip(positions, members, strict=True):
        ordered[position] = item


def _set_waits_since(
    ordered: Sequence[WaitingRequest], cells: AbstractSet[Cell]
) -> None:
    """Set for each request when the first of those behind it in its cell arrived."""
    earliest_s: dict[Cell, float] = {}
    for item in reversed(ordered):
        cell = item.tier_key.cell
        if cell in cells:
            since_s = min(earliest_s.get(cell, math.inf), item.arrival_s)
            earliest_s[cell] = since_s
            item.waits_since_s = min(item.waits_since_s, since_s)


def _start_key(item: WaitingRequest) -> tuple[bool, float]:
    return (not item.precedes, item.virtual_start_ms)
