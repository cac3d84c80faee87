"""Tracks the models and adapters of one engine from reports and orders."""

import math

import anyio
import msgspec

from dotterelbridge import invariants
from dotterelbridge.fleet.engine import EngineReport
from dotterelbridge.fleet.engine import Order
from dotterelbridge.fleet.engine import OrderKind
from dotterelbridge.fleet.event_gaps import EventGapMeter
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import HeldModel
from dotterelbridge.fleet.records import TargetLoad
from dotterelbridge.routes.model import EngineInfo

_FAILING_PERCENT = 50
"""Share of errors from which entry VMs send an engine no requests, so that
what it holds needs another place."""
SILENT_REPORT_COUNT = 2
"""Consecutive failed reports after which an engine counts as dead until a
report succeeds. Its models are then loaded elsewhere, seconds before the
platform's list drops the engine."""
REPORT_LAG_S = 0.35
"""Maximum age of the data in a report when it arrives; longer than the
documented 200 ms delay of reports."""
MAX_ADAPTERS_IN_TRANSIT = 4
"""The platform's limit of adapters that load into one engine at a time."""


class PendingOrder(msgspec.Struct, kw_only=True):
    """An order that the engine has not answered or not completed yet."""

    order: Order
    ready_at: float | None = None
    """Monotonic time at which it is expected to be complete."""


