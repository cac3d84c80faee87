"""The speeds of engines, from the gaps between events that entry VMs measure.

A gap is about the speed of the engine times the pace of the model. Both
factors are fitted to the logarithms of the gaps, by weighted least squares
with the weights of Huber's estimator and a prior that pulls speeds to the
usual one. Models that are on several engines connect them. A model that is on
one engine tells nothing of its speed, unless its pace is remembered.
"""

from collections import deque
from collections.abc import Iterator
import math

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.messages import StreamGap
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import ItemName

_WINDOW_S = 6.0
"""Time for which a measurement counts. With the streams that are running and
the reports on their way, a speed is forgotten within ten seconds."""
_HALF_LIFE_S = 1.5
"""Half-life of a measurement's weight within that time."""
_QUANTILE = 0.35
"""Quantile of a cell's measurements that is fitted. Prompts that are processed
between tokens only stretch gaps, by half on a busy engine, so that the lower
ones are nearer to the time of a step."""
_MAX_SAMPLES_PER_CELL = 64
"""Latest measurements that are kept of one engine and model."""
_MAX_SAMPLES = 40_000
"""Measurements that are kept in all, some 6 MB."""
_INTERVAL_S = 1.0
"""Shortest time between two fits."""
_CELLS_PER_S = 1000
"""Cells that are fitted in a second, so that fits take some 2% of a core: one
of 9,300 cells takes 180 ms."""
_MAX_SWEEPS = 30
_MIN_SWEEPS = 3
_MAX_VISITS = 10_000
"""Cells times sweeps of one fit, within those limits: a fit starts from the
result of the one before."""
_STEP_CELLS = 1000
"""Cells after which a fit pauses for other work of the event loop."""
_CONVERGED = 1e-3
"""Change of every logarithm in a sweep below which the fit ends."""
_CELL_DEVIATION = 0.1
"""Standard deviation of a cell with many streams that are alike, as a
logarithm: batch sizes differ between engines."""
_SPREAD_RATIO = 0.5
"""Part of the logarithmic distance between a cell's quartiles that is added
to it: gaps that some prompts stretch and others do not tell less."""
_STREAM_DEVIATION = 0.4
"""Standard deviation of a single stream, as a logarithm."""
_SPEED_DEVIATION = 0.5
"""Standard deviation of speeds, as a logarithm: of 0.6, 1.0 and 1.6."""
_PRIOR_WEIGHT = 1 / _SPEED_DEVIATION**2
_OUTLIER_RESIDUAL = 0.3
"""Residual from which a cell's weight falls."""
_PACE_WEIGHT = 6.0
"""Weight of a model's remembered pace, as that of a cell. It shows that an
engine has turned slow whose models are on no other engine."""
_PACE_MEMORY_S = 20.0
"""Time constant of remembered paces."""
_PACE_FORGET_S = 120.0
_MAX_LOG_SPEED = math.log(4.0)
_STEP_PERCENT = 10
"""Rounding of published speeds: each change is sent to all VMs."""
_HYSTERESIS = 0.1
"""Part of the published speed by which the fitted one has to differ."""
_USUAL_PERCENT = 100
_LASTING_HALF_LIFE_S = 8.0
"""Half-life of the mean that placement uses: an engine that is slower by 2.5
for three seconds appears slower by 1.25."""
_LASTING_MIN_AGE_S = 4.0
"""Time for which an engine is measured before placement uses its speed."""


