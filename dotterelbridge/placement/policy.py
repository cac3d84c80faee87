"""Placement policies: which items each accelerator should hold.

A policy sees the accelerators of one failure domain as the ledger has
them and returns what to load, what to drain and unload, and what cannot
be reached and why. It keeps no state between calls.
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
    """It gets no new work and is unloaded once idle."""
    unload_sent: bool = False


class AcceleratorView(msgspec.Struct, kw_only=True):
    """One accelerator as the ledger has it."""

    target: TargetId
    usable_mb: int
    """Memory without the KV cache room."""
    free_mb: int
    accepts_loads: bool = True
    leaving: bool = False
    copies: dict[str, CopyView] = {}
    """By NAME@VERSION; loads in transit and planned ones included."""


class PlanInput(msgspec.Struct, kw_only=True):
    """All that a policy decides from."""

    accelerators: list[AcceleratorView]
    rows: list[SheetRow]
    """Models and adapters of the sheet in force."""
    rates: Mapping[ItemName, float] = {}
    """Smoothed requests a second in this failure domain."""
    waiting: Mapping[ItemName, int] = {}
    """Requests that wait now."""
    elsewhere: frozenset[str] = frozenset()
    """NAME@VERSION of the items that are ready in other domains."""
    domain_count: int = 1


class PlannedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """A load to order once its room is free."""

    target: TargetId
    item: EngineItem
    reason: str
    urgency: tuple = ()
    """Loads with the lowest value go first."""


class PlannedUnload(msgspec.Struct, frozen=True, kw_only=True):
    """A copy to drain and unload."""

    target: TargetId
    key: str
    reason: str


class Plan(msgspec.Struct, kw_only=True):
    """A policy's decisions."""

    loads: list[PlannedLoad] = []
    unloads: list[PlannedUnload] = []
    revived: list[tuple[TargetId, str]] = []
    """Draining copies that should stay after all."""
    unreachable: dict[ItemName, str] = {}
    """Items without a copy in the business, each with the reason."""
    absent: dict[ItemName, str] = {}
    """Items without a copy in this domain only, with the reason."""


class PlacementPolicy(abc.ABC):
    """Decides what each accelerator of a failure domain holds."""

    @abc.abstractmethod
    def plan(self, state: PlanInput) -> Plan:
        """Return the next moves from the present state."""


def create_policy(settings: PlacementSettings) -> PlacementPolicy:
    """Return the policy that the settings name."""
    # The implementations import this module.
    from dotterelbridge.placement.baselines import LruPolicy
    from dotterelbridge.placement.baselines import StaticPolicy
    from dotterelbridge.placement.demand_policy import DemandPolicy

    if settings.policy is PolicyName.STATIC:
        return StaticPolicy()
    if settings.policy is PolicyName.LRU:
        return LruPolicy()
    return DemandPolicy(settings)


def create_item(row: SheetRow) -> EngineItem:
    """Return a sheet row as an engine loads it."""
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


