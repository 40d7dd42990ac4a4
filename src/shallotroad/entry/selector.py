"""Selection of the agent that is offered a request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple

from shallotroad.policy.choice import Candidate
from shallotroad.policy.choice import choose_expected_start
from shallotroad.policy.choice import expected_start_s


if TYPE_CHECKING:
    from collections.abc import Collection

    from shallotroad.config.versioned_config import VersionedConfig
    from shallotroad.entry.peer import AgentPeer
    from shallotroad.entry.peer_set import PeerSet
    from shallotroad.entry.request import RoutedRequest
    from shallotroad.policy.affinity import PrefixHistory
    from shallotroad.policy.choice import Choose

# Assumed round trip to an agent in another data centre; within one it counts as 0.
OTHER_DATA_CENTRE_ROUND_TRIP_S = 0.002


class Rejection(NamedTuple):
    """A connected agent that is no candidate, and why."""

    name: str
    reason: str


class Selector:
    """Chooses an agent by the load that the connected agents have reported.

    Agents that can serve the request become ``Candidate`` rows, and a function of type
    ``Choose`` takes one of them; ``policy.choice`` defines both.

    Parameters
    ----------
    peers : PeerSet
        The agents; only connected ones are considered.
    config : VersionedConfig
        Supplies the data centres of teams and what is closed.
    history : PrefixHistory
        Where prompts with the same prefix ran before.
    data_centre : str
        This entry's data centre.
    choose : Choose
        Chooses one of the candidates; by default the one with the earliest expected
        start, which counts the wait, a small penalty for load, the round trip and the
        saving of a cached prefix.
    rng : random.Random or None
        Breaks ties; None for a new generator.
    """

    def __init__(
        self,
        *,
        peers: PeerSet,
        config: VersionedConfig,
        history: PrefixHistory,
        data_centre: str,
        choose: Choose = choose_expected_start,
        rng: random.Random | None = None,
    ) -> None:
        self._peers = peers
        self._config = config
        self._history = history
        self._data_centre = data_centre
        self._choose = choose
        self._rng = rng or random.Random()

    def _rejection_reason(self, peer: AgentPeer, request: RoutedRequest) -> str:
        """Return why an agent can't serve a request; empty if it can."""
        fleet = self._config.fleet
        if fleet is None:
            return "no configuration"
        team = fleet.teams.get(request.team)
        if request.target not in peer.serves:
            return "does not serve the target"
        if team is None or peer.data_centre not in team.data_centres:
            return "data centre is not allowed for the team"
        if fleet.is_closed(instance=peer.name, data_centre=peer.data_centre):
            return "taken out of service"
        if not peer.load.accepting:
            return "does not accept work"
        return ""

    def candidates(
        self, request: RoutedRequest, *, excluded: Collection[str] = ()
    ) -> tuple[list[Candidate], list[Rejection]]:
        """Return the candidates, and the connected agents that are not candidates.

        Agents whose names are in ``excluded`` are rejected.
        """
        found = []
        rejected = []
        for peer in self._peers.connected():
            reason = "tried already" if peer.name in excluded else ""
            reason = reason or self._rejection_reason(peer, request)
            if reason:
                rejected.append(Rejection(peer.name, reason))
            else:
                found.append(self._candidate(peer, request))
        return found, rejected

    def _candidate(self, peer: AgentPeer, request: RoutedRequest) -> Candidate:
        """Return an agent's load, distance and prefix saving for a request."""
        load = peer.load
        other_data_centre = peer.data_centre != self._data_centre
        share = self._history.cached_share(list(request.blocks), peer.name)
        return Candidate(
            name=peer.name,
            running=load.running,
            limit=load.limit,
            ahead=sum(load.queued_by_tier[: request.tier + 1]),
            unseen=peer.sent_since_load,
            service_s=load.service_s,
            distance_s=OTHER_DATA_CENTRE_ROUND_TRIP_S * other_data_centre,
            prefix_saving_s=share * load.first_token_s,
        )

    def select(
        self, request: RoutedRequest, *, excluded: Collection[str]
    ) -> AgentPeer | None:
        """Return the agent to offer a request to; None if there is no candidate."""
        found, _ = self.candidates(request, excluded=excluded)
        if not found:
            return None
        return self._peers.get(self._choose(found, self._rng).name)

    def explain(self, request: RoutedRequest) -> dict[str, object]:
        """Return the candidates for a request and the rejections as plain data.

        ``candidates`` has the fields of each ``policy.choice.Candidate`` and its
        ``expected_start_s`` (seconds, see the function of that name in
        ``policy.choice``), the earliest first. ``rejected`` has ``name`` and
        ``reason``.
        """
        found, rejected = self.candidates(request)
        return {
            "candidates": [
                {**c._asdict(), "expected_start_s": expected_start_s(c)}
                for c in sorted(found, key=expected_start_s)
            ],
            "rejected": [r._asdict() for r in rejected],
        }