class _Cell:
    """Measurements of one model on one engine."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, float, int]] = deque(
            maxlen=_MAX_SAMPLES_PER_CELL
        )
        """Entries of (monotonic time, gap in ms, streams)."""

    def summarize(self, now: float) -> tuple[float, float]:
        """Return the logarithm of the gap, and its weight."""
        samples = sorted(
            (gap_ms, streams * 0.5 ** ((now - at) / _HALF_LIFE_S))
            for at, gap_ms, streams in self.samples
        )
        streams = sum(weight for _, weight in samples)
        low, gap_ms, high = (
            _find_quantile(samples, share * streams)
            for share in (0.25, _QUANTILE, 0.75)
        )
        variance = (
            _CELL_DEVIATION**2
            + (_SPREAD_RATIO * math.log(high / low)) ** 2
            + _STREAM_DEVIATION**2 / streams
        )
        return math.log(gap_ms), 1 / variance


def _find_quantile(samples: list[tuple[float, float]], rank: float) -> float:
    """Return the gap at which the sum of weights reaches a rank."""
    for gap_ms, weight in samples:
        rank -= weight
        if rank <= 0:
            return gap_ms
    return samples[-1][0]


class _Engine(msgspec.Struct):
    service: ItemName
    measured_since: float
    log_speed: float = 0.0
    lasting_log_speed: float | None = None
    percent: int = _USUAL_PERCENT
    """Published speed."""


class _Pace(msgspec.Struct):
    """Remembered pace of a model."""

    log_gap: float
    seen_at: float


class _Observation(msgspec.Struct, frozen=True):
    engine: _Engine
    model: ItemKey
    log_gap: float
    weight: float


class EngineSpeeds:
    """Fits the speeds of engines and the paces of models.

    Starts without measurements on each new leader of the log.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._cells: dict[tuple[Incarnation, ItemKey], _Cell] = {}
        self._sample_count = 0
        self._engines: dict[Incarnation, _Engine] = {}
        """Engines that have measurements."""
        self._paces: dict[ItemKey, _Pace] = {}
        self._fitted_at = -math.inf
        self._next_fit_at = -math.inf

    def add(self, service: ItemName, gap: StreamGap) -> None:
        """Add what one entry VM measured since its previous report."""
        if not (0 < gap.gap_ms < math.inf and gap.streams > 0):
            return
        if self._sample_count >= _MAX_SAMPLES:
            return
        now = self._clock.monotonic()
        cell_key = ((gap.target, gap.born), ItemKey(service, gap.model))
        cell = self._cells.get(cell_key)
        if cell is None:
            cell = self._cells[cell_key] = _Cell()
        self._sample_count += len(cell.samples) < _MAX_SAMPLES_PER_CELL
        cell.samples.append((now, gap.gap_ms, gap.streams))

    def update(self) -> None:
        """Fit the measurements again, if it is time."""
        for _ in self.update_in_steps():
            pass

    def update_in_steps(self) -> Iterator[None]:
        """Do the same in steps, between which other work may be done."""
        now = self._clock.monotonic()
        if now < self._next_fit_at:
            return
        self._forget_old(now)
        if self._cells:
            yield from self._fit(now)
        self._fitted_at = now
        interval_s = max(_INTERVAL_S, len(self._cells) / _CELLS_PER_S)
        self._next_fit_at = now + interval_s

    def find_percent(self, incarnation: Incarnation) -> int:
        """Return the speed to publish: the time of a step in percent."""
        engine = self._engines.get(incarnation)
        return _USUAL_PERCENT if engine is None else engine.percent

    def find_lasting_speed(self, incarnation: Incarnation) -> float | None:
        """Return a speed that placement may rely on; None if unknown."""
        engine = self._engines.get(incarnation)
        if engine is None or engine.lasting_log_speed is None:
            return None
        if self._fitted_at - engine.measured_since < _LASTING_MIN_AGE_S:
            return None
        return math.exp(engine.lasting_log_speed)

    def find_gap_ms(self, model: ItemKey) -> float | None:
        """Return a model's gap on an engine of usual speed, if known."""
        pace = self._paces.get(model)
        return None if pace is None else math.exp(pace.log_gap)

    def list_speeds(self) -> list[float]:
        """Return the fitted speed of each engine with measurements."""
        return [math.exp(e.log_speed) for e in self._engines.values()]

    def _forget_old(self, now: float) -> None:
        oldest = now - _WINDOW_S
        self._sample_count = 0
        for cell_key, cell in list(self._cells.items()):
            samples = cell.samples
            while samples and samples[0][0] < oldest:
                samples.popleft()
            if not samples:
                del self._cells[cell_key]
            self._sample_count += len(samples)
        measured = {incarnation for incarnation, _ in self._cells}
        for incarnation in self._engines.keys() - measured:
            del self._engines[incarnation]
        for model, pace in list(self._paces.items()):
            if now - pace.seen_at > _PACE_FORGET_S:
                del self._paces[model]

    # Fit.

    def _fit(self, now: float) -> Iterator[None]:
        observations: list[_Observation] = []
        for number, cell_key in enumerate(list(self._cells)):
            observations.append(self._observe(cell_key, now))
            if number % _STEP_CELLS == _STEP_CELLS - 1:
                yield
        by_model: dict[ItemKey, list[_Observation]] = {}
        by_engine: dict[int, list[_Observation]] = {}
        for observation in observations:
            by_model.setdefault(observation.model, []).append(observation)
            by_engine.setdefault(id(observation.engine), []).append(
                observation
            )
        paces = dict.fromkeys(by_model, 0.0)
        sweeps = _MAX_VISITS // max(1, len(observations))
        for _ in range(max(_MIN_SWEEPS, min(_MAX_SWEEPS, sweeps))):
            for model, entries in by_model.items():
                paces[model] = self._fit_pace(model, entries, paces[model])
            yield
            change = 0.0
            for entries in by_engine.values():
                engine = entries[0].engine
                log_speed = self._fit_speed(entries, by_model, paces)
                change = max(change, abs(log_speed - engine.log_speed))
                engine.log_speed = log_speed
            if change < _CONVERGED:
                break
            yield
        self._center(by_engine, paces)
        elapsed_s = now - self._fitted_at
        for model, log_gap in paces.items():
            self._remember_pace(model, log_gap, elapsed_s, now)
        for engine in self._engines.values():
            _publish(engine, elapsed_s)

    def _observe(
        self, cell_key: tuple[Incarnation, ItemKey], now: float
    ) -> _Observation:
        incarnation, model = cell_key
        engine = self._engines.get(incarnation)
        if engine is None:
            engine = _Engine(service=model.service, measured_since=now)
            self._engines[incarnation] = engine
        log_gap, weight = self._cells[cell_key].summarize(now)
        return _Observation(engine, model, log_gap, weight)

    def _fit_pace(
        self,
        model: ItemKey,
        entries: list[_Observation],
        current: float,
    ) -> float:
        memory = self._paces.get(model)
        total = weights = 0.0
        if memory is not None:
            total, weights = _PACE_WEIGHT * memory.log_gap, _PACE_WEIGHT
        for entry in entries:
            value = entry.log_gap - entry.engine.log_speed
            weight = entry.weight
            if current and len(entries) > 1:
                weight *= _reduce_weight(value - current)
            total += weight * value
            weights += weight
        return total / weights

    def _fit_speed(
        self,
        entries: list[_Observation],
        by_model: dict[ItemKey, list[_Observation]],
        paces: dict[ItemKey, float],
    ) -> float:
        total, weights = 0.0, _PRIOR_WEIGHT
        for entry in entries:
            weight = entry.weight
            pace = paces[entry.model]
            if len(by_model[entry.model]) == 1:
                # Its fitted pace follows this engine; only the remembered
                # one is evidence.
                memory = self._paces.get(entry.model)
                if memory is None:
                    continue
                pace = memory.log_gap
                weight *= _PACE_WEIGHT / (weight + _PACE_WEIGHT)
            value = entry.log_gap - pace
            weight *= _reduce_weight(value - entry.engine.log_speed)
            total += weight * value
            weights += weight
        return max(-_MAX_LOG_SPEED, min(_MAX_LOG_SPEED, total / weights))

    def _center(
        self,
        by_engine: dict[int, list[_Observation]],
        paces: dict[ItemKey, float],
    ) -> None:
        """Make the mean of each service's speeds the usual one.

        Load that stretches the gaps of all engines alike does not make them
        slow compared with each other.
        """
        engines: dict[ItemName, list[_Engine]] = {}
        for entries in by_engine.values():
            engine = entries[0].engine
            engines.setdefault(engine.service, []).append(engine)
        means = {
            service: sum(e.log_speed for e in members) / len(members)
            for service, members in engines.items()
        }
        for members in engines.values():
            for engine in members:
                engine.log_speed -= means[engine.service]
        for model in paces:
            paces[model] += means[model.service]

    def _remember_pace(
        self, model: ItemKey, log_gap: float, elapsed_s: float, now: float
    ) -> None:
        pace = self._paces.get(model)
        if pace is None:
            self._paces[model] = _Pace(log_gap, now)
            return
        gain = 1 - math.exp(-elapsed_s / _PACE_MEMORY_S)
        pace.log_gap += gain * (log_gap - pace.log_gap)
        pace.seen_at = now


def _reduce_weight(residual: float) -> float:
    """Return the factor of an observation's weight (Huber)."""
    distance = abs(residual)
    if distance <= _OUTLIER_RESIDUAL:
        return 1.0
    return _OUTLIER_RESIDUAL / distance


def _publish(engine: _Engine, elapsed_s: float) -> None:
    """Update what others use of a fitted speed."""
    if engine.lasting_log_speed is None:
        engine.lasting_log_speed = engine.log_speed
    else:
        gain = 1 - 0.5 ** (elapsed_s / _LASTING_HALF_LIFE_S)
        engine.lasting_log_speed += gain * (
            engine.log_speed - engine.lasting_log_speed
        )
    percent = _USUAL_PERCENT * math.exp(engine.log_speed)
    if abs(percent - engine.percent) > _HYSTERESIS * engine.percent:
        engine.percent = _STEP_PERCENT * round(percent / _STEP_PERCENT)
