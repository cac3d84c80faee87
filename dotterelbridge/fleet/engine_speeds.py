"""The speeds of engines, from the gaps between events that entry VMs measure.

A gap is about the speed of the engine times the pace of the model. The two
are found from logarithms in two steps:

- The gaps of the last tens of seconds give usual speeds and paces, through the
  models that are or were on several engines, by weighted least squares with
  the weights of Huber's estimator and a prior that pulls speeds to 1.0.
- The gaps of the last seconds, compared with those on the same engine before,
  give what has changed. This needs no model on two engines.
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
"""Time for which a measurement counts as recent."""
_PUBLISHED_S = 10.0
"""Time without measurements after which an engine has the usual speed."""
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
_CHANGE_PRIOR_WEIGHT = 4.0
"""Weight of the assumption that an engine is as fast as before."""
_OUTLIER_RESIDUAL = 0.3
"""Residual from which a cell's weight falls."""
_MEAN_S = 20.0
"""Time constant of a cell's mean gap. Placement uses the speeds that follow
from it: an engine that is slower by 2.5 for three seconds appears slower by
1.14."""
_CELL_KEPT_S = 60.0
"""Time without measurements after which a cell is forgotten: a model that has
moved connects the engines that it was on."""
_PACE_KEPT_S = 120.0
_MAX_CELLS = 20_000
"""Twice the pairs of an engine and a model at the target size."""
_MAX_LOG_SPEED = math.log(4.0)
_STEP_PERCENT = 10
"""Rounding of published speeds: each change is sent to all VMs."""
_HYSTERESIS = 0.1
"""Part of the published speed by which the fitted one has to differ."""
_USUAL_PERCENT = 100
_LASTING_MIN_AGE_S = 4.0
"""Time for which an engine is measured before placement uses its speed."""


class _Cell:
    """Measurements of one model on one engine."""

    def __init__(self, engine: "_Engine", model: ItemKey) -> None:
        self.engine = engine
        self.model = model
        self.samples: deque[tuple[float, float, int]] = deque(
            maxlen=_MAX_SAMPLES_PER_CELL
        )
        """Latest ones as (monotonic time, gap in ms, streams)."""
        self.log_gap = 0.0
        """Logarithm of the latest gap."""
        self.weight = 0.0
        """Weight of the latest gap; 0 without recent measurements."""
        self.mean_log_gap = 0.0
        self.mean_weight = 0.0
        self.last_at = -math.inf
        """Monotonic time of the last measurement."""
        self._mean_streams = 0.0
        """Streams that the mean is of, fading."""

    def summarize(self, now: float, elapsed_s: float) -> None:
        """Update the gap and its mean."""
        self.weight = 0.0
        if not self.samples:
            return
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
            _CELL_DEVIATION**2 + (_SPREAD_RATIO * math.log(high / low)) ** 2
        )
        self.log_gap = math.log(gap_ms)
        self.weight = 1 / (variance + _STREAM_DEVIATION**2 / streams)
        new_streams = sum(
            streams for at, _, streams in self.samples if at > now - elapsed_s
        )
        if not new_streams:
            return
        self._mean_streams *= math.exp(-elapsed_s / _MEAN_S)
        self._mean_streams += new_streams
        gain = new_streams / self._mean_streams
        self.mean_log_gap += gain * (self.log_gap - self.mean_log_gap)
        self.mean_weight = 1 / (
            variance + _STREAM_DEVIATION**2 / self._mean_streams
        )


def _find_quantile(samples: list[tuple[float, float]], rank: float) -> float:
    """Return the gap at which the sum of weights reaches a rank."""
    for gap_ms, weight in samples:
        rank -= weight
        if rank <= 0:
            return gap_ms
    return samples[-1][0]


class _Engine(msgspec.Struct, kw_only=True):
    service: ItemName
    measured_since: float
    measured_at: float
    usual_log_speed: float = 0.0
    """Speed over tens of seconds."""
    log_speed: float = 0.0
    """Present speed."""
    percent: int = _USUAL_PERCENT
    """Published speed."""


class _Pace(msgspec.Struct):
    log_gap: float
    seen_at: float


