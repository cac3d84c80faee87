"""Baseline policies that the demand policy is compared with."""

from dotterelbridge.ids import ItemKind
from dotterelbridge.placement.policy import AcceleratorView
from dotterelbridge.placement.policy import PlacementPolicy
from dotterelbridge.placement.policy import Plan
from dotterelbridge.placement.policy import PlanDraft
from dotterelbridge.placement.policy import PlanInput
from dotterelbridge.placement.policy import get_row_key
from dotterelbridge.sheet.rows import SheetRow

SORT_KEY = (0,)


class StaticPolicy(PlacementPolicy):
    """Spreads copies evenly until memory is full and ignores demand."""

    def plan(self, plan_input: PlanInput) -> Plan:
        draft = PlanDraft(plan_input)
        _unload_off_sheet(draft)
        rows = sorted(
            plan_input.rows,
            key=lambda row: (row.kind is ItemKind.ADAPTER, row.name),
        )
        for copies in range(1, len(draft.available) + 1):
            for row in rows:
                if (
                    len(draft.targets_by_key.get(get_row_key(row), ()))
                    < copies
                ):
                    _load_on_freest_host(draft, row)
        _report_unreachable(draft)
        return draft.plan


class LruPolicy(PlacementPolicy):
    """Loads items that requests wait for; evicts the least used copies."""

    def plan(self, plan_input: PlanInput) -> Plan:
        draft = PlanDraft(plan_input)
        _unload_off_sheet(draft)
        wanted = sorted(
            (
                row
                for row in plan_input.rows
                if plan_input.waiting_counts.get(row.name)
            ),
            key=lambda row: (row.kind is ItemKind.ADAPTER, row.name),
        )
        for row in wanted:
            if draft.targets_by_key.get(get_row_key(row)):
                continue
            if not _load_on_freest_host(draft, row):
                self._evict_and_load(draft, row)
        _report_unreachable(draft)
        return draft.plan

    def _evict_and_load(self, draft: PlanDraft, row: SheetRow) -> None:
        for host in draft.find_hosts(row):
            victims = self._choose_victims(draft, host, row)
            if victims is None:
                continue
            for key in victims:
                draft.add_unload(host.target, key, "least recently used")
            draft.add_load(host, row, "requests wait", SORT_KEY)
            return

    def _choose_victims(
        self, draft: PlanDraft, host: AcceleratorView, row: SheetRow
    ) -> list[str] | None:
        candidates = sorted(
            (
                key
                for key, copy in host.copies.items()
                if copy.ready
                and not copy.draining
                and copy.item.name != row.base
                and not draft.is_needed_by_adapters(host.target, key)
            ),
            key=lambda key: (draft.get_rate(key), key),
        )
        free_mb = draft.free_mb[host.target]
        victims = []
        for key in candidates:
            if free_mb >= row.memory_mb:
                break
            victims.append(key)
            free_mb += host.copies[key].item.memory_mb
        return victims if free_mb >= row.memory_mb else None


def _unload_off_sheet(draft: PlanDraft) -> None:
    for accelerator in draft.plan_input.accelerators:
        for key, copy in list(accelerator.copies.items()):
            if key not in draft.rows_by_key and not copy.draining:
                draft.add_unload(accelerator.target, key, "not on the sheet")


def _load_on_freest_host(draft: PlanDraft, row: SheetRow) -> bool:
    key = get_row_key(row)
    hosts = [a for a in draft.find_hosts(row) if key not in a.copies]
    hosts.sort(key=lambda a: -draft.free_mb[a.target])
    for host in hosts:
        if draft.free_mb[host.target] >= row.memory_mb:
            draft.add_load(
                host, row, "free memory on the accelerator", SORT_KEY
            )
            return True
    return False


def _report_unreachable(draft: PlanDraft) -> None:
    for row in draft.plan_input.rows:
        key = get_row_key(row)
        if (
            draft.targets_by_key.get(key)
            or key in draft.plan_input.ready_elsewhere
        ):
            continue
        draft.plan.unreachable[row.name] = (
            "no copy, and either no free memory or no demand"
        )
