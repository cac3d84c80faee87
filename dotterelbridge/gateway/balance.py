"""Load balancing across many VMs that act on the same delayed reports."""

import bisect
from collections import OrderedDict
from collections.abc import Sequence
import math
import random

import msgspec

from dotterelbridge.ids import Incarnation

_MIN_STAYS = 0.05
"""Shortest stay that is distinguished, in times between two reports."""

_CORRECTION = 0.4
"""Part of a deviation from the common level that is corrected within one
report. Reports are late, so that a full correction overshoots."""
_PROMPT_SCALE_MS = 20.0
"""Difference of the delay by a prompt for which a target's weight falls by a
factor of e; about that of a prompt of usual length."""
_MAX_CREDIT = 2.0
"""Bounds what a target collects while other requests cannot go there."""
_CREDIT_LIMIT = 4096
"""Targets that are kept; the product is made for 2,600."""
_LEVEL_BISECTIONS = 14
"""Halvings of the range of levels, which leave less than a hundredth of a
request. Each costs some 20 us with 14 targets."""


class Candidate(msgspec.Struct, frozen=True):
    """A target that a request may go to."""

    load: float
    """Requests in the last report, plus a cost for the target's distance."""
    sent_since_report: int = 0
    """Requests that this VM has sent since, less those that have ended."""
    is_reported: bool = True
    """Whether the load comes from a report that all VMs act on."""


def choose_candidate(
    candidates: Sequence[Candidate],
    vm_count: int,
    expected_requests: float,
    rng: random.Random,
) -> int:
    """Return the index of the target for one more request.

    All VMs act on the same reports. If each chose the least loaded target,
    that target would get a request from every VM before its next report.
    Instead, the requests that all VMs send between two reports are
    distributed over the reported loads by water-filling, and a target is
    chosen at random, weighted by the share of these requests that it has
    yet to get (load interpretation, Dahlin 2000).

    :param vm_count: VMs that balance load over the same targets.
    :param expected_requests: requests of all VMs between two reports.
    """
    if len(candidates) == 1:
        return 0
    if not any(c.is_reported for c in candidates):
        return _choose_least_loaded(candidates, rng)
    own_requests = sum(max(0, c.sent_since_report) for c in candidates)
    total_requests = max(expected_requests, float(vm_count * own_requests)) + 1
    water_level = find_water_level(
        [c.load for c in candidates], total_requests
    )
    deficits = [
        max(
            0.0,
            water_level - c.load - vm_count * max(0, c.sent_since_report),
        )
        for c in candidates
    ]
    if any(deficits):
        indices = range(len(candidates))
        return rng.choices(indices, weights=deficits)[0]
    return _choose_least_loaded(candidates, rng)


class PressureCurve:
    """Increasing function from the work at a target to what streams suffer.

    Work is counted in mean requests. What a stream suffers is the longest
    time between two of its events that is to be expected, in milliseconds
    at a target of usual speed.
    """

    def __init__(self, pressures_ms: Sequence[float]) -> None:
        """Create a curve.

        :param pressures_ms: strictly increasing values at 0, 1, 2 and so on
            requests; the last two set the slope beyond.
        """
        self._pressures_ms = pressures_ms
        self._last_slope = pressures_ms[-1] - pressures_ms[-2]

    def read_ms(self, units: float) -> float:
        """Return the pressure at an amount of work."""
        last = len(self._pressures_ms) - 1
        if units >= last:
            beyond = units - last
            return self._pressures_ms[-1] + beyond * self._last_slope
        index = int(units)
        low, high = self._pressures_ms[index : index + 2]
        return low + (units - index) * (high - low)

    def find_units(self, pressure_ms: float) -> float:
        """Return the work at which a pressure is reached."""
        values = self._pressures_ms
        if pressure_ms <= values[0]:
            return 0.0
        if pressure_ms >= values[-1]:
            beyond_ms = pressure_ms - values[-1]
            return len(values) - 1 + beyond_ms / self._last_slope
        index = bisect.bisect_right(values, pressure_ms) - 1
        low, high = values[index : index + 2]
        return index + (pressure_ms - low) / (high - low)


class WorkCandidate(msgspec.Struct, frozen=True, kw_only=True):
    """A target that a request may go to, with its remaining work."""

    units: float
    """Work by the last report, in mean requests."""
    sent_units: float = 0.0
    """Work that this VM has sent since."""
    speed: float = 1.0
    """Time of a step, as a multiple of the usual one."""
    extra_ms: float = 0.0
    """Cost at any load and usual speed, for example of the distance."""
    prompt_ms: float = 0.0
    """Delay that the prompt of this request causes there, weighted by whom
    it delays."""
    free_tokens: float = math.inf
    """Free memory, by the pessimistic reading of the last report."""

    def read_pressure_ms(self, curve: PressureCurve, units: float) -> float:
        """Return what a stream suffers there at an amount of work."""
        return self.speed * (curve.read_ms(units) + self.extra_ms)

    def find_units(self, curve: PressureCurve, pressure_ms: float) -> float:
        """Return the work at which a stream suffers that much there."""
        return curve.find_units(pressure_ms / self.speed - self.extra_ms)


