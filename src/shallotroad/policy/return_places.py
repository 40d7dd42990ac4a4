"""Places of callers that were told when to return.

A refused request whose engines are expected to be free soon enough is given a place:
its work counts in the forecast of the queue at that time, and a request of the same
caller that returns then is placed before others of its tier. A caller that returns
before the time that it was told is told the rest of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeVar


if TYPE_CHECKING:
    from shallotroad.policy.cells import Cell
    from shallotroad.policy.placement_request import PlacementRequest

# A caller may return so much before its time: times are rounded to 10 ms on the way.
EARLY_TOLERANCE_S = 0.05
# A place is kept for so long after its time, for the way to the caller and back, a new
# connection, and callers that wait a little longer than they were told.
GRACE_S = 1.0
# At most this share of the engines' time until a place is promised to places, so that
# callers who come for the first time are served too.
MAX_PROMISED_SHARE = 0.6
# Weight of a place in the moving average of the share of a team's places that are used.
RETURN_SHARE_SAMPLE_WEIGHT = 0.3
# Smallest share of a place's work that counts, however few of a team's callers return.
MIN_RETURN_SHARE = 0.05
# Assumed share before any place of a team was used or expired.
INITIAL_RETURN_SHARE = 1.0
MAX_TEAMS = 1_024
# Bounds the memory, about half a megabyte.
MAX_PLACES = 1_000
MAX_NAME_LENGTH = 256
# Less work than that of any prompt.
MIN_WORK_MS = 0.001

_KeyT = TypeVar("_KeyT")


class ReturnKey(NamedTuple):
    """What a request and its caller's next try have in common.

    ``part`` is the last part of the prompt, which belongs to the request or its
    session.
    """

    service: str
    team: str
    route: str
    part: str


class ReturnPlace(NamedTuple):
    """The time at which a caller was told to return.

    Parameters
    ----------
    cell : Cell
        Cell whose engines are to serve it.
    tiers : tuple of int
        Tier of its team and of its route.
    since_s, due_s : float
        Monotonic times of the arrival of the request that was refused, and at which its
        caller was told to return.
    work_ms : float
        Prefill time at an engine of slowness 1 that counts in the forecast: that of
        its prompt times the share of the team's places that are used; 0 if nothing is
        promised and the caller was only told when to return.
    """

    cell: Cell
    tiers: tuple[int, int]
    since_s: float
    due_s: float
    work_ms: float


def return_key(request: PlacementRequest) -> ReturnKey | None:
    """Return what identifies the return of a request; None if nothing does."""
    parts = request.profile.parts
    if not request.route or not parts:
        return None
    part = parts[-1].identifier
    if len(part) > MAX_NAME_LENGTH:
        return None
    return ReturnKey(request.service, request.team, request.route, part)


class ReturnPlaces:
    """The places that a gateway has promised; bounded in number and in engine time.

    Attributes
    ----------
    unused : int
        Places with promised work that expired, since the start.
    """

    def __init__(self) -> None:
        self.unused = 0
        self._places: dict[ReturnKey, ReturnPlace] = {}
        # Places with promised work in a cell, their work, and that of each team there.
        self._promised: dict[Cell, dict[ReturnKey, ReturnPlace]] = {}
        self._cell_ms: dict[Cell, float] = {}
        self._team_ms: dict[tuple[Cell, str], float] = {}
        self._return_shares: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._places)

    def find(self, key: ReturnKey, now_s: float) -> ReturnPlace | None:
        """Return the place of a caller; None if it has none or the place expired."""
        place = self._places.get(key)
        if place is not None and now_s > place.due_s + GRACE_S:
            self._expire(key, place)
            return None
        return place

    def use(self, key: ReturnKey) -> None:
        """Remove the place of a caller that has returned in time."""
        self._remove(key, returned=True)

    def _remove(self, key: ReturnKey, *, returned: bool) -> None:
        place = self._places.pop(key, None)
        if place is not None and key in self._promised.get(place.cell, {}):
            del self._promised[place.cell][key]
            if not self._promised[place.cell]:
                del self._promised[place.cell]
            _subtract(self._cell_ms, place.cell, place.work_ms)
            _subtract(self._team_ms, (place.cell, key.team), place.work_ms)
            self._record_return(key.team, returned=returned)

    def _record_return(self, team: str, *, returned: bool) -> None:
        share = self._return_shares.pop(team, INITIAL_RETURN_SHARE)
        share += RETURN_SHARE_SAMPLE_WEIGHT * (returned - share)
        self._return_shares[team] = share
        if len(self._return_shares) > MAX_TEAMS:
            del self._return_shares[next(iter(self._return_shares))]

    def promised_work(self, cell: Cell, now_s: float) -> list[ReturnPlace]:
        """Return the places in a cell with promised work, the earliest first."""
        promised = self._promised.get(cell)
        if not promised:
            return []
        earliest_s = now_s - GRACE_S
        places = [place for place in promised.values() if place.due_s >= earliest_s]
        places.sort(key=_due_s)
        return places

    def reserve(
        self,
        key: ReturnKey,
        place: ReturnPlace,
        *,
        engine_ms: float,
        team_share: float,
        now_s: float,
    ) -> ReturnPlace | None:
        """Add a place with promised work, and return it as it was added.

        Its work counts by the share of the team's places that were used, because
        callers may ignore the time that they are told. Returns None if the bounds do
        not allow the place, or the caller has one already, which it keeps.

        Parameters
        ----------
        engine_ms : float
            Time that the engines have for prefill until the place is due.
        team_share : float
            Share of the promised work that the team may have.
        """
        if not self._has_room(key, now_s):
            return None
        return_share = max(
            MIN_RETURN_SHARE, self._return_shares.get(key.team, INITIAL_RETURN_SHARE)
        )
        place = place._replace(work_ms=place.work_ms * return_share)
        cell, team = place.cell, (place.cell, key.team)
        cell_ms = self._cell_ms.get(cell, 0.0) + place.work_ms
        team_ms = self._team_ms.get(team, 0.0) + place.work_ms
        limit_ms = MAX_PROMISED_SHARE * engine_ms
        if cell_ms > limit_ms or team_ms > limit_ms * team_share:
            return None
        self._cell_ms[cell] = cell_ms
        self._team_ms[team] = team_ms
        self._places[key] = place
        self._promised.setdefault(cell, {})[key] = place
        return place

    def add_without_work(
        self, key: ReturnKey, place: ReturnPlace, now_s: float
    ) -> None:
        """Record when a caller was told to return, although nothing is promised to it.

        Does nothing if it has a place, or there are too many.
        """
        if self._has_room(key, now_s):
            self._places[key] = place

    def _has_room(self, key: ReturnKey, now_s: float) -> bool:
        """Return whether a place may be added for a caller that has none."""
        if self.find(key, now_s) is not None:
            return False
        if len(self._places) >= MAX_PLACES:
            self.expire(now_s)
        return len(self._places) < MAX_PLACES

    def rescale(self, service: str, ratio: float) -> None:
        """Convert the promised work of a service whose engine model has changed."""
        for cell, promised in self._promised.items():
            if cell.service != service:
                continue
            for key, place in promised.items():
                promised[key] = place._replace(work_ms=place.work_ms * ratio)
                self._places[key] = promised[key]
            if cell in self._cell_ms:
                self._cell_ms[cell] *= ratio
        for team in list(self._team_ms):
            if team[0].service == service:
                self._team_ms[team] *= ratio

    def expire(self, now_s: float) -> None:
        """Remove the places whose time has passed."""
        for key, place in list(self._places.items()):
            if now_s > place.due_s + GRACE_S:
                self._expire(key, place)

    def _expire(self, key: ReturnKey, place: ReturnPlace) -> None:
        self.unused += place.work_ms > 0
        self._remove(key, returned=False)


def _subtract(sums: dict[_KeyT, float], key: _KeyT, work_ms: float) -> None:
    """Subtract work, and remove a sum that is nothing but a rounding error.

    Places of hardly any work may be left when their sum is removed.
    """
    rest_ms = sums.pop(key, 0.0) - work_ms
    if rest_ms >= MIN_WORK_MS:
        sums[key] = rest_ms


def is_early(place: ReturnPlace, now_s: float) -> bool:
    """Return whether a caller returns before the time that it was told."""
    return now_s < place.due_s - EARLY_TOLERANCE_S


def _due_s(place: ReturnPlace) -> float:
    return place.due_s
