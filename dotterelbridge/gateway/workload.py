"""Remaining work of a target, from its reports and this VM's requests."""

from collections import deque
import math
import statistics

import msgspec

from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.gateway.balance import PressureCurve
from dotterelbridge.gateway.balance import WorkCandidate
from dotterelbridge.gateway.cost import PREFILL_TOKENS_PER_MS
from dotterelbridge.gateway.cost import LogAverage
from dotterelbridge.gateway.cost import MeanRequest
from dotterelbridge.gateway.cost import RequestCost

REPORT_LIFETIME_S = 0.75
"""Time during which VMs act on one load report: the interval of reports plus
the time for which the control VMs batch them."""
_REPORT_LAG_S = 0.35
"""Age of the data in a report when it arrives. A request that was sent in
this time before may be missing from it."""
_PRESSURE_DEVIATIONS = 2.0
"""Standard deviations of the number of prompts between two events for which
a pause is predicted; with 28 events a stream, one in forty counts."""
_MAX_PREFILL_SHARE = 0.9
"""Highest share of prefills in an engine's time that is distinguished."""
_USABLE_MEMORY = 0.85
"""Part of the memory that requests use on average at most, as requests of
different sizes come together by chance."""
_STILL_USED = 0.7
"""Part of the reported memory that is still in use when a request arrives.
With all of it, so few targets seemed to have room that these filled up: in
the load test, 12% of the requests were preempted, against 7% with 0.8 and
6% with 0.6."""
_OVERFILL_UNITS = 12
"""Requests beyond the slots for which the curve is computed."""
_PROMPT_RATIO_RANGE = (1.0, 4.0)
"""Range of the mean prompt at a target, relative to that of the service.
Shorter prompts than usual are mostly chance."""
_SPEED_PRIOR_WEIGHT = 1.0
"""Own measurements that the published speed counts as."""
_SPEED_MAX_WEIGHT = 4.0
"""Samples that the learned speed is made of at most: a target may turn slow
for a few seconds."""
_SPEED_RANGE = (0.2, 10.0)
_MIN_COMPARED_SPEEDS = 2


def create_pressure_curve(
    mean: MeanRequest, gap_ms: float, slots: int, capacity: int
) -> PressureCurve:
    """Return what a stream suffers in a batch of mean requests.

    With ``n`` requests that each stay for ``stay_ms``, ``n / stay_ms``
    prompts arrive per millisecond, and each stops the batch for
    ``prefill_ms``. The speed of the target cancels out of their number
    between two events. Requests beyond the slots or the memory wait for
    others.

    :param gap_ms: time between two events without prompts.
    :param capacity: memory of the target in tokens.
    """
    usable_tokens = capacity * _USABLE_MEMORY
    places = min(float(slots), usable_tokens / mean.footprint_tokens)
    stay_ms = max(1.0, mean.stay_ms)
    prefill_ms = max(0.1, mean.prefill_ms)
    pressures = []
    for count in range(slots + _OVERFILL_UNITS):
        prefill_share = min(_MAX_PREFILL_SHARE, count * prefill_ms / stay_ms)
        long_gap_ms = gap_ms / (1 - prefill_share)
        prompts = count * long_gap_ms / stay_ms
        pressures.append(
            long_gap_ms
            + _PRESSURE_DEVIATIONS * prefill_ms * math.sqrt(prompts)
            + max(0.0, count - places) * stay_ms / max(1.0, places)
        )
    return PressureCurve(pressures)


def find_speed_ratio(speeds: list[float]) -> float:
    """Return the ratio of the 90th percentile to the 10th."""
    if len(speeds) < _MIN_COMPARED_SPEEDS:
        return 1.0
    deciles = statistics.quantiles(speeds, n=10, method="inclusive")
    return deciles[-1] / deciles[0]


class _OpenRequest(msgspec.Struct, frozen=True):
    """A request of this VM at the target."""

    units: float
    memory_tokens: float
    sent_at: float


