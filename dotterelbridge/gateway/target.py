"""A target as the gateway of one VM sees it."""

import random
import statistics

import msgspec

from dotterelbridge import invariants
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.gateway.balance import Candidate
from dotterelbridge.gateway.calibration import Observation
from dotterelbridge.gateway.calibration import Prediction
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.rates import ResponseTime
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.workload import Workload
from dotterelbridge.ids import Business
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import Region
from dotterelbridge.ids import SoftwareVersion
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.permits.limiter import RateLimiter
from dotterelbridge.routing.ejection import Ejection
from dotterelbridge.routing.ejection import EjectionState
from dotterelbridge.targets.buffer_budget import BufferBudget
from dotterelbridge.targets.client import TargetClient
from dotterelbridge.targets.client import create_target_client
from dotterelbridge.targets.settings import TargetsSettings
from dotterelbridge.targets.statements import TargetStatement

_MAX_BACKOFF_DOUBLING_COUNT = 4
"""Bounds the back-off for a missing item. With the default of lacking_ms the
steps add up to 4.6 s; the platform lists a restart within about 4 s."""

_NEW_CONNECTION_COST = 0.1
"""Cost of a new connection, in requests: a round trip, and a slot that the
target may hold for it."""
_NEW_ENGINE_CONNECTION_COST = 0.3
"""The same at targets that report their load, which have more slots."""
_SERVER_ERROR_AIMS = 2.0
"""What a server error counts as, in latency objectives."""
_MIN_AIM_S = 0.01
"""Shortest latency objective that response times are compared with."""
_RESPONSE_TIME_HALF_LIFE_S = 5.0
"""Half-life of a target's mean response time while it gets no requests, so
that a slow target is tried again."""
_MIN_MEASURED_GAPS = 2
_GAPS_PER_SAMPLE = 4
"""Gaps between events from which the target's speed is measured, while the
stream runs: at a slow target it ends late."""
_MAX_MEASURED_GAPS = 64
"""Bounds the memory of a long stream."""
_MS_PER_S = 1000


class _MissingItem:
    """Back-off for an item that a target reported as not loaded."""

    def __init__(self) -> None:
        self.excluded_until = 0.0
        self.report_count = 0


