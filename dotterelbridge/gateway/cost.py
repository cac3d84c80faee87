"""Predicts what a request costs an engine.

The number of events of a response is predicted from the responses of the
same route, model and team, and from the caller's hint. Both are kept as
logarithms, because the lengths of responses are skewed: a normal
distribution of the logarithm gives a mean and a high quantile from two
numbers. Old responses fade, and the least recently used distributions are
evicted.
"""

from collections import OrderedDict
from collections.abc import Hashable
import math
import statistics

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import PartId

PREFILL_TOKENS_PER_MS = 33.0
"""Prompt tokens that an engine of usual speed processes per millisecond;
engines of the known deployments process 29 to 38."""
_TOKENS_PER_EVENT = 10.0
"""Output tokens of an event until hints show otherwise, as measured in the
known deployments."""
_TOKENS_PER_EVENT_RANGE = (1.0, 100.0)
_GAP_MS = 35.0
"""Time between two events until streams show otherwise."""
_OUTPUT_TOKENS = 100.0
"""Output of a request that names no maximum, until responses are seen."""
_OUTPUT_SHARE = 0.5
"""Share of the maximum that a response is assumed to reach at first."""
_PRIOR_VARIANCE = 0.5
"""Variance of the logarithm of a response's length at first: a standard
deviation means a factor of two."""
_HINT_VARIANCE = 0.5
"""Variance of the logarithm of a hint's error at first."""
_MIN_VARIANCE = 0.01
_HALF_LIFE_S = 10.0
"""Half-life of a sample: an entry VM gets a few requests per second, and the
estimates follow a change of the callers within seconds."""
_MAX_WEIGHT = 40.0
"""Samples that the average of a group of requests is made of at most."""
_PARENT_WEIGHT = 4.0
"""Samples that the distribution of a wider group counts as."""
_HIGH_QUANTILE = 0.9
_DISTRIBUTION_LIMIT = 4096
"""Distributions that are kept: those in use among 1,600 models, 16 teams and
some routes. They take about 1 MB."""
_PART_LIMIT = 4_000
"""Prompt parts that are remembered over all targets: an entry VM sends some
hundred within their lifetime."""
_PART_LIFETIME_S = 20.0
"""Time for which a target is assumed to hold a prompt part. The whole cache
of a busy engine is replaced within about this time."""
_HOME_PROBABILITY = 0.5
"""Probability that a target holds a part which all VMs prefer to send there,
when this VM has not sent it lately."""
_MEAN_GAIN = 0.05
"""Weight of the latest request in the mean request of a service."""

_HIGH_DEVIATIONS = statistics.NormalDist().inv_cdf(_HIGH_QUANTILE)


class RequestCost(msgspec.Struct, frozen=True, kw_only=True):
    """What a request is expected to cost, at an engine of usual speed."""

    prompt_tokens: float
    output_tokens: float
    output_tokens_high: float
    """90th percentile."""
    max_output_tokens: int
    """What the caller allows; 0 if unknown."""
    events: float
    gap_ms: float
    """Time between two events in a batch without prompts."""

    @property
    def memory_tokens(self) -> float:
        """Tokens in memory at the end, by a high estimate."""
        return self.prompt_tokens + self.output_tokens_high

    @property
    def expected_memory_tokens(self) -> float:
        """The same by the mean."""
        return self.prompt_tokens + self.output_tokens

    @property
    def prefill_ms(self) -> float:
        """Time to process the whole prompt."""
        return self.prompt_tokens / PREFILL_TOKENS_PER_MS

    @property
    def decode_ms(self) -> float:
        """Time between the first event and the last."""
        return self.events * self.gap_ms

    @property
    def stay_ms(self) -> float:
        """Time at an engine."""
        return self.prefill_ms + self.decode_ms

    def compute_engine_ms(self, slots: int) -> float:
        """Return the time of a whole engine that the request takes up.

        No other request advances during a prefill, but ``slots`` requests
        generate tokens together.
        """
        return self.prefill_ms + self.decode_ms / max(1, slots)


class LogAverage:
    """Mean and variance of a logarithm, of samples that fade with time."""

    __slots__ = ("_max_weight", "_updated_at", "mean", "variance", "weight")

    def __init__(self, now: float, max_weight: float = _MAX_WEIGHT) -> None:
        """Create an average without samples.

        :param max_weight: samples that it is made of at most.
        """
        self._max_weight = max_weight
        self.weight = 0.0
        self.mean = 0.0
        self.variance = 0.0
        self._updated_at = now

    def read_weight(self, now: float) -> float:
        """Return the number of samples, of which old ones count less."""
        age_s = max(0.0, now - self._updated_at)
        return self.weight * 0.5 ** (age_s / _HALF_LIFE_S)

    def record(self, value: float, now: float) -> None:
        """Add the logarithm of a positive value."""
        weight = min(self._max_weight, self.read_weight(now)) + 1
        deviation = math.log(value) - self.mean
        self.mean += deviation / weight
        self.variance = (1 - 1 / weight) * (
            self.variance + deviation * deviation / weight
        )
        self.weight = weight
        self._updated_at = now