class Board:
    """A working copy of the accelerators that a policy moves items on."""

    def __init__(self, state: PlanInput) -> None:
        self.state = state
        self.plan = Plan(
            loads=[], unloads=[], revived=[], unreachable={}, absent={}
        )
        self.accelerators = {a.target: a for a in state.accelerators}
        self.open = [
            a for a in state.accelerators if a.accepts_loads and not a.leaving
        ]
        self.open_by_target = {a.target: a for a in self.open}
        self.rows_by_key = {get_row_key(row): row for row in state.rows}
        self.free_mb = {a.target: a.free_mb for a in state.accelerators}
        self.load = {a.target: 0.0 for a in state.accelerators}
        self.copies: dict[str, set[TargetId]] = {}
        self.draining: dict[str, list[TargetId]] = {}
        self.adapters: dict[tuple[TargetId, ItemName], int] = {}
        """Number of adapters on a target, by base model."""
        self.base_copies: dict[ItemName, set[TargetId]] = {}
        for accelerator in state.accelerators:
            if not accelerator.leaving:
                self._note_copies(accelerator)
        for key, targets in self.copies.items():
            self._spread_rate(key, targets, 1)

    def rate(self, key: str) -> float:
        """Return the demand for an item."""
        row = self.rows_by_key.get(key)
        return self.state.rates.get(row.name, 0.0) if row else 0.0

    def rate_per_copy(self, key: str) -> float:
        """Return the demand that one copy of an item carries."""
        return self.rate(key) / max(1, len(self.copies.get(key, ())))

    def add_load(
        self,
        accelerator: AcceleratorView,
        row: SheetRow,
        reason: str,
        urgency: tuple,
    ) -> None:
        """Plan a load and count it as a copy."""
        target = accelerator.target
        key = get_row_key(row)
        self.plan.loads.append(
            PlannedLoad(
                target=target,
                item=create_item(row),
                reason=reason,
                urgency=urgency,
            )
        )
        self.free_mb[target] -= row.memory_mb
        self._change_copies(target, row, key, added=True)
        accelerator.copies[key] = CopyView(item=create_item(row), ready=False)

    def add_unload(self, target: TargetId, key: str, reason: str) -> None:
        """Plan to drain and unload a copy; its room is free later."""
        copy = self.accelerators[target].copies.pop(key)
        self.plan.unloads.append(
            PlannedUnload(target=target, key=key, reason=reason)
        )
        self.free_mb[target] += copy.item.memory_mb
        if key in self.copies:
            self._change_copies(target, copy.item, key, added=False)

    def revive(self, target: TargetId, key: str) -> None:
        """Keep a draining copy after all."""
        copy = self.accelerators[target].copies[key]
        copy.draining = False
        self.plan.revived.append((target, key))
        self._change_copies(target, copy.item, key, added=True)

    def is_needed_by_adapters(self, target: TargetId, key: str) -> bool:
        """Whether adapters on the target use the model."""
        copy = self.accelerators[target].copies[key]
        return self.adapters.get((target, copy.item.name), 0) > 0

    def find_hosts(self, row: SheetRow) -> list[AcceleratorView]:
        """Return the accelerators that could take an item, idle first."""
        return sorted(
            self._list_hosts(row), key=lambda host: self.load[host.target]
        )

    def find_host_with_room(self, row: SheetRow) -> AcceleratorView | None:
        """Return the idlest accelerator with room for an item, if any."""
        free_mb = self.free_mb
        load = self.load
        best = None
        least = float("inf")
        for host in self._list_hosts(row):
            target = host.target
            if free_mb[target] >= row.memory_mb and load[target] < least:
                best = host
                least = load[target]
        return best

    def _list_hosts(self, row: SheetRow) -> list[AcceleratorView]:
        key = get_row_key(row)
        if row.kind is not ItemKind.ADAPTER:
            return [host for host in self.open if key not in host.copies]
        return [
            self.open_by_target[target]
            for target in sorted(self.base_copies.get(row.base, ()))
            if target in self.open_by_target
            and key not in self.open_by_target[target].copies
        ]

    def _note_copies(self, accelerator: AcceleratorView) -> None:
        for key, copy in accelerator.copies.items():
            if copy.draining:
                # Its room will be free; the ledger decides when.
                self.free_mb[accelerator.target] += copy.item.memory_mb
                self.draining.setdefault(key, []).append(accelerator.target)
                continue
            self._index(accelerator.target, copy.item, key, added=True)

    def _change_copies(
        self,
        target: TargetId,
        item: SheetRow | EngineItem,
        key: str,
        *,
        added: bool,
    ) -> None:
        self._spread_rate(key, self.copies.get(key, ()), -1)
        self._index(target, item, key, added=added)
        self._spread_rate(key, self.copies[key], 1)

    def _index(
        self,
        target: TargetId,
        item: SheetRow | EngineItem,
        key: str,
        *,
        added: bool,
    ) -> None:
        copies = self.copies.setdefault(key, set())
        (copies.add if added else copies.discard)(target)
        if item.kind is ItemKind.ADAPTER:
            place = (target, item.base)
            change = 1 if added else -1
            self.adapters[place] = self.adapters.get(place, 0) + change
        else:
            bases = self.base_copies.setdefault(item.name, set())
            (bases.add if added else bases.discard)(target)

    def _spread_rate(
        self, key: str, targets: Iterable[TargetId], sign: int
    ) -> None:
        targets = list(targets)
        rate = self.rate(key)
        if not targets or not rate:
            return
        for target in targets:
            self.load[target] += sign * rate / len(targets)