class WorkDemand(msgspec.Struct, frozen=True, kw_only=True):
    """One more request, and what all VMs send until the next report."""

    units: float
    """Work of the request, in mean requests."""
    memory_tokens: float
    expected_units: float
    """Work that all VMs send between two reports."""
    vm_count: int
    stays: float
    """Time for which a request stays at a target of usual speed, as a
    multiple of the time between two reports."""


class SmoothPicker:
    """Picks targets in proportion to weights, with little variation.

    Each target collects its share of every request, and the one with most
    is picked and pays for one. Independent random picks would give a target
    that many more or fewer requests by chance. The VMs start at random
    amounts, so that they do not pick the same target at the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._credits: OrderedDict[Incarnation, float] = OrderedDict()

    def pick(
        self, targets: Sequence[Incarnation], weights: Sequence[float]
    ) -> int:
        """Return the index of a target.

        :param weights: at least one must be positive.
        """
        total = sum(weights)
        best, best_credit = -1, -math.inf
        for index, (target, weight) in enumerate(
            zip(targets, weights, strict=True)
        ):
            credit = self._credits.get(target)
            if credit is None:
                credit = self._random.random()
            credit += weight / total
            self._credits[target] = min(_MAX_CREDIT, credit)
            self._credits.move_to_end(target)
            if weight > 0 and credit > best_credit:
                best, best_credit = index, credit
        self._credits[targets[best]] -= 1
        while len(self._credits) > _CREDIT_LIMIT:
            self._credits.popitem(last=False)
        return best


def weigh_by_work(
    candidates: Sequence[WorkCandidate],
    curve: PressureCurve,
    demand: WorkDemand,
) -> list[float]:
    """Return the weights by which targets should get one more request.

    As in ``choose_candidate``, what all VMs send between two reports is
    distributed by water-filling, and a target's weight is the share that it
    has yet to get. Here the level is what streams suffer at a target, so
    that a slow target gets none before the streams at the others suffer as
    much, and a fast one gets more. What was reported drains meanwhile,
    faster at a fast target. Targets whose memory may be used up are left
    out while there is another one. At least one weight is positive.
    """
    roomy = [
        index
        for index, candidate in enumerate(candidates)
        if demand.memory_tokens <= candidate.free_tokens
    ] or list(range(len(candidates)))
    shares = _share_work([candidates[i] for i in roomy], curve, demand)
    weights = [0.0] * len(candidates)
    least_prompt_ms = min(candidates[i].prompt_ms for i in roomy)
    for index, share in zip(roomy, shares, strict=True):
        sent_units = demand.vm_count * candidates[index].sent_units
        preference = math.exp(
            (least_prompt_ms - candidates[index].prompt_ms) / _PROMPT_SCALE_MS
        )
        weights[index] = max(0.0, share - sent_units) * preference
    if not any(weights):
        least = min(
            roomy,
            key=lambda i: candidates[i].read_pressure_ms(
                curve, candidates[i].units + candidates[i].sent_units
            ),
        )
        weights[least] = 1.0
    return weights


def _share_work(
    candidates: Sequence[WorkCandidate],
    curve: PressureCurve,
    demand: WorkDemand,
) -> list[float]:
    """Return the work that each target gets until its next report.

    With exponential draining, a target gets what leaves it with the work of
    the common level at its next report.
    """
    own_units = sum(c.sent_units for c in candidates)
    total_units = demand.units + max(
        demand.expected_units, demand.vm_count * own_units
    )
    low_ms = min(c.read_pressure_ms(curve, 0.0) for c in candidates)
    high_ms = min(
        c.read_pressure_ms(curve, c.units + total_units) for c in candidates
    )
    kept_shares, remaining_units, inflow_factors = [], [], []
    for candidate in candidates:
        lifetimes = 1 / max(_MIN_STAYS, demand.stays * candidate.speed)
        left = math.exp(-lifetimes)
        kept_shares.append(1 - (1 - _CORRECTION) * left)
        remaining_units.append(_CORRECTION * candidate.units * left)
        inflow_factors.append(lifetimes / (1 - left))

    def fill(level_ms: float) -> list[float]:
        return [
            max(0.0, c.find_units(curve, level_ms) * kept - remaining) * factor
            for c, kept, remaining, factor in zip(
                candidates,
                kept_shares,
                remaining_units,
                inflow_factors,
                strict=True,
            )
        ]

    for _ in range(_LEVEL_BISECTIONS):
        middle_ms = (low_ms + high_ms) / 2
        if sum(fill(middle_ms)) < total_units:
            low_ms = middle_ms
        else:
            high_ms = middle_ms
    return fill(high_ms)


def _choose_least_loaded(
    candidates: Sequence[Candidate], rng: random.Random
) -> int:
    return min(
        range(len(candidates)),
        key=lambda i: (
            candidates[i].load + candidates[i].sent_since_report,
            rng.random(),
        ),
    )


def find_water_level(loads: Sequence[float], requests: float) -> float:
    """Return the load that the least loaded targets reach by the requests."""
    sorted_loads = sorted(loads)
    load_sum = 0.0
    for count, load in enumerate(sorted_loads, start=1):
        load_sum += load
        water_level = (requests + load_sum) / count
        if count == len(sorted_loads) or water_level <= sorted_loads[count]:
            return water_level
    raise ValueError("loads must not be empty")