class _Estimate(msgspec.Struct, frozen=True):
    """Mean and variance of a logarithm."""

    mean: float
    variance: float

    def refine(self, average: LogAverage | None, now: float) -> "_Estimate":
        """Return the estimate for a narrower group with own samples."""
        if average is None:
            return self
        weight = average.read_weight(now)
        share = weight / (weight + _PARENT_WEIGHT)
        difference = average.mean - self.mean
        return _Estimate(
            self.mean + share * difference,
            self.variance
            + share * (average.variance - self.variance)
            + share * (1 - share) * difference * difference,
        )

    def combine(self, other: "_Estimate") -> "_Estimate":
        """Return the estimate from two independent ones."""
        own_weight = 1 / max(_MIN_VARIANCE, self.variance)
        other_weight = 1 / max(_MIN_VARIANCE, other.variance)
        weight = own_weight + other_weight
        return _Estimate(
            (self.mean * own_weight + other.mean * other_weight) / weight,
            1 / weight,
        )


class MeanRequest(msgspec.Struct):
    """Moving averages of the requests for a service."""

    prompt_tokens: float
    memory_tokens: float
    events: float
    prefill_ms: float
    stay_ms: float
    tokens_per_event: float

    @property
    def footprint_tokens(self) -> float:
        """Memory in the middle of the response."""
        return max(1.0, (self.prompt_tokens + self.memory_tokens) / 2)

    def compute_engine_ms(self, slots: int) -> float:
        """Return the time of a whole engine that a request takes up."""
        decode_ms = self.stay_ms - self.prefill_ms
        return self.prefill_ms + decode_ms / max(1, slots)