class EngineState:
    """Accounts for everything that may be in an engine's memory.

    Aggregate; at most one order is unanswered at a time. A load counts
    from the moment it is recorded, before it is sent, until a report
    shows the item absent. An unloaded model counts until a report shows
    it gone.
    """

    def __init__(self, target: FleetTarget, engine: EngineInfo) -> None:
        self.target = target
        self.engine = engine
        self.models: dict[str, set[str]] = {}
        """Models that are or may be loaded, each with its adapters."""
        self.draining_models: set[str] = set()
        """Models that get no new requests because they will be unloaded."""
        self.incoming_model: str | None = None
        """The model whose load is planned, ordered or executing."""
        self.incoming_adapters: set[tuple[str, str]] = set()
        """The same for adapters, as (model, adapter)."""
        self.evicting_adapters: set[tuple[str, str]] = set()
        """Adapters that are evicted for the incoming ones."""
        self.draining_adapters: set[tuple[str, str]] = set()
        """Adapters whose unload waits for their last request to end."""
        self.is_loading_from_store = False
        self.order_lock = anyio.Lock()
        """Held while an order is unanswered."""
        self.unanswered_order: PendingOrder | None = None
        """The order that the engine has not answered yet."""
        self.executing_order: PendingOrder | None = None
        """The accepted order for a model that the engine executes."""
        self.orders_accepted: int | None = None
        """Orders that the engine has accepted; None before a report."""
        self.is_reported_busy = False
        """Whether the latest report shows an order for a model executing."""
        self._order_counted_at = -math.inf
        """When ``orders_accepted`` was last increased here; reports that
        show an earlier state do not include that order."""
        self.in_memory: frozenset[str] = frozenset()
        self.on_disk: frozenset[str] = frozenset()
        self.reported_at = float("-inf")
        self._failed_report_count = 0
        self._event_gaps = EventGapMeter()
        self.ready: dict[str, set[str]] = {}
        """The part of ``models`` that can serve requests."""
        self._versions: dict[str, int] = {}
        self._changed_at: dict[tuple[str, str], float] = {}
        """When an order last changed an item, by (model, adapter), with an
        empty adapter for the model itself. Reports of an earlier state are
        ignored for that item."""

    @property
    def has_report(self) -> bool:
        """Whether a report was read since the engine started."""
        return self.orders_accepted is not None

    @property
    def is_silent(self) -> bool:
        """Whether the engine counts as dead."""
        return self._failed_report_count >= SILENT_REPORT_COUNT

    @property
    def is_failing(self) -> bool:
        """Whether the engine answers most requests with errors."""
        return self.target.load.error_percent >= _FAILING_PERCENT

    def describe_load(self, report: EngineReport, now: float) -> TargetLoad:
        """Return the load in a report, with the measured speed."""
        self._event_gaps.record(report.streams, now)
        return msgspec.structs.replace(
            report.load, event_gap_ms=round(self._event_gaps.gap_ms)
        )

    def record_failed_report(self, now: float) -> None:
        """Record that a report could not be read."""
        self.reported_at = now
        self._failed_report_count += 1

    @property
    def takes_model_moves(self) -> bool:
        """Whether a model may be loaded or unloaded now."""
        return (
            self.has_report
            and not self.has_foreign_load
            and self.incoming_model is None
            and self.target.takes_new_work
        )

    @property
    def has_foreign_load(self) -> bool:
        """Whether a load that this VM did not order may be executing.

        A report does not name a model before it is loaded, so the memory
        that such a load takes is unknown until a report shows the engine
        idle.
        """
        return self.is_reported_busy and self.executing_order is None

    @property
    def takes_adapter_moves(self) -> bool:
        """Whether an adapter may be loaded or unloaded now."""
        return (
            self.has_report
            # An engine refuses orders while it executes one for a model.
            and self.executing_order is None
            and not self.is_reported_busy
            and len(self.incoming_adapters) < MAX_ADAPTERS_IN_TRANSIT
            and self.target.takes_new_work
        )

    def compute_size_mb(self, model: str) -> float:
        """Return the memory of a model and its loaded adapters, in MB."""
        info = self.engine.find_model(model)
        if info is None:
            # The active routes do not define the model, so its size is
            # unknown: assume that it fills the engine.
            return self.engine.memory_mb
        adapters = self.models.get(model, ())
        return info.memory_mb + len(adapters) * info.adapter_mb

    @property
    def used_mb(self) -> float:
        """Memory that is or may be in use, in MB."""
        return sum(self.compute_size_mb(model) for model in self.models)

    @property
    def adapter_count(self) -> int:
        """Adapter places that are or may be in use."""
        return sum(len(adapters) for adapters in self.models.values())

    def has_room(self, model: str, without: str | None = None) -> bool:
        """Whether a model fits, optionally after another one is unloaded."""
        info = self.engine.find_model(model)
        if info is None:
            return False
        freed = (
            self.compute_size_mb(without) if without in self.models else 0.0
        )
        wanted = self.used_mb - freed + info.memory_mb
        return wanted <= self.engine.memory_mb

    def has_adapter_room(self, model: str, planned: int = 0) -> bool:
        """Whether one more adapter of a model fits beside planned loads."""
        info = self.engine.find_model(model)
        if info is None or model not in self.models:
            return False
        return (
            self.adapter_count + planned < self.engine.adapter_places
            and self.used_mb + info.adapter_mb <= self.engine.memory_mb
        )

    def serves(self, model: str, adapter: str = "") -> bool:
        """Whether requests for an item may be sent to the engine now."""
        if model in self.draining_models or not self.target.takes_new_work:
            return False
        names = self.ready.get(model)
        if names is None or (model, adapter) in self.draining_adapters:
            return False
        return not adapter or adapter in names

    def can_load(self, model: str, adapter: str = "") -> bool:
        """Whether an order to load an item may be sent.

        An engine executes one order for a model at a time: it accepts a
        load only once the preceding unload is complete.
        """
        if adapter:
            return self.has_adapter_room(model)
        return model in self.models or self.has_room(
            model, without=self._unloading_model
        )

    @property
    def _unloading_model(self) -> str | None:
        if self.executing_order is None:
            return None
        order = self.executing_order.order
        return order.model if order.kind is OrderKind.UNLOAD else None

    def clear_model_move(self) -> None:
        """Stop tracking a model's move; reports show what became of it."""
        self.executing_order = None
        self.incoming_model = None
        self.is_loading_from_store = False

    def start_draining(self, model: str) -> None:
        """Stop sending requests to a model that will be unloaded."""
        self.draining_models.add(model)

    def begin_order(self, order: Order, now: float) -> PendingOrder:
        """Record an order before it is sent."""
        invariants.check(
            self.unanswered_order is None and self.has_report,
            "one_open_order_an_engine",
            target=self.target.target,
        )
        if order.kind is OrderKind.LOAD:
            self._add_load(order, now)
        self.unanswered_order = PendingOrder(order=order)
        return self.unanswered_order

    def _add_load(self, order: Order, now: float) -> None:
        invariants.check(
            self.can_load(order.model, order.adapter),
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

    def record_accepted(self, ready_at: float, now: float) -> None:
        """Record that the engine accepted the unanswered order."""
        accepted_order = self.unanswered_order
        self.unanswered_order = None
        self._count_accepted_order(now)
        accepted_order.ready_at = ready_at
        self._changed_at[
            accepted_order.order.model, accepted_order.order.adapter
        ] = now
        if not accepted_order.order.adapter:
            if self._unloading_model is not None:
                self.complete_model_order(now)
            self.executing_order = accepted_order
        elif accepted_order.order.kind is OrderKind.UNLOAD:
            # The adapter is in use and keeps its place until its last
            # request ends.
            self.draining_adapters.add(
                (accepted_order.order.model, accepted_order.order.adapter)
            )

    def _count_accepted_order(self, now: float) -> None:
        self.orders_accepted += 1
        self._order_counted_at = now

    def record_already_done(self, now: float) -> None:
        """Record that what the unanswered order asks for is already done.

        An engine also answers this when it unloads an unused adapter
        immediately, and then counts the order.
        """
        order = self.unanswered_order.order
        self.unanswered_order = None
        if (
            self.executing_order is not None
            and self.executing_order.order == order
        ):
            self.executing_order = None
        if order.kind is OrderKind.UNLOAD and order.adapter in (
            self.models.get(order.model, ()) if order.adapter else ()
        ):
            self._count_accepted_order(now)
        self._changed_at[order.model, order.adapter] = now
        self._apply_completed_order(order)

    def record_refused(self) -> None:
        """Record that the unanswered order was refused."""
        order = self.unanswered_order.order
        self.unanswered_order = None
        # Reports were ignored for this item since then; use the next one.
        self._changed_at.pop((order.model, order.adapter), None)
        if order.kind is not OrderKind.LOAD:
            return
        if order.adapter:
            self._remove_adapter(order)
        elif order.model not in self.ready:
            self.remove_model(order.model)

    def record_unanswered(self) -> None:
        """Stop waiting for an answer to the unanswered order.

        Its load counts until a report shows otherwise. If a copy arrives
        late, either it is refused because the number of accepted orders
        has changed, or it is accepted and the next order is refused for
        the same reason.
        """
        self.unanswered_order = None

    def mark_adapter_ready(self, model: str, adapter: str) -> None:
        """Record that an accepted load of an adapter is complete."""
        if adapter in self.models.get(model, ()) and model in self.ready:
            self.ready[model].add(adapter)

    def has_adapter(self, model: str, adapter: str) -> bool:
        """Whether an adapter is or may be loaded."""
        return adapter in self.models.get(model, ())

    def complete_model_order(self, now: float) -> None:
        """Record that the executing order for a model is complete."""
        order = self.executing_order.order
        self.executing_order = None
        self._changed_at[order.model, ""] = now
        self._apply_completed_order(order)

    def remove_model(self, model: str) -> None:
        """Stop counting a model."""
        self.models.pop(model, None)
        self.ready.pop(model, None)
        self.draining_models.discard(model)

    def _apply_completed_order(self, order: Order) -> None:
        if order.kind is OrderKind.UNLOAD:
            if order.adapter:
                self._remove_adapter(order)
            else:
                self.remove_model(order.model)
            return
        if order.model not in self.models:
            return
        names = self.ready.setdefault(order.model, set())
        if order.adapter and order.adapter in self.models[order.model]:
            names.add(order.adapter)

    def _remove_adapter(self, order: Order) -> None:
        self.models.get(order.model, set()).discard(order.adapter)
        self.ready.get(order.model, set()).discard(order.adapter)

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Apply a report, which shows a state some hundred ms old.

        For an item that an order has changed since then, the order's
        effect takes precedence.
        """
        shown_at = now - REPORT_LAG_S
        self.reported_at = now
        self._failed_report_count = 0
        self.is_reported_busy = report.is_busy
        self.in_memory = report.in_memory
        self.on_disk = report.on_disk
        if shown_at > self._order_counted_at:
            # The reported count may be lower than the tracked one: the
            # unload of an item in use is accepted at once, but the engine
            # counts it only when it completes.
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
            self._reconcile_model(model, present, ready, shown_at)

    def _reconcile_model(
        self,
        model: str,
        present: dict[str, set[str]],
        ready: dict[str, set[str]],
        shown_at: float,
    ) -> None:
        changed_at = self._changed_at.get((model, ""), -math.inf)
        if changed_at <= shown_at and not self._has_pending_order(model):
            if model not in present:
                self.remove_model(model)
                return
            self.models.setdefault(model, set())
            self.ready.setdefault(model, set())
        if model in self.models and model in present:
            self._reconcile_adapters(model, present, ready, shown_at)

    def _reconcile_adapters(
        self,
        model: str,
        present: dict[str, set[str]],
        ready: dict[str, set[str]],
        shown_at: float,
    ) -> None:
        ready_adapters = self.ready.get(model)
        for adapter in self.models[model] | present[model]:
            changed_at = self._changed_at.get((model, adapter), -math.inf)
            if changed_at > shown_at or self._has_pending_order(
                model, adapter
            ):
                continue
            _set_member(self.models[model], adapter, adapter in present[model])
            if ready_adapters is not None:
                is_ready = adapter in ready.get(model, ())
                _set_member(ready_adapters, adapter, is_ready)

    def _has_pending_order(self, model: str, adapter: str = "") -> bool:
        """Whether an order for an item is unanswered or executing.

        The engine may accept an unanswered order at any time.
        """
        return any(
            order is not None
            and (order.order.model, order.order.adapter) == (model, adapter)
            for order in (self.unanswered_order, self.executing_order)
        )

    def list_served_models(self) -> tuple[HeldModel, ...]:
        """Return the models and adapters that can serve requests."""
        return tuple(
            HeldModel(
                model,
                self._versions.get(model, 0),
                frozenset(
                    name
                    for name in names
                    if (model, name) not in self.draining_adapters
                ),
            )
            for model, names in sorted(self.ready.items())
            if model not in self.draining_models
        )


def _set_member(names: set[str], name: str, is_member: bool) -> None:
    if is_member:
        names.add(name)
    else:
        names.discard(name)