class EngineSpeeds:
    """Fits the speeds of engines and the paces of models.

    Starts without measurements on each new leader of the log.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._cells: dict[tuple[Incarnation, str], _Cell] = {}
        self._sample_count = 0
        self._engines: dict[Incarnation, _Engine] = {}
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
        incarnation = (gap.target, gap.born)
        cell = self._cells.get((incarnation, gap.model))
        if cell is None:
            if len(self._cells) >= _MAX_CELLS:
                return
            engine = self._engines.get(incarnation)
            if engine is None:
                engine = _Engine(
                    service=service, measured_since=now, measured_at=now
                )
                self._engines[incarnation] = engine
            cell = _Cell(engine, ItemKey(service, gap.model))
            self._cells[incarnation, gap.model] = cell
        cell.last_at = cell.engine.measured_at = now
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
        if engine is None or not self._is_measured(engine):
            return _USUAL_PERCENT
        return engine.percent

    def find_lasting_speed(self, incarnation: Incarnation) -> float | None:
        """Return a speed that placement may rely on; None if unknown."""
        engine = self._engines.get(incarnation)
        if (
            engine is None
            or self._fitted_at - engine.measured_since < _LASTING_MIN_AGE_S
        ):
            return None
        return math.exp(engine.usual_log_speed)

    def find_gap_ms(self, model: ItemKey) -> float | None:
        """Return a model's gap on an engine of usual speed, if known."""
        pace = self._paces.get(model)
        return None if pace is None else math.exp(pace.log_gap)

    def list_speeds(self) -> list[float]:
        """Return the present speed of each engine with measurements."""
        return [
            math.exp(engine.log_speed)
            for engine in self._engines.values()
            if self._is_measured(engine)
        ]

    def _is_measured(self, engine: _Engine) -> bool:
        return engine.measured_at > self._clock.monotonic() - _PUBLISHED_S

    def _forget_old(self, now: float) -> None:
        self._sample_count = 0
        for incarnation, engine in list(self._engines.items()):
            if now - engine.measured_at > _CELL_KEPT_S:
                del self._engines[incarnation]
        for cell_key, cell in list(self._cells.items()):
            samples = cell.samples
            while samples and samples[0][0] < now - _WINDOW_S:
                samples.popleft()
            if now - cell.last_at > _CELL_KEPT_S:
                del self._cells[cell_key]
            self._sample_count += len(samples)
        for model, pace in list(self._paces.items()):
            if now - pace.seen_at > _PACE_KEPT_S:
                del self._paces[model]

    # Fit.

    def _fit(self, now: float) -> Iterator[None]:
        cells = list(self._cells.values())
        for number, cell in enumerate(cells):
            cell.summarize(now, now - self._fitted_at)
            if number % _STEP_CELLS == _STEP_CELLS - 1:
                yield
        by_model: dict[ItemKey, list[_Cell]] = {}
        by_engine: dict[int, list[_Cell]] = {}
        for cell in cells:
            if cell.mean_weight:
                by_model.setdefault(cell.model, []).append(cell)
                by_engine.setdefault(id(cell.engine), []).append(cell)
        yield from self._fit_usual_speeds(by_model, by_engine)
        for entries in by_engine.values():
            engine = entries[0].engine
            engine.log_speed = engine.usual_log_speed + _fit_change(entries)
        self._center()
        for engine in self._engines.values():
            if self._is_measured(engine):
                _publish(engine)

    def _fit_usual_speeds(
        self,
        by_model: dict[ItemKey, list[_Cell]],
        by_engine: dict[int, list[_Cell]],
    ) -> Iterator[None]:
        now = self._clock.monotonic()
        paces = {model: pace.log_gap for model, pace in self._paces.items()}
        sweeps = _MAX_VISITS // max(1, sum(map(len, by_engine.values())))
        for _ in range(max(_MIN_SWEEPS, min(_MAX_SWEEPS, sweeps))):
            yield
            for model, entries in by_model.items():
                paces[model] = _fit_pace(entries, paces.get(model))
            change = 0.0
            for entries in by_engine.values():
                engine = entries[0].engine
                log_speed = _fit_usual_speed(entries, by_model, paces)
                change = max(change, abs(log_speed - engine.usual_log_speed))
                engine.usual_log_speed = log_speed
            if change < _CONVERGED:
                break
        for model in by_model:
            self._paces[model] = _Pace(paces[model], now)

    def _center(self) -> None:
        """Make the mean of each service's present speeds the usual one.

        Load that stretches the gaps of all engines alike does not make them
        slow compared with each other.
        """
        engines: dict[ItemName, list[_Engine]] = {}
        for engine in self._engines.values():
            if self._is_measured(engine):
                engines.setdefault(engine.service, []).append(engine)
        for members in engines.values():
            mean = sum(e.log_speed for e in members) / len(members)
            for engine in members:
                engine.log_speed -= mean


def _fit_pace(cells: list[_Cell], current: float | None) -> float:
    """Return the logarithm of a model's gap at the usual speed."""
    total = weights = 0.0
    for cell in cells:
        value = cell.mean_log_gap - cell.engine.usual_log_speed
        weight = cell.mean_weight
        if current is not None and len(cells) > 2:
            weight *= _reduce_weight(value - current)
        total += weight * value
        weights += weight
    return total / weights


def _fit_usual_speed(
    cells: list[_Cell],
    by_model: dict[ItemKey, list[_Cell]],
    paces: dict[ItemKey, float],
) -> float:
    """Return the logarithm of an engine's speed over tens of seconds."""
    total, weights = 0.0, _PRIOR_WEIGHT
    for cell in cells:
        if len(by_model[cell.model]) > 1:
            value = cell.mean_log_gap - paces[cell.model]
            weight = cell.mean_weight * _reduce_weight(
                value - cell.engine.usual_log_speed
            )
            total += weight * value
            weights += weight
    return max(-_MAX_LOG_SPEED, min(_MAX_LOG_SPEED, total / weights))


def _fit_change(cells: list[_Cell]) -> float:
    """Return by how much an engine is slower now than it usually is."""
    total, weights = 0.0, _CHANGE_PRIOR_WEIGHT
    for cell in cells:
        total += cell.weight * (cell.log_gap - cell.mean_log_gap)
        weights += cell.weight
    return total / weights


def _reduce_weight(residual: float) -> float:
    """Return the factor of an observation's weight (Huber)."""
    distance = abs(residual)
    if distance <= _OUTLIER_RESIDUAL:
        return 1.0
    return _OUTLIER_RESIDUAL / distance


def _publish(engine: _Engine) -> None:
    """Update the published speed, if it has changed enough."""
    percent = _USUAL_PERCENT * math.exp(engine.log_speed)
    if abs(percent - engine.percent) > _HYSTERESIS * engine.percent:
        engine.percent = _STEP_PERCENT * round(percent / _STEP_PERCENT)