class GatewayTarget:
    """Aggregate root: no new work goes to a target that is leaving."""

    def __init__(
        self,
        target: FleetTarget,
        client: TargetClient,
        distance: int,
        settings: GatewaySettings,
        rng: random.Random,
    ) -> None:
        self.view = target
        """The latest view of the target in the fleet state."""
        self.client = client
        self.distance = distance
        """0 in this VM's failure domain, 1 in its region, 2 in another."""
        self.in_flight = 0
        self.slowness = 1.0
        """How many times slower than usual the target's streams advance."""
        self.health_path = ""
        """Path for health probes, from the service of the latest request."""
        self.ejection = Ejection(
            settings.ejection_failures,
            settings.ejection_ms / 1000,
            settings.ejection_limit_ms / 1000,
            rng,
        )
        self._settings = settings
        self._missing_items: dict[ItemKey, _MissingItem] = {}
        self._has_report = False
        self._reported_requests = 0
        self._in_flight_at_report = 0
        self._response_time = ResponseTime(_RESPONSE_TIME_HALF_LIFE_S)
        self.workload = Workload()

    def update(self, target: FleetTarget, now: float) -> None:
        """Replace the view by a newer one of the same incarnation."""
        if target.load is not self.view.load and not _is_measurement(
            self.view.load, target.load
        ):
            self._has_report = True
            self._reported_requests = target.load.running + target.load.waiting
            self._in_flight_at_report = self.in_flight
            self.workload.record_report(target.load, now)
        for item in list(self._missing_items):
            was_held = self.view.holds(item.model, item.adapter)
            if not was_held and target.holds(item.model, item.adapter):
                del self._missing_items[item]
        if target.is_silent and not self.view.is_silent:
            self.ejection.schedule_probe(now)
        self.view = target

    @property
    def has_report(self) -> bool:
        """Whether the target has reported its load."""
        return self._has_report

    @property
    def incarnation(self) -> Incarnation:
        """The target's name and the time of its start."""
        return self.view.target, self.view.born

    @property
    def takes_new_work(self) -> bool:
        """Whether requests may be sent here.

        What the target itself said of leaving outlives an old list.
        """
        return self.view.takes_new_work and not self.client.is_leaving

    @property
    def is_slow(self) -> bool:
        """Whether the target's streams advance more slowly than usual."""
        return self.slowness > 1.0

    @property
    def is_unreachable(self) -> bool:
        """Whether a request and the following probe failed.

        Such a target gets no requests at all. A request that fails there
        may have run, so that its caller cannot safely retry it; a request
        that is refused at once can be sent again in time.
        """
        return self.ejection.has_failed_probe

    @property
    def is_ejected(self) -> bool:
        """Whether requests go here only if other targets have no free slot."""
        return self.ejection.state is not EjectionState.ACTIVE

    def estimate_load(self) -> int:
        """Return the estimated number of requests at the target.

        This is the load in the last report, adjusted by the requests that
        this VM has sent and the responses it has received since.
        """
        if not self._has_report:
            return self.in_flight
        return max(
            self.in_flight, self._reported_requests + self._sent_since_report
        )

    @property
    def _sent_since_report(self) -> int:
        return self.in_flight - self._in_flight_at_report

    def create_candidate(
        self, distance_cost_share: float, aim_s: float, now: float
    ) -> Candidate:
        """Return the target as a candidate for load balancing.

        Where targets report no load, one that this VM is connected to and
        that has responded fast is preferred.

        :param distance_cost_share: cost as a share of the target's slots.
        :param aim_s: latency objective; a response that takes as long costs
            as much as a request that is waiting.
        """
        distance_cost = distance_cost_share * self.view.slots
        if not self._has_report:
            cost = distance_cost + self.in_flight
            response_s = self._response_time.estimate_s(now)
            cost += response_s / max(aim_s, _MIN_AIM_S)
            if not self.client.has_idle_connections:
                cost += _NEW_CONNECTION_COST
            return Candidate(cost, is_reported=False)
        load = max(self._in_flight_at_report, self._reported_requests)
        # The next request ends as late as on an engine of usual speed with
        # this many requests.
        load = (load + 1) * self.slowness - 1
        load += self.connection_cost
        return Candidate(distance_cost + load, self._sent_since_report)

    @property
    def connection_cost(self) -> float:
        """Cost of the connection that a request needs, in requests."""
        if self.client.has_idle_connections:
            return 0.0
        return _NEW_ENGINE_CONNECTION_COST

    def has_free_slot(self) -> bool:
        """Whether the estimated load is below the target's limit."""
        limit = self.view.slots + self._settings.overfill_requests
        return self.estimate_load() < limit

    def lacks_item(self, item: ItemKey | None, now: float) -> bool:
        """Whether an item is not loaded, by the view or a recent refusal."""
        if item is None:
            return False
        if not self.view.holds(item.model, item.adapter):
            return True
        missing = self._missing_items.get(item)
        return missing is not None and now < missing.excluded_until

    def record_missing_item(self, item: ItemKey, now: float) -> None:
        """Stop sending requests for an item that the target has not loaded.

        The exclusion doubles with each such refusal, because the target may
        have restarted, which the platform's list does not show yet. It ends
        when an update shows that the item was loaded.
        """
        missing = self._missing_items.setdefault(item, _MissingItem())
        first_s = self._settings.lacking_ms / 1000
        missing.excluded_until = now + first_s * 2 ** min(
            missing.report_count, _MAX_BACKOFF_DOUBLING_COUNT
        )
        missing.report_count += 1

    def record_held_item(self, item: ItemKey) -> None:
        """Lift the exclusion of an item after a request for it was run."""
        self._missing_items.pop(item, None)

    def record_response(self, started_at: float, now: float) -> None:
        """Record how long a response took."""
        self._response_time.record(now - started_at, now)

    def record_server_error(self, aim_s: float, now: float) -> None:
        """Count a server error as a late response, however fast it came.

        A target that fails its requests at once would otherwise look like
        the best one.
        """
        self._response_time.record(_SERVER_ERROR_AIMS * aim_s, now)

    def acquire_slot(self, call: GatewayCall, now: float) -> "Slot":
        """Reserve capacity for one attempt."""
        invariants.check(
            self.takes_new_work,
            "leaving_target_gets_no_work",
            target=self.view.target,
        )
        self.in_flight += 1
        self.health_path = call.service.health_path
        return Slot(self, call, now)