class CostEstimator:
    """Learns from the responses that this VM forwards."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._averages: OrderedDict[Hashable, LogAverage] = OrderedDict()
        self._means: dict[ItemName, MeanRequest] = {}
        self._held_parts: OrderedDict[
            tuple[Incarnation, str, PartId], float
        ] = OrderedDict()

    def predict(self, call: GatewayCall) -> RequestCost:
        """Return the expected cost of a request."""
        now = self._clock.monotonic()
        request = call.request
        tokens_per_event = self._predict_tokens_per_event(call, now)
        length = self._predict_events(call, tokens_per_event, now)
        mean_events = math.exp(length.mean + length.variance / 2)
        high_events = math.exp(
            length.mean + _HIGH_DEVIATIONS * math.sqrt(length.variance)
        )
        limit = request.tokens_out or math.inf
        output_tokens = min(limit, mean_events * tokens_per_event)
        return RequestCost(
            prompt_tokens=float(_count_prompt_tokens(call)),
            output_tokens=output_tokens,
            output_tokens_high=min(limit, high_events * tokens_per_event),
            max_output_tokens=request.tokens_out,
            events=output_tokens / tokens_per_event,
            gap_ms=self.predict_gap_ms(call, now),
        )

    def predict_gap_ms(self, call: GatewayCall, now: float) -> float:
        """Return the time between two events at an engine of usual speed."""
        estimate = _Estimate(math.log(_GAP_MS), 0.0)
        for key in _list_gap_keys(call):
            estimate = estimate.refine(self._averages.get(key), now)
        return math.exp(estimate.mean)

    def _predict_events(
        self, call: GatewayCall, tokens_per_event: float, now: float
    ) -> _Estimate:
        request = call.request
        prior = request.tokens_out * _OUTPUT_SHARE or _OUTPUT_TOKENS
        estimate = _Estimate(
            math.log(max(1.0, prior / tokens_per_event)), _PRIOR_VARIANCE
        )
        for key in _list_length_keys(call):
            estimate = estimate.refine(self._averages.get(key), now)
        if not request.length_hint:
            return estimate
        hint_error = _Estimate(0.0, _HINT_VARIANCE).refine(
            self._averages.get(("hint", call.route.name)), now
        )
        hinted_events = max(1.0, request.length_hint / tokens_per_event)
        return estimate.combine(
            _Estimate(math.log(hinted_events), hint_error.variance)
        )

    def _predict_tokens_per_event(
        self, call: GatewayCall, now: float
    ) -> float:
        """Return the tokens of an event: hints are right at the median."""
        estimate = _Estimate(math.log(_TOKENS_PER_EVENT), 0.0).refine(
            self._averages.get(("hint", call.route.name)), now
        )
        low, high = _TOKENS_PER_EVENT_RANGE
        return min(high, max(low, math.exp(estimate.mean)))

    def record_request(
        self, call: GatewayCall, cost: RequestCost, held_tokens: int
    ) -> None:
        """Count a request for the mean request of its service.

        :param held_tokens: tokens of the prompt that the target holds.
        """
        now = self._clock.monotonic()
        saved_ms = held_tokens / PREFILL_TOKENS_PER_MS
        sample = MeanRequest(
            cost.prompt_tokens,
            cost.expected_memory_tokens,
            cost.events,
            cost.prefill_ms - saved_ms,
            cost.stay_ms - saved_ms,
            self._predict_tokens_per_event(call, now),
        )
        mean = self._means.get(call.service.name)
        if mean is None:
            self._means[call.service.name] = sample
            return
        for name in MeanRequest.__struct_fields__:
            value = getattr(mean, name)
            difference = getattr(sample, name) - value
            setattr(mean, name, value + _MEAN_GAIN * difference)

    def get_mean_request(self, name: ItemName) -> MeanRequest | None:
        """Return the mean request of a service; None before the first."""
        return self._means.get(name)

    def record(
        self,
        call: GatewayCall,
        events: int,
        gap_ms: float | None,
        speed: float,
    ) -> None:
        """Record a complete stream.

        :param gap_ms: median time between two events.
        :param speed: time of a step there, as a multiple of the usual one.
        """
        now = self._clock.monotonic()
        if events > 0:
            for key in _list_length_keys(call):
                self._record_sample(key, events, now)
            if call.request.length_hint:
                ratio = call.request.length_hint / events
                self._record_sample(("hint", call.route.name), ratio, now)
        if gap_ms:
            for key in _list_gap_keys(call):
                self._record_sample(key, gap_ms / speed, now)

    def _record_sample(self, key: Hashable, value: float, now: float) -> None:
        average = self._averages.setdefault(key, LogAverage(now))
        average.record(value, now)
        self._averages.move_to_end(key)
        if len(self._averages) > _DISTRIBUTION_LIMIT:
            self._averages.popitem(last=False)

    # Prompt parts.

    def record_prompt(self, call: GatewayCall, target: Incarnation) -> None:
        """Record that a target has processed a prompt."""
        now = self._clock.monotonic()
        for part in call.request.prompt_parts:
            key = (target, call.request.model, part.part_id)
            self._held_parts[key] = now
            self._held_parts.move_to_end(key)
        while len(self._held_parts) > _PART_LIMIT:
            self._held_parts.popitem(last=False)

    def count_held_tokens(
        self,
        call: GatewayCall,
        target: Incarnation,
        is_home: bool = False,
    ) -> float:
        """Return the tokens at the start of a prompt that a target holds.

        :param is_home: whether all VMs prefer the target for the prompt's
            first part, so that it probably holds that part.
        """
        now = self._clock.monotonic()
        tokens = 0
        for part in call.request.prompt_parts:
            key = (target, call.request.model, part.part_id)
            held_at = self._held_parts.get(key, -math.inf)
            if now - held_at > _PART_LIFETIME_S:
                break
            tokens += part.tokens
        if is_home and not tokens:
            tokens = call.request.prompt_parts[0].tokens * _HOME_PROBABILITY
        return min(tokens, _count_prompt_tokens(call))

    def dump(self) -> dict[str, object]:
        """Return the sizes of the tables and the mean requests."""
        return {
            "distributions": len(self._averages),
            "prompt_parts": len(self._held_parts),
            "mean_requests": {
                name: msgspec.to_builtins(mean)
                for name, mean in self._means.items()
            },
        }


def _count_prompt_tokens(call: GatewayCall) -> int:
    parts = sum(part.tokens for part in call.request.prompt_parts)
    return max(call.request.tokens_in, parts)


def _list_length_keys(call: GatewayCall) -> tuple[Hashable, ...]:
    """Return the groups of a request from the widest to the narrowest."""
    route, model = call.route.name, call.request.model
    keys = (("length", route), ("length", route, model))
    if call.team is None:
        return keys
    return (*keys, ("length", route, model, call.team.name))


def _list_gap_keys(call: GatewayCall) -> tuple[Hashable, ...]:
    service = call.service.name
    return (("gap", service), ("gap", service, call.request.model))
