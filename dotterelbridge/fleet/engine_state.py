"""What an engine holds and may hold, by its reports and its orders."""

import math

import anyio
import msgspec

from dotterelbridge import invariants
from dotterelbridge.fleet.engine import EngineReport
from dotterelbridge.fleet.engine import Order
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import HeldModel
from dotterelbridge.routes.model import EngineInfo

SILENT_REPORTS = 2
"""Reports in a row that failed, from which an engine is taken for dead
until one is read: its models are needed elsewhere, seconds before the
platform's list drops it."""
REPORT_LAG_S = 0.35
"""Age of what a report shows, beyond the stated 200 ms for its way."""


ADAPTERS_IN_TRANSIT = 4
"""Adapters that may be on their way to one engine, as the platform says."""


class OpenOrder(msgspec.Struct, kw_only=True):
    """An order whose effect is not certain yet."""

    order: Order
    ready_at: float | None = None
    """When it is expected to be carried out."""


class EngineState:
    """Aggregate: counts everything that may be in an engine's memory.

    One order at a time waits for its answer. A load counts from the
    moment it is written down until a report shows that it is not there;
    an unloaded model counts until a report shows that it is gone.
    """

    def __init__(self, target: FleetTarget, engine: EngineInfo) -> None:
        self.target = target
        self.engine = engine
        self.models: dict[str, set[str]] = {}
        """Models that are or may be there, with their adapters."""
        self.dropping: set[str] = set()
        """Models taken out of use, to be unloaded."""
        self.moving_model: str | None = None
        """The model that is being brought in, its order sent or not."""
        self.moving_adapters: set[tuple[str, str]] = set()
        """The same for adapters."""
        self.evicting: set[tuple[str, str]] = set()
        """Adapters that make room for these."""
        self.leaving_adapters: set[tuple[str, str]] = set()
        """Adapters whose unload waits for their last request."""
        self.loading_from_store = False
        self.sending = anyio.Lock()
        """Held while an order waits for its answer."""
        self.open: OpenOrder | None = None
        """The order that waits for its answer."""
        self.loading: OpenOrder | None = None
        """The order for a model that is being carried out."""
        self.orders_accepted: int | None = None
        """None until a report was read."""
        self.is_reported_busy = False
        """Whether the newest report shows an order for a model under way."""
        self._counted_at = -math.inf
        """When an order was counted last; older reports don't show it."""
        self.in_memory: frozenset[str] = frozenset()
        self.on_disk: frozenset[str] = frozenset()
        self.reported_at = float("-inf")
        self._failed_reports = 0
        self.ready: dict[str, set[str]] = {}
        """The part of ``models`` that requests may use."""
        self._versions: dict[str, int] = {}
        self._changed_at: dict[tuple[str, str], float] = {}
        """When an order last changed an item; the adapter is empty for
        the model itself. What was shown before does not count."""

    @property
    def is_known(self) -> bool:
        """Whether a report was read since the engine's start."""
        return self.orders_accepted is not None

    @property
    def is_silent(self) -> bool:
        """Whether the engine is taken for dead."""
        return self._failed_reports >= SILENT_REPORTS

    def note_failed_report(self, now: float) -> None:
        """Note that a report could not be read."""
        self.reported_at = now
        self._failed_reports += 1

    @property
    def takes_model_moves(self) -> bool:
        """Whether a model may be moved in or out now."""
        return (
            self.is_known
            and not self.has_foreign_load
            and self.moving_model is None
            and self.target.takes_new_work
        )

    @property
    def has_foreign_load(self) -> bool:
        """Whether a load that this VM did not order may be under way.

        A report names no model before it is there, so that what such a
        load will take is not known until a report shows the engine idle.
        """
        return self.is_reported_busy and self.loading is None

    @property
    def takes_adapter_moves(self) -> bool:
        """Whether an adapter may be moved in or out now."""
        return (
            self.is_known
            # An engine refuses orders while it carries one out for a model.
            and self.loading is None
            and not self.is_reported_busy
            and len(self.moving_adapters) < ADAPTERS_IN_TRANSIT
            and self.target.takes_new_work
        )

    def size_of(self, model: str) -> float:
        """Return a model's size in MB, with its present adapters."""
        info = self.engine.find_model(model)
        if info is None:
            # Unknown to the routes in force; nothing fits beside it.
            return self.engine.memory_mb
        adapters = self.models.get(model, ())
        return info.memory_mb + len(adapters) * info.adapter_mb

    @property
    def used_mb(self) -> float:
        """Memory that is or may be taken, in MB."""
        return sum(self.size_of(model) for model in self.models)

    @property
    def adapter_count(self) -> int:
        """Adapter places that are or may be taken."""
        return sum(len(adapters) for adapters in self.models.values())

    def has_room(self, model: str, without: str | None = None) -> bool:
        """Whether a model fits, perhaps in the place of another."""
        info = self.engine.find_model(model)
        if info is None:
            return False
        freed = self.size_of(without) if without in self.models else 0.0
        wanted = self.used_mb - freed + info.memory_mb
        return wanted <= self.engine.memory_mb

    def has_adapter_room(self, model: str, planned: int = 0) -> bool:
        """Whether one more adapter of a model fits beside planned ones."""
        info = self.engine.find_model(model)
        if info is None or model not in self.models:
            return False
        return (
            self.adapter_count + planned < self.engine.adapter_places
            and self.used_mb + info.adapter_mb <= self.engine.memory_mb
        )

    def serves(self, model: str, adapter: str = "") -> bool:
        """Whether requests for an item may be sent here now."""
        if model in self.dropping or not self.target.takes_new_work:
            return False
        names = self.ready.get(model)
        if names is None or (model, adapter) in self.leaving_adapters:
            return False
        return not adapter or adapter in names

    def fits(self, model: str, adapter: str = "") -> bool:
        """Whether an order to load an item may be sent.

        An engine carries out one order for a model at a time: it accepts
        a load only once the unload before it is done.
        """
        if adapter:
            return self.has_adapter_room(model)
        return model in self.models or self.has_room(
            model, without=self._unloading_model
        )

    @property
    def _unloading_model(self) -> str | None:
        if self.loading is None:
            return None
        order = self.loading.order
        return order.model if order.kind is OrderKind.UNLOAD else None

    def give_up_moving(self) -> None:
        """Leave an order for a model that was accepted to the reports."""
        self.loading = None
        self.moving_model = None
        self.loading_from_store = False

    def start_dropping(self, model: str) -> None:
        """Take a model out of use, to be unloaded a little later."""
        self.dropping.add(model)

    def open_order(self, order: Order, now: float) -> OpenOrder:
        """Write an order down before it is sent."""
        invariants.check(
            self.open is None and self.is_known,
            "one_open_order_an_engine",
            target=self.target.target,
        )
        if order.kind is OrderKind.LOAD:
            self._count_load(order, now)
        self.open = OpenOrder(order=order)
        return self.open

    def _count_load(self, order: Order, now: float) -> None:
        invariants.check(
            self.fits(order.model, order.adapter),
            "engine_memory_never_over_committed",
            target=self.target.target,
            model=order.model,
            adapter=order.adapter,
            used_mb=self.used_mb,
        )
        adapters = self.models.setdefault(order.model, set())
        if order.adapter:
            adapters.add(order.adapter)
        self._changed_at[order.model, order.adapter] = now

    def settle_accepted(self, ready_at: float, now: float) -> None:
        """Note that the open order was accepted."""
        opened = self.open
        self.open = None
        self._count_order(now)
        opened.ready_at = ready_at
        self._changed_at[opened.order.model, opened.order.adapter] = now
        if not opened.order.adapter:
            if self._unloading_model is not None:
                self.finish_model(now)
            self.loading = opened
        elif opened.order.kind is OrderKind.UNLOAD:
            # In use: it keeps its place until its last request ends.
            self.leaving_adapters.add(
                (opened.order.model, opened.order.adapter)
            )

    def _count_order(self, now: float) -> None:
        self.orders_accepted += 1
        self._counted_at = now

    def settle_held(self, now: float) -> None:
        """Note that the open order holds already.

        An unused adapter is dropped at once, which the engine answers so
        and counts as an order.
        """
        order = self.open.order
        self.open = None
        if self.loading is not None and self.loading.order == order:
            self.loading = None
        if order.kind is OrderKind.UNLOAD and order.adapter in (
            self.models.get(order.model, ()) if order.adapter else ()
        ):
            self._count_order(now)
        self._changed_at[order.model, order.adapter] = now
        self._carry_out(order)

    def settle_refused(self) -> None:
        """Note that the open order was not and won't be carried out."""
        order = self.open.order
        self.open = None
        # What a report showed since then was not taken; the next counts.
        self._changed_at.pop((order.model, order.adapter), None)
        if order.kind is not OrderKind.LOAD:
            return
        if order.adapter:
            self._drop_adapter(order)
        elif order.model not in self.ready:
            self.forget_model(order.model)

    def settle_unanswered(self) -> None:
        """Give the open order up without an answer.

        What it may have brought counts until a report tells otherwise. A
        late copy finds another number of orders, or makes the next order
        find one.
        """
        self.open = None

    def finish_adapter(self, model: str, adapter: str) -> None:
        """Note that an accepted load of an adapter was carried out."""
        if adapter in self.models.get(model, ()) and model in self.ready:
            self.ready[model].add(adapter)

    def has_adapter(self, model: str, adapter: str) -> bool:
        """Whether an adapter is or may be there."""
        return adapter in self.models.get(model, ())

    def finish_model(self, now: float) -> None:
        """Note that the order for a model was carried out."""
        order = self.loading.order
        self.loading = None
        self._changed_at[order.model, ""] = now
        self._carry_out(order)

    def forget_model(self, model: str) -> None:
        """Count a model no more."""
        self.models.pop(model, None)
        self.ready.pop(model, None)
        self.dropping.discard(model)

    def _carry_out(self, order: Order) -> None:
        if order.kind is OrderKind.UNLOAD:
            if order.adapter:
                self._drop_adapter(order)
            else:
                self.forget_model(order.model)
            return
        if order.model not in self.models:
            return
        names = self.ready.setdefault(order.model, set())
        if order.adapter and order.adapter in self.models[order.model]:
            names.add(order.adapter)

    def _drop_adapter(self, order: Order) -> None:
        self.models.get(order.model, set()).discard(order.adapter)
        self.ready.get(order.model, set()).discard(order.adapter)

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Take what the engine shows, as of some hundred ms ago.

        For an item that an order changed since then, the order counts.
        """
        shown_at = now - REPORT_LAG_S
        self.reported_at = now
        self._failed_reports = 0
        self.is_reported_busy = report.is_busy
        self.in_memory = report.in_memory
        self.on_disk = report.on_disk
        if shown_at > self._counted_at:
            # An order that waits for an item's last request is accepted,
            # and counted only when it is carried out.
            self.orders_accepted = report.orders_accepted
        else:
            self.orders_accepted = max(
                self.orders_accepted, report.orders_accepted
            )
        ready = {held.model: set(held.adapters) for held in report.held}
        self._versions = {held.model: held.version for held in report.held}
        present = {model: set(names) for model, names in ready.items()}
        for model, adapter in report.loading_adapters:
            present.setdefault(model, set()).add(adapter)
        for model in sorted(set(self.models) | set(present)):
            self._take_model(model, present, ready, shown_at)

    def _take_model(
        self,
        model: str,
        present: dict[str, set[str]],
        ready: dict[str, set[str]],
        shown_at: float,
    ) -> None:
        changed = self._changed_at.get((model, ""), -math.inf)
        if changed <= shown_at and not self._is_ordered(model):
            if model not in present:
                self.forget_model(model)
                return
            self.models.setdefault(model, set())
            self.ready.setdefault(model, set())
        if model in self.models and model in present:
            self._take_adapters(model, present, ready, shown_at)

    def _take_adapters(
        self,
        model: str,
        present: dict[str, set[str]],
        ready: dict[str, set[str]],
        shown_at: float,
    ) -> None:
        served = self.ready.get(model)
        for adapter in self.models[model] | present[model]:
            changed = self._changed_at.get((model, adapter), -math.inf)
            if changed > shown_at or self._is_ordered(model, adapter):
                continue
            _set_member(self.models[model], adapter, adapter in present[model])
            if served is not None:
                shown = adapter in ready.get(model, ())
                _set_member(served, adapter, shown)

    def _is_ordered(self, model: str, adapter: str = "") -> bool:
        """Whether an order for an item is open or being carried out.

        The engine may accept an open one at any time.
        """
        return any(
            order is not None
            and (order.order.model, order.order.adapter) == (model, adapter)
            for order in (self.open, self.loading)
        )

    def list_served(self) -> tuple[HeldModel, ...]:
        """Return what requests may use."""
        return tuple(
            HeldModel(
                model,
                self._versions.get(model, 0),
                frozenset(
                    name
                    for name in names
                    if (model, name) not in self.leaving_adapters
                ),
            )
            for model, names in sorted(self.ready.items())
            if model not in self.dropping
        )


def _set_member(names: set[str], name: str, is_member: bool) -> None:
    if is_member:
        names.add(name)
    else:
        names.discard(name)
