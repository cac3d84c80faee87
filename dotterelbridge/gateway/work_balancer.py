"""Balances a service's requests by the work that they cause."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from datetime import timedelta
import random
from typing import Any

import msgspec
import xxhash

from dotterelbridge.clock import Clock
from dotterelbridge.gateway.balance import SmoothPicker
from dotterelbridge.gateway.balance import WorkDemand
from dotterelbridge.gateway.balance import weigh_by_work
from dotterelbridge.gateway.calibration import Calibration
from dotterelbridge.gateway.calibration import Prediction
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.cost import PREFILL_TOKENS_PER_MS
from dotterelbridge.gateway.cost import CostEstimator
from dotterelbridge.gateway.cost import MeanRequest
from dotterelbridge.gateway.cost import RequestCost
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.settings import BalanceMode
from dotterelbridge.gateway.target import GatewayTarget
from dotterelbridge.gateway.target import Slot
from dotterelbridge.gateway.workload import REPORT_LIFETIME_S
from dotterelbridge.gateway.workload import create_pressure_curve
from dotterelbridge.gateway.workload import find_speed_ratio
from dotterelbridge.ids import ItemName
from dotterelbridge.routes.model import EngineInfo

_SPEED_RATIO = 1.3
"""Ratio of the 90th to the 10th percentile of the targets' speeds from which
a service is balanced by work."""
_SPEED_RATIO_BACK = 1.15
"""Ratio below which it is balanced by requests again; lower, so that noise
does not switch it."""
_MODE_INTERVAL_S = 1.0
"""Time between two comparisons of the speeds."""
_RATIO_GAIN = 0.2
"""Weight of the latest comparison. Between equal engines, the measurements
of one VM differ by 1.07 to 1.31; between those of 0.6 to 2.5, by 2.1 to
2.6."""
_RELAXED_GAP_SHARE = 0.25
"""Weight of the time between events for a route without an objective for
it, so that its requests take the slow targets."""
_MS_PER_S = 1000
_TOO_LARGE_RETRY_AFTER = timedelta(seconds=1)


class _Mode(msgspec.Struct):
    """Whether a service is balanced by work."""

    is_by_work: bool = False
    speed_ratio: float = 1.0
    """Moving average."""
    compared_at: float = float("-inf")


class WorkBalancer:
    """Chooses targets by predicted work, where the settings say so."""

    def __init__(
        self,
        mode: BalanceMode,
        clock: Clock,
        rng: random.Random,
        count_entry_vms: Callable[[], int],
        distance_cost_shares: Sequence[float],
    ) -> None:
        """Create a balancer.

        :param distance_cost_shares: costs of a target by its distance, as
            shares of its slots.
        """
        self._mode = mode
        self._clock = clock
        self._picker = SmoothPicker(rng)
        self._count_entry_vms = count_entry_vms
        self._distance_cost_shares = distance_cost_shares
        self._estimator = CostEstimator(clock)
        self._calibration = Calibration(clock)
        self._engines: dict[ItemName, EngineInfo] = {}
        """Engines of the services that requests were sent to."""
        self._modes: dict[ItemName, _Mode] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether any service may be balanced by work."""
        return self._mode is not BalanceMode.REQUESTS

    def is_active(
        self, call: GatewayCall, targets: Iterable[GatewayTarget]
    ) -> bool:
        """Whether a request's service is balanced by work now.

        :param targets: all targets.
        """
        if not self.is_enabled or call.service.engine is None:
            return False
        if self._mode is BalanceMode.WORK:
            return True
        now = self._clock.monotonic()
        mode = self._modes.setdefault(call.service.name, _Mode())
        if now - mode.compared_at >= _MODE_INTERVAL_S:
            mode.compared_at = now
            ratio = find_speed_ratio(
                [
                    target.workload.read_speed(now)
                    for target in targets
                    if target.view.service == call.service.name
                ]
            )
            mode.speed_ratio += _RATIO_GAIN * (ratio - mode.speed_ratio)
            limit = _SPEED_RATIO_BACK if mode.is_by_work else _SPEED_RATIO
            mode.is_by_work = mode.speed_ratio >= limit
        return mode.is_by_work

    def check_memory(self, call: GatewayCall) -> None:
        """Check that an engine's whole memory suffices for the prompt.

        The length of the response is only an estimate, so that it is no
        reason to refuse a request.

        :raises NoTargetAvailable: no engine can ever run the request.
        """
        engine = call.service.engine
        if not self.is_enabled or engine is None or engine.kv_tokens <= 0:
            return
        if call.request.tokens_in > engine.kv_tokens:
            raise NoTargetAvailable(
                UnavailableReason.TOO_LARGE,
                f"the prompt of {call.request.tokens_in} tokens exceeds the "
                f"memory of an engine, {engine.kv_tokens} tokens",
                "send a shorter prompt",
                _TOO_LARGE_RETRY_AFTER,
            )

    def choose(
        self,
        call: GatewayCall,
        targets: Sequence[GatewayTarget],
        expected_requests: float,
    ) -> GatewayTarget:
        """Return the target for one more request.

        :param expected_requests: requests of all VMs for the item between
            two reports.
        """
        if len(targets) == 1:
            return targets[0]
        now = self._clock.monotonic()
        cost = self._estimator.predict(call)
        mean = self._get_mean(call, cost)
        slots = call.service.engine.slots
        gap_ms = cost.gap_ms
        if call.route.gap_aim_ms is None:
            gap_ms *= _RELAXED_GAP_SHARE
        curve = create_pressure_curve(
            mean, gap_ms, slots, call.service.engine.kv_tokens
        )
        unit_ms = (curve.read_ms(slots) - curve.read_ms(0)) / slots
        home = find_home(call, targets)
        ranks = {
            name: position / len(targets)
            for position, name in enumerate(
                sorted(t.view.target for t in targets)
            )
        }
        candidates = [
            target.workload.create_candidate(
                target.view,
                cost,
                mean,
                self._estimator.count_held_tokens(
                    call, target.incarnation, target is home
                ),
                call.service.engine.kv_tokens,
                unit_ms
                * (
                    self._distance_cost_shares[target.distance] * slots
                    + target.connection_cost
                ),
                ranks[target.view.target],
                now,
            )
            for target in targets
        ]
        units = _compute_units(cost, mean, slots)
        demand = WorkDemand(
            units=units,
            memory_tokens=cost.expected_memory_tokens,
            expected_units=expected_requests,
            vm_count=max(1, self._count_entry_vms()),
            stays=mean.stay_ms / _MS_PER_S / REPORT_LIFETIME_S,
        )
        weights = weigh_by_work(candidates, curve, demand)
        return targets[
            self._picker.pick([t.incarnation for t in targets], weights)
        ]

    def record_sent(self, slot: Slot) -> None:
        """Count a request at the target that it is sent to."""
        call, target = slot.call, slot.gateway_target
        if not self.is_enabled or call.service.engine is None:
            return
        self._engines[call.service.name] = call.service.engine
        cost = self._estimator.predict(call)
        mean = self._get_mean(call, cost)
        slots = call.service.engine.slots
        target.workload.record_sent(
            id(slot), cost, _compute_units(cost, mean, slots), slot.acquired_at
        )
        held = self._estimator.count_held_tokens(call, target.incarnation)
        self._estimator.record_request(call, cost, held)
        speed = target.workload.read_speed(slot.acquired_at)
        saved_ms = held / PREFILL_TOKENS_PER_MS
        tokens_per_event = cost.output_tokens / cost.events
        slot.prediction = Prediction(
            # An event is sent when all of its tokens are generated.
            first_event_ms=speed * (cost.prefill_ms - saved_ms + cost.gap_ms),
            events=cost.events,
            events_high=cost.output_tokens_high / tokens_per_event,
            stay_ms=speed * (cost.stay_ms - saved_ms),
            gap_ms=cost.gap_ms,
        )

    def record_ended(self, slot: Slot, is_answered: bool) -> None:
        """Stop counting a request, and learn from a complete stream."""
        if slot.prediction is None:
            return
        target, call = slot.gateway_target, slot.call
        now = self._clock.monotonic()
        target.workload.record_ended(id(slot))
        if slot.first_event_at is not None:
            self._estimator.record_prompt(call, target.incarnation)
        gap_ms = slot.find_median_gap_ms()
        speed = target.workload.read_speed(now)
        seen = slot.observe()
        if is_answered and seen is not None:
            if call.attempts == 1:
                self._calibration.record(
                    call.service.name, slot.prediction, seen
                )
            self._estimator.record(
                call,
                # A resumed stream has events from other targets.
                slot.event_count if call.attempts == 1 else 0,
                gap_ms,
                speed,
            )

    def read_mean_request(self, name: ItemName) -> MeanRequest | None:
        """Return the mean request of a service; None before the first."""
        return self._estimator.get_mean_request(name)

    def _get_mean(self, call: GatewayCall, cost: RequestCost) -> MeanRequest:
        mean = self._estimator.get_mean_request(call.service.name)
        if mean is not None:
            return mean
        self._estimator.record_request(call, cost, 0)
        return self._estimator.get_mean_request(call.service.name)

    def dump(self) -> dict[str, Any]:
        """Return the settings in force and the sizes of the tables."""
        return {
            "mode": self._mode.value,
            "by_work": sorted(
                name for name, mode in self._modes.items() if mode.is_by_work
            ),
            "seen_to_predicted": self._calibration.dump(),
            **self._estimator.dump(),
        }

    def dump_target(self, target: GatewayTarget) -> dict[str, float]:
        """Return the estimates of a target; empty if there are none."""
        mean = self._estimator.get_mean_request(target.view.service)
        engine = self._engines.get(target.view.service)
        if mean is None or engine is None:
            return {}
        now = self._clock.monotonic()
        workload = target.workload
        units = workload.estimate_units(mean, max(1, target.view.slots), now)
        speed = workload.read_speed(now)
        free = workload.estimate_free_tokens(mean, engine.kv_tokens, now)
        engine_ms = mean.compute_engine_ms(target.view.slots)
        return {
            "speed": round(speed, 2),
            "work_units": round(units, 1),
            "sent_units": round(workload.read_sent_units(now), 1),
            "work_s": round(units * speed * engine_ms / _MS_PER_S, 2),
            "free_tokens": round(free),
        }


def find_home(
    call: GatewayCall, targets: Sequence[GatewayTarget]
) -> GatewayTarget | None:
    """Return the target where all VMs prefer to keep a shared prompt part.

    A VM knows only what it has sent itself. By rendezvous hashing of the
    first part, all VMs find the same target without messages, and most
    parts keep theirs when a target comes or goes.
    """
    if not call.request.shared_parts:
        return None
    part = call.request.shared_parts[0]
    return max(
        targets,
        key=lambda t: xxhash.xxh3_64_intdigest(
            f"{part} {t.view.target}".encode()
        ),
    )


def _compute_units(cost: RequestCost, mean: MeanRequest, slots: int) -> float:
    """Return the work of a request in mean requests."""
    mean_ms = max(0.1, mean.compute_engine_ms(slots))
    return cost.compute_engine_ms(slots) / mean_ms
