"""Placement policies: which items each accelerator should hold.

A policy reads the accelerators of one failure domain, as recorded in the
memory ledger, and returns what to load, what to drain and unload, and
which items are unreachable and why. It keeps no state between calls.
"""

import abc
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.ids import TargetId
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.settings import PolicyName
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.targets.engine import EngineItem

PRIORITY_RANKS = {
    Priority.URGENT: 0,
    Priority.NORMAL: 1,
    Priority.BACKGROUND: 2,
}


class CopyView(msgspec.Struct, kw_only=True):
    """One copy of an item on an accelerator."""

    item: EngineItem
    age_s: float = 0.0
    running: int = 0
    ready: bool = True
    draining: bool = False
    """Whether the copy gets no new work and is unloaded once idle."""
    unload_sent: bool = False


class AcceleratorView(msgspec.Struct, kw_only=True):
    """One accelerator, as recorded in the memory ledger."""

    target: TargetId
    usable_mb: int
    """Memory that is not reserved for the KV cache."""
    free_mb: int
    accepts_loads: bool = True
    leaving: bool = False
    copies: dict[str, CopyView] = {}
    """By NAME@VERSION; includes loads in transit and queued loads."""


class PlanInput(msgspec.Struct, kw_only=True):
    """Everything that a policy bases its decisions on."""

    accelerators: list[AcceleratorView]
    rows: list[SheetRow]
    """Models and adapters of the sheet in force."""
    rates: Mapping[ItemName, float] = {}
    """Smoothed requests per second in this failure domain."""
    waiting_counts: Mapping[ItemName, int] = {}
    """Requests that are waiting now."""
    ready_elsewhere: frozenset[str] = frozenset()
    """NAME@VERSION of the items that are ready in other failure domains."""
    domain_count: int = 1


class PlannedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load to order once the accelerator has enough free memory."""

    target: TargetId
    item: EngineItem
    reason: str
    sort_key: tuple = ()
    """Loads are ordered in ascending order of this key."""


class PlannedUnload(msgspec.Struct, frozen=True, kw_only=True):
    """A copy to drain and unload."""

    target: TargetId
    key: str
    reason: str


class Plan(msgspec.Struct, kw_only=True):
    """The decisions of a policy."""

    loads: list[PlannedLoad] = []
    unloads: list[PlannedUnload] = []
    cancelled_drains: list[tuple[TargetId, str]] = []
    """Draining copies that are kept."""
    unreachable: dict[ItemName, str] = {}
    """Reason for each item that has no copy in the whole business."""
    absent: dict[ItemName, str] = {}
    """Reason for each item that has copies in other domains only."""


class PlacementPolicy(abc.ABC):
    """Decides what each accelerator of a failure domain holds."""

    @abc.abstractmethod
    def plan(self, plan_input: PlanInput) -> Plan:
        """Return the next moves from the current state."""


def create_policy(settings: PlacementSettings) -> PlacementPolicy:
    """Return the policy that the settings name."""
    # Imported here because the implementations import this module.
    from dotterelbridge.placement.baselines import LruPolicy
    from dotterelbridge.placement.baselines import StaticPolicy
    from dotterelbridge.placement.demand_policy import DemandPolicy

    if settings.policy is PolicyName.STATIC:
        return StaticPolicy()
    if settings.policy is PolicyName.LRU:
        return LruPolicy()
    return DemandPolicy(settings)


def create_item(row: SheetRow) -> EngineItem:
    """Return the item that an engine loads for a sheet row."""
    return EngineItem(
        kind=row.kind,
        name=row.name,
        version=row.version,
        base=row.base,
        memory_mb=row.memory_mb,
    )


def get_row_key(row: SheetRow) -> str:
    """Return NAME@VERSION of a row."""
    return f"{row.name}@{row.version}"


class PlanDraft:
    """A plan under construction and the state that it would lead to.

    Each planned load or unload is applied to the accelerators, so that the
    policy bases its next decision on the result.
    """

    def __init__(self, plan_input: PlanInput) -> None:
        self.plan_input = plan_input
        self.plan = Plan(
            loads=[],
            unloads=[],
            cancelled_drains=[],
            unreachable={},
            absent={},
        )
        self.accelerators = {a.target: a for a in plan_input.accelerators}
        self.available = [
            a
            for a in plan_input.accelerators
            if a.accepts_loads and not a.leaving
        ]
        self.available_by_target = {a.target: a for a in self.available}
        self.rows_by_key = {get_row_key(row): row for row in plan_input.rows}
        self.free_mb = {a.target: a.free_mb for a in plan_input.accelerators}
        self.rate_by_target = {a.target: 0.0 for a in plan_input.accelerators}
        self.targets_by_key: dict[str, set[TargetId]] = {}
        self.draining_targets: dict[str, list[TargetId]] = {}
        self.adapter_counts: dict[tuple[TargetId, ItemName], int] = {}
        """Number of adapters on a target, by base model."""
        self.targets_by_base: dict[ItemName, set[TargetId]] = {}
        for accelerator in plan_input.accelerators:
            if not accelerator.leaving:
                self._index_existing_copies(accelerator)
        for key, targets in self.targets_by_key.items():
            self._distribute_rate(key, targets, 1)

    def get_rate(self, key: str) -> float:
        """Return the demand for an item, in requests per second."""
        row = self.rows_by_key.get(key)
        return self.plan_input.rates.get(row.name, 0.0) if row else 0.0

    def get_rate_per_copy(self, key: str) -> float:
        """Return the demand that each copy of an item serves."""
        return self.get_rate(key) / max(
            1, len(self.targets_by_key.get(key, ()))
        )

    def add_load(
        self,
        accelerator: AcceleratorView,
        row: SheetRow,
        reason: str,
        sort_key: tuple,
    ) -> None:
        """Plan a load and count it as a copy."""
        target = accelerator.target
        key = get_row_key(row)
        self.plan.loads.append(
            PlannedLoad(
                target=target,
                item=create_item(row),
                reason=reason,
                sort_key=sort_key,
            )
        )
        self.free_mb[target] -= row.memory_mb
        self._update_copies(target, row, key, added=True)
        accelerator.copies[key] = CopyView(item=create_item(row), ready=False)

    def add_unload(self, target: TargetId, key: str, reason: str) -> None:
        """Plan to drain and unload a copy and count its memory as free."""
        copy = self.accelerators[target].copies.pop(key)
        self.plan.unloads.append(
            PlannedUnload(target=target, key=key, reason=reason)
        )
        self.free_mb[target] += copy.item.memory_mb
        if key in self.targets_by_key:
            self._update_copies(target, copy.item, key, added=False)

    def cancel_drain(self, target: TargetId, key: str) -> None:
        """Plan to keep a draining copy."""
        copy = self.accelerators[target].copies[key]
        copy.draining = False
        self.plan.cancelled_drains.append((target, key))
        self._update_copies(target, copy.item, key, added=True)

    def is_needed_by_adapters(self, target: TargetId, key: str) -> bool:
        """Whether adapters on the target use the model."""
        copy = self.accelerators[target].copies[key]
        return self.adapter_counts.get((target, copy.item.name), 0) > 0

    def find_hosts(self, row: SheetRow) -> list[AcceleratorView]:
        """Return the accelerators that could load an item, idlest first."""
        return sorted(
            self._list_hosts(row),
            key=lambda host: self.rate_by_target[host.target],
        )

    def find_host_with_room(self, row: SheetRow) -> AcceleratorView | None:
        """Return the idlest accelerator with enough free memory, if any."""
        free_mb = self.free_mb
        rate_by_target = self.rate_by_target
        idlest_host = None
        lowest_rate = float("inf")
        for host in self._list_hosts(row):
            target = host.target
            if (
                free_mb[target] >= row.memory_mb
                and rate_by_target[target] < lowest_rate
            ):
                idlest_host = host
                lowest_rate = rate_by_target[target]
        return idlest_host

    def _list_hosts(self, row: SheetRow) -> list[AcceleratorView]:
        key = get_row_key(row)
        if row.kind is not ItemKind.ADAPTER:
            return [host for host in self.available if key not in host.copies]
        return [
            self.available_by_target[target]
            for target in sorted(self.targets_by_base.get(row.base, ()))
            if target in self.available_by_target
            and key not in self.available_by_target[target].copies
        ]

    def _index_existing_copies(self, accelerator: AcceleratorView) -> None:
        for key, copy in accelerator.copies.items():
            if copy.draining:
                # Counted as free already; the ledger holds loads back until
                # the copy is gone.
                self.free_mb[accelerator.target] += copy.item.memory_mb
                self.draining_targets.setdefault(key, []).append(
                    accelerator.target
                )
                continue
            self._update_indexes(
                accelerator.target, copy.item, key, added=True
            )

    def _update_copies(
        self,
        target: TargetId,
        item: SheetRow | EngineItem,
        key: str,
        *,
        added: bool,
    ) -> None:
        self._distribute_rate(key, self.targets_by_key.get(key, ()), -1)
        self._update_indexes(target, item, key, added=added)
        self._distribute_rate(key, self.targets_by_key[key], 1)

    def _update_indexes(
        self,
        target: TargetId,
        item: SheetRow | EngineItem,
        key: str,
        *,
        added: bool,
    ) -> None:
        copies = self.targets_by_key.setdefault(key, set())
        (copies.add if added else copies.discard)(target)
        if item.kind is ItemKind.ADAPTER:
            adapter_key = (target, item.base)
            delta = 1 if added else -1
            self.adapter_counts[adapter_key] = (
                self.adapter_counts.get(adapter_key, 0) + delta
            )
        else:
            bases = self.targets_by_base.setdefault(item.name, set())
            (bases.add if added else bases.discard)(target)

    def _distribute_rate(
        self, key: str, targets: Iterable[TargetId], sign: int
    ) -> None:
        targets = list(targets)
        rate = self.get_rate(key)
        if not targets or not rate:
            return
        for target in targets:
            self.rate_by_target[target] += sign * rate / len(targets)