def _is_measurement(known: TargetLoad, load: TargetLoad) -> bool:
    """Whether only what VMs have measured differs, so it is no new report."""
    return load != known and (
        msgspec.structs.replace(
            load,
            error_percent=known.error_percent,
            speed_percent=known.speed_percent,
        )
        == known
    )


class Slot:
    """A slot at a target that is reserved for one attempt."""

    def __init__(
        self,
        gateway_target: GatewayTarget,
        call: GatewayCall,
        acquired_at: float,
    ) -> None:
        self.gateway_target = gateway_target
        self.call = call
        self.acquired_at = acquired_at
        """Monotonic time in seconds."""
        self._listed_software = gateway_target.view.software
        self.first_event_at: float | None = None
        """Monotonic time of the first event of a stream."""
        self.prediction: Prediction | None = None
        """What was predicted of the request; None if targets are not
        compared by their work."""
        self.event_count = 0
        self._last_event_at = 0.0
        self._gaps_ms: list[float] = []

    def record_events(self, count: int, now: float) -> None:
        """Record events of a stream that have arrived together."""
        if self.first_event_at is None:
            self.first_event_at = now
        elif len(self._gaps_ms) < _MAX_MEASURED_GAPS:
            gap_ms = (now - self._last_event_at) * _MS_PER_S / max(1, count)
            self._gaps_ms.append(gap_ms)
            if len(self._gaps_ms) % _GAPS_PER_SAMPLE == 0:
                self._record_speed(now)
        self.event_count += count
        self._last_event_at = now

    def _record_speed(self, now: float) -> None:
        """Compare the latest events with the usual time between events."""
        if self.prediction is not None:
            self.gateway_target.workload.record_gap(
                statistics.median(self._gaps_ms[-_GAPS_PER_SAMPLE:]),
                self.prediction.gap_ms,
                now,
            )

    def observe(self) -> Observation | None:
        """Return what was seen of a stream; None without an event."""
        if self.first_event_at is None:
            return None
        first_ms = (self.first_event_at - self.acquired_at) * _MS_PER_S
        stay_ms = (self._last_event_at - self.acquired_at) * _MS_PER_S
        return Observation(
            first_event_ms=first_ms, events=self.event_count, stay_ms=stay_ms
        )

    def find_median_gap_ms(self) -> float | None:
        """Return the median time between two events, if there are enough."""
        if len(self._gaps_ms) < _MIN_MEASURED_GAPS:
            return None
        return statistics.median(self._gaps_ms)

    @property
    def view(self) -> FleetTarget:
        """The latest view of the target."""
        return self.gateway_target.view

    @property
    def software(self) -> SoftwareVersion:
        """Version of the target's software.

        Unknown once the list has changed it, as it shows changes late.
        """
        if self._listed_software != self.view.software:
            return SoftwareVersion("")
        return self._listed_software

    @property
    def client(self) -> TargetClient:
        """HTTP client of the target."""
        return self.gateway_target.client


def create_gateway_target(
    target: FleetTarget,
    distance: int,
    settings: GatewaySettings,
    targets_settings: TargetsSettings,
    clock: Clock,
    rng: random.Random,
    limiter: RateLimiter,
    buffer_budget: BufferBudget,
) -> GatewayTarget:
    """Return the state of a target, with an HTTP client of its own.

    :param buffer_budget: bounds the responses of all targets together.
    """
    incarnation = (target.target, target.born)

    def record_answer(
        status: int, statement: TargetStatement, sent_at: float
    ) -> None:
        limiter.record_answer(incarnation, status, statement, sent_at)

    info = TargetInfo(
        target=target.target,
        kind=TargetKind.SERVICE,
        business=Business(""),
        failure_domain=target.failure_domain,
        region=Region(""),
        host=target.host,
        port=target.port,
        service=target.service,
    )
    client = create_target_client(
        info, targets_settings, clock, rng, record_answer, buffer_budget
    )
    return GatewayTarget(target, client, distance, settings, rng)
