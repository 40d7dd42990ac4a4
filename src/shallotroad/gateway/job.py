"""A caller's request with the state that the gateway keeps while it works on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotroad.catalog.configuration import RouteKind
from shallotroad.policy.endpoint_load import MIN_PREFILL_SHARE
from shallotroad.policy.endpoint_load import decode_share
from shallotroad.policy.endpoint_load import expected_answer_s
from shallotroad.policy.endpoint_load import prefill_share
from shallotroad.policy.engine_model import NOMINAL_MODEL
from shallotroad.policy.placement import RequestProfile
from shallotroad.policy.placement import decode_stall_threshold_tokens
from shallotroad.policy.placement_request import PlacementRequest


if TYPE_CHECKING:
    from shallotroad.catalog.configuration import Route
    from shallotroad.catalog.configuration import Service
    from shallotroad.catalog.configuration import Team
    from shallotroad.platform.headers import CallerRequest
    from shallotroad.policy.engine_model import EngineModel


# Share of the remaining time that a job may wait for an endpoint; the rest is for the
# response, and more of it for the many events of a stream.
MAX_WAIT_SHARE = 0.5
MAX_STREAM_WAIT_SHARE = 0.25
# Any job may wait this long, so that at least one engine is asked for.
MIN_WAIT_S = 0.3
# A stream may wait for an engine for at least this share of its objective, also if its
# answer might then not be whole in time: engines with few streams are faster.
MIN_WAIT_OBJECTIVE_SHARE = 0.5
# By the protocol, callers leave a stream that stays silent for the longest of
# MIN_CALLER_TIMEOUT_S, CALLER_TIMEOUT_OBJECTIVES times the route's objective and
# CALLER_TIMEOUT_EVENT_GAPS times the route's longest event gap.
MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_EVENT_GAPS = 8.0
# Share of the caller's timeout that a stream may wait for an endpoint; the rest is for
# the prefill.
MAX_WAIT_CALLER_TIMEOUT_SHARE = 0.8

# Factor on the expected duration of an answer, as the caller's estimate of its length
# is often too low.
EXPECTED_END_MARGIN = 1.5

# Allowed regions when a route and a team have none in common. An empty set would allow
# every region, and no region is named "".
NO_COMMON_REGION = frozenset({""})


class Job:
    """A request with its route, team, deadlines and attempts.

    All times are monotonic, in seconds. ``attempts`` lists the endpoints that
    were tried, ``placement_inputs`` the figures behind each choice, for the log.
    ``possible_runs`` counts the attempts that may have run, and ``retry_reserved`` says
    that the next one to be sent is a retry which the budget allows. ``interrupted_s``
    is when a stream that has started was last interrupted; None before.
    ``trial_attempt`` is the number of attempts before the one that is a trial of a
    suspended request, ``alone_attempt`` of the one that runs alone; None without such
    an attempt. ``software_version`` is that of the endpoint that began its stream, None
    before its first event; only that version may go on.
    ``request_key`` is the crash monitor's key of the whole request, once it was asked
    for; ``body`` may be released after that.

    A job lasts until the request has its response. Whenever it needs an endpoint, a
    ``PlacementRequest`` is made from it, which has only what the choice of an endpoint
    depends on and can be sent to a coordinator.

    Parameters
    ----------
    team : Team or None
        None on public routes and where no keys are required.
    version : int
        Version of the configuration that matched the request.
    gap_tolerant : bool
        Whether the route's event gap limit is at least twice (``GAP_TOLERANT_RATIO`` of
        the configuration) the lowest one of the service's streams. False if the route
        or the service has no such limit.
    min_event_gap_limit_ms : float
        That lowest event gap limit; 0 if no stream of the service has one.
    engine_model : EngineModel
        Model of the service's engines that is in force at its arrival.
    """

    def __init__(
        self,
        *,
        request: CallerRequest,
        body: bytes,
        route: Route,
        service: Service,
        team: Team | None,
        data_centre: str,
        arrival_s: float,
        version: int,
        gap_tolerant: bool,
        min_event_gap_limit_ms: float = 0.0,
        engine_model: EngineModel = NOMINAL_MODEL,
    ) -> None:
        self.request = request
        self.body = body
        self.request_key = ""
        self.route = route
        self.service = service
        self.team = team
        self.version = version
        self.gap_tolerant = gap_tolerant
        self.engine_model = engine_model
        self.arrival_s = arrival_s
        route_timeout_ms = route.timeout_ms
        self.timeout_s = arrival_s + route_timeout_ms / 1000
        deadline_ms = request.deadline_ms if request.deadline_ms else route_timeout_ms
        self.deadline_s = arrival_s + deadline_ms / 1000
        self.tier = route.tier
        if team is not None and team.tier is not None:
            self.tier = team.tier
        self.profile = RequestProfile(
            data_centre=data_centre,
            parts=request.prompt_parts,
            prompt_tokens=request.prompt_tokens,
            body_bytes=len(body),
            gap_tolerant=gap_tolerant,
            long_prompt=self._is_long_prompt(min_event_gap_limit_ms),
        )
        self.excluded: set[str] = set()
        self.attempts: list[str] = []
        self.placement_inputs: list[dict[str, object]] = []
        self.possible_runs = 0
        self.retry_reserved = False
        self.trial_attempt: int | None = None
        self.alone_attempt: int | None = None
        self.interrupted_s: float | None = None
        self.software_version: str | None = None
        self.waited_ms = 0.0

    def _is_long_prompt(self, min_event_gap_limit_ms: float) -> bool:
        """Return whether its prompt is so long that its prefill stalls other streams.

        The limit is ``decode_stall_threshold_tokens``. All prompt tokens count, cached
        ones included. False for a service without an engine or an event gap limit.
        """
        engine = self.service.engine
        if engine is None or not min_event_gap_limit_ms:
            return False
        threshold_tokens = decode_stall_threshold_tokens(
            min_event_gap_limit_ms, engine.tokens_per_event, self.engine_model
        )
        return self.request.prompt_tokens > threshold_tokens

    def last_start_s(self, now_s: float) -> float:
        """Return the latest time at which it may start at an endpoint.

        For a stream it is also bounded by the caller's timeout for a silent
        stream, which can end long before the deadline; for a gap-tolerant one also by
        the time that its answer takes at an engine that is busy with prefill.
        """
        if not self.streams:
            return now_s + MAX_WAIT_SHARE * (self.end_s - now_s)
        latest_s = now_s + MAX_STREAM_WAIT_SHARE * (self.end_s - now_s)
        if self.gap_tolerant and self.interrupted_s is None:
            whole_answer_s = self._last_start_for_whole_answer_s()
            latest_s = min(latest_s, max(now_s + MIN_WAIT_S, whole_answer_s))
        caller_timeout_s = max(
            MIN_CALLER_TIMEOUT_S,
            CALLER_TIMEOUT_OBJECTIVES * self.route.objective_ms / 1000,
            CALLER_TIMEOUT_EVENT_GAPS * self.route.max_event_gap_ms / 1000,
        )
        silent_since_s = self.interrupted_s or self.arrival_s
        return min(
            latest_s, silent_since_s + MAX_WAIT_CALLER_TIMEOUT_SHARE * caller_timeout_s
        )

    def _last_start_for_whole_answer_s(self) -> float:
        """Return the latest start with which the answer can be whole in time.

        A request that starts later would be cut off by its deadline after its prefill
        and most of its answer have taken the time of other requests.
        """
        if self.service.engine is None:
            return self.end_s
        model = self.engine_model
        needed = decode_share(
            self.expected_tokens, self.end_s - self.objective_s, model
        )
        answer_s = expected_answer_s(self.expected_tokens, prefill_share(needed), model)
        min_wait_s = MIN_WAIT_OBJECTIVE_SHARE * (self.objective_s - self.arrival_s)
        return max(self.arrival_s + min_wait_s, self.end_s - answer_s)

    def placement_request(
        self, now_s: float, unusable: frozenset[str] = frozenset()
    ) -> PlacementRequest:
        """Return the placement request of this job.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        unusable : frozenset of str
            Endpoints that this gateway can't use, besides those excluded by
            failed attempts.
        """
        regions = self.route.regions
        if self.team is not None and self.team.regions:
            common = regions & self.team.regions or NO_COMMON_REGION
            regions = common if regions else self.team.regions
        return PlacementRequest(
            service=self.service.name,
            profile=self.profile,
            tier=self.tier,
            route_tier=self.route.tier,
            arrival_s=self.arrival_s,
            objective_s=self._next_event_due_s,
            end_s=self.end_s,
            deadline_s=self.deadline_s,
            last_start_s=self.last_start_s(now_s),
            streams=self.streams,
            gap_sensitive_tokens=self.expected_tokens if self.gap_sensitive else 0,
            excluded=frozenset(self.excluded) | unusable,
            regions=regions,
            expected_tokens=self.expected_tokens,
            refusable=(
                self.gap_tolerant and not self.possible_runs and not self.attempts
            ),
            spare_attempts=max(0, self.max_runs - self.possible_runs - 1),
            runs_once=self.max_runs == 1,
            team=self.team.name if self.team is not None else "",
            route=self.route.name,
            software_version=self.software_version,
        )

    @property
    def max_runs(self) -> int:
        """Number of attempts that may run, at least 1."""
        return max(1, self.route.max_attempts) if self.route.repeatable else 1

    @property
    def _next_event_due_s(self) -> float:
        """Time by which the first event is due, or the next of a resumed stream."""
        if self.interrupted_s is None:
            return self.objective_s
        return self.interrupted_s + self.route.max_event_gap_ms / 1000

    @property
    def gap_sensitive(self) -> bool:
        """Whether it is a stream that is not gap-tolerant.

        This includes streams of routes without an event gap limit.
        """
        return self.streams and not self.gap_tolerant

    @property
    def expected_tokens(self) -> int:
        """The caller's estimate of the output tokens, or half of the caller's maximum.

        1 if the request states neither.
        """
        estimate = self.request.expected_output_tokens
        return max(1, estimate or self.request.max_output_tokens // 2)

    def expected_end_s(self) -> float:
        """Return the time by which its answer is expected to be whole, with a margin.

        The caller states how long the answer of an engine is. Others may take all the
        time that they have.
        """
        if self.service.engine is None or not self.request.states_output:
            return self.end_s
        answer_s = expected_answer_s(
            self.expected_tokens, MIN_PREFILL_SHARE, self.engine_model
        )
        expected_s = self.objective_s + EXPECTED_END_MARGIN * answer_s
        return min(self.end_s, expected_s)

    @property
    def streams(self) -> bool:
        """Whether the response is an event stream."""
        return self.route.kind is RouteKind.STREAM

    @property
    def objective_s(self) -> float:
        """Time by which the first event, or the response without a stream, is due."""
        return self.arrival_s + self.route.objective_ms / 1000

    @property
    def end_s(self) -> float:
        """Time by which the caller must have the complete response."""
        return min(self.timeout_s, self.deadline_s)