class Workload:
    """Remaining work of one target as this VM sees it."""

    def __init__(self) -> None:
        self._open: dict[int, _OpenRequest] = {}
        self._sent: deque[tuple[float, float]] = deque()
        """Time and units of what was sent since the state in the report."""
        self._reported_at = -math.inf
        self._load: TargetLoad | None = None
        self._speed_error: LogAverage | None = None

    def record_report(self, load: TargetLoad, now: float) -> None:
        """Apply a report; fields that others measure are no report."""
        if self._load is None or _read_state(load) != _read_state(self._load):
            self._reported_at = now
        self._load = load

    def record_sent(
        self, key: int, cost: RequestCost, units: float, now: float
    ) -> None:
        """Count a request that is sent."""
        self._open[key] = _OpenRequest(units, cost.expected_memory_tokens, now)
        self._sent.append((now, units))

    def record_ended(self, key: int) -> None:
        """Stop counting a request."""
        self._open.pop(key, None)

    def record_gap(self, gap_ms: float, usual_ms: float, now: float) -> None:
        """Compare a stream with others of the same model.

        :param usual_ms: the same time at a target of usual speed.
        """
        if self._speed_error is None:
            self._speed_error = LogAverage(now, _SPEED_MAX_WEIGHT)
        published = self._published_speed
        self._speed_error.record(gap_ms / (usual_ms * published), now)

    def read_sent_units(self, now: float) -> float:
        """Return the work sent since the state in the last report."""
        since = max(self._reported_at - _REPORT_LAG_S, now - REPORT_LIFETIME_S)
        while self._sent and self._sent[0][0] < since:
            self._sent.popleft()
        return sum(units for _, units in self._sent)

    @property
    def _published_speed(self) -> float:
        load = self._load
        return max(1, load.speed_percent) / 100 if load is not None else 1.0

    def read_speed(self, now: float) -> float:
        """Return the time of a step, as a multiple of the usual one.

        This is the published speed, corrected by this VM's streams.
        """
        speed = self._published_speed
        if self._speed_error is not None:
            weight = self._speed_error.read_weight(now)
            share = weight / (weight + _SPEED_PRIOR_WEIGHT)
            speed *= math.exp(share * self._speed_error.mean)
        low, high = _SPEED_RANGE
        return min(high, max(low, speed))

    def estimate_units(
        self, mean: MeanRequest, slots: int, now: float
    ) -> float:
        """Return the work by the last report, in mean requests."""
        own_units = sum(r.units for r in self._open.values())
        load = self._load
        if load is None:
            return own_units
        prompt_ratio = 1.0
        if load.running and load.kv_tokens_running:
            made_tokens = load.events_made * mean.tokens_per_event
            prompt_tokens = max(0.0, load.kv_tokens_running - made_tokens)
            mean_tokens = load.running * max(1.0, mean.prompt_tokens)
            low, high = _PROMPT_RATIO_RANGE
            prompt_ratio = min(high, max(low, prompt_tokens / mean_tokens))
        engine_ms = max(0.1, mean.compute_engine_ms(slots))
        prefill_share = mean.prefill_ms / engine_ms
        request_units = 1 + prefill_share * (prompt_ratio - 1)
        units = (load.running + load.waiting) * request_units
        if load.kv_tokens_running:
            used = min(load.kv_tokens_used, load.kv_tokens_running)
            units = max(units, used / mean.footprint_tokens)
        return max(units, own_units - self.read_sent_units(now))

    def estimate_free_tokens(
        self, mean: MeanRequest, capacity: int, now: float
    ) -> float:
        """Return the memory that is free when a request arrives.

        Cached prompt parts that no request uses are evicted when needed.
        """
        recent_tokens = sum(
            request.memory_tokens
            for request in self._open.values()
            if request.sent_at >= self._reported_at - _REPORT_LAG_S
        )
        load = self._load
        if load is None:
            return capacity - recent_tokens
        expected = load.running * mean.memory_tokens
        used = min(load.kv_tokens_used, load.kv_tokens_running or expected)
        waiting = load.waiting * mean.memory_tokens
        return capacity - _STILL_USED * used - waiting - recent_tokens

    def create_candidate(
        self,
        view: FleetTarget,
        cost: RequestCost,
        mean: MeanRequest,
        held_tokens: int,
        capacity: int,
        extra_ms: float,
        rank: float,
        now: float,
    ) -> WorkCandidate:
        """Return the target as a candidate for a request.

        :param held_tokens: tokens at the start of the prompt that the target
            holds.
        :param capacity: memory of the target in tokens.
        :param extra_ms: cost of its distance and of a new connection.
        :param rank: position among the candidates from 0 to 1, the same at
            all VMs; long prompts go to the first, so that they delay the
            streams of few targets.
        """
        slots = max(1, view.slots)
        speed = self.read_speed(now)
        units = self.estimate_units(mean, slots, now)
        sent_units = self.read_sent_units(now)
        new_tokens = max(0.0, cost.prompt_tokens - held_tokens)
        prefill_ms = new_tokens / PREFILL_TOKENS_PER_MS
        # The curve contains the delay by a mean prompt. Counted again here,
        # the load would count twice, and with late reports the load of
        # equal targets swings by half as much again.
        excess_ms = max(0.0, prefill_ms - mean.prefill_ms)
        occupied = min(1.0, (units + sent_units) / slots)
        return WorkCandidate(
            units=units,
            sent_units=sent_units,
            speed=speed,
            extra_ms=extra_ms,
            prompt_ms=speed * (prefill_ms + excess_ms * (occupied + rank)),
            free_tokens=self.estimate_free_tokens(mean, capacity, now),
        )


def _read_state(load: TargetLoad) -> tuple[int, ...]:
    return (
        load.running,
        load.waiting,
        load.kv_tokens_used,
        load.kv_tokens_running,
        load.events_made,
    )
