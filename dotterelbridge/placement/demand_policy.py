"""The placement policy that follows demand.

First every item of the sheet gets its minimum number of copies. Then items
in demand get extra copies where the gain exceeds the cost of the moves.
Copies are evicted only where their memory is needed, those with the least
demand first, because their prefix caches are worth least.
"""

from dotterelbridge.ids import ItemKind
from dotterelbridge.placement.policy import PRIORITY_RANKS
from dotterelbridge.placement.policy import AcceleratorView
from dotterelbridge.placement.policy import PlacementPolicy
from dotterelbridge.placement.policy import Plan
from dotterelbridge.placement.policy import PlanDraft
from dotterelbridge.placement.policy import PlanInput
from dotterelbridge.placement.policy import get_row_key
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.sheet.rows import SheetRow

MOVE_COST_SHARE = 0.1
"""Cost of one move with ``move_weight`` 1, as a share of the mean demand per
accelerator."""

MAX_EXTRA_COPIES_PER_PLAN = 8
"""The next plan takes the effect of these copies into account."""

MAX_LOADS_PER_PLAN = 256
"""More would gain nothing: the weight store is far slower than that."""

EVICTION_RATE_FACTOR = 2.0
"""An item replaces another item's only copy in the domain when its demand
is more than this many times higher."""


class DemandPolicy(PlacementPolicy):
    """Covers every item first, then adds copies by smoothed demand."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings

    def plan(self, plan_input: PlanInput) -> Plan:
        draft = PlanDraft(plan_input)
        self._unload_unwanted(draft)
        self._add_missing_copies(draft)
        self._add_extra_copies(draft)
        return draft.plan

    # Copies that are not on the sheet.

    def _unload_unwanted(self, draft: PlanDraft) -> None:
        ready_names = self._find_ready_names(draft)
        names_on_sheet = {row.name for row in draft.plan_input.rows}
        for accelerator in draft.plan_input.accelerators:
            if accelerator.leaving:
                continue
            for key, copy in list(accelerator.copies.items()):
                if key in draft.rows_by_key or copy.draining:
                    continue
                name = copy.item.name
                is_replaced = name not in names_on_sheet or name in ready_names
                if is_replaced and not self._is_base_in_use(
                    draft, accelerator, key
                ):
                    draft.add_unload(
                        accelerator.target, key, "not on the sheet"
                    )

    def _find_ready_names(self, draft: PlanDraft) -> set:
        """Return the names whose version on the sheet is ready here."""
        return {
            copy.item.name
            for accelerator in draft.plan_input.accelerators
            for key, copy in accelerator.copies.items()
            if key in draft.rows_by_key and copy.ready and not copy.draining
        }

    def _is_base_in_use(
        self, draft: PlanDraft, accelerator: AcceleratorView, key: str
    ) -> bool:
        """Whether adapters on the accelerator need this version of a base."""
        if not draft.is_needed_by_adapters(accelerator.target, key):
            return False
        name = accelerator.copies[key].item.name
        return not any(
            other != key and copy.item.name == name and copy.ready
            for other, copy in accelerator.copies.items()
        )

    # Minimum number of copies of each item.

    def _add_missing_copies(self, draft: PlanDraft) -> None:
        for row in self._list_missing_rows(draft):
            if len(draft.plan.loads) >= MAX_LOADS_PER_PLAN:
                return
            if self._cancel_drain(draft, row) or self._load_missing_row(
                draft, row
            ):
                continue
            self._report_missing_row(draft, row)

    def _list_missing_rows(self, draft: PlanDraft) -> list[SheetRow]:
        missing = [
            row
            for row in draft.plan_input.rows
            if len(draft.targets_by_key.get(get_row_key(row), ()))
            < self._compute_min_copies(draft, row)
        ]
        return sorted(
            missing, key=lambda row: self._get_coverage_rank(draft, row)
        )

    def _compute_min_copies(self, draft: PlanDraft, row: SheetRow) -> int:
        count = max(1, draft.plan_input.domain_count)
        copies_per_domain = -(-row.min_copies // count)
        return min(max(1, copies_per_domain), max(1, len(draft.available)))

    def _get_coverage_rank(self, draft: PlanDraft, row: SheetRow) -> tuple:
        """Return a sort key that puts items without any copy first."""
        key = get_row_key(row)
        covered = (
            bool(draft.targets_by_key.get(key))
            or key in draft.plan_input.ready_elsewhere
        )
        return (
            covered,
            row.kind is ItemKind.ADAPTER,
            PRIORITY_RANKS[row.priority],
            -draft.plan_input.waiting_counts.get(row.name, 0),
            -draft.plan_input.rates.get(row.name, 0.0),
            -row.memory_mb,
            row.name,
        )

    def _cancel_drain(self, draft: PlanDraft, row: SheetRow) -> bool:
        key = get_row_key(row)
        for target in draft.draining_targets.get(key, ()):
            accelerator = draft.accelerators[target]
            copy = accelerator.copies[key]
            if copy.unload_sent or target not in draft.available_by_target:
                continue
            if draft.free_mb[target] >= copy.item.memory_mb:
                draft.free_mb[target] -= copy.item.memory_mb
                draft.draining_targets[key].remove(target)
                draft.cancel_drain(target, key)
                return True
        return False

    def _load_missing_row(self, draft: PlanDraft, row: SheetRow) -> bool:
        sort_key = (0, *self._get_coverage_rank(draft, row))
        host_with_room = draft.find_host_with_room(row)
        if host_with_room is not None:
            draft.add_load(
                host_with_room, row, "no copy in the domain", sort_key
            )
            return True
        hosts = draft.find_hosts(row)
        for host in hosts:
            victims = self._find_surplus_copies(draft, host, row)
            if victims is not None:
                self._replace_copies(draft, host, row, victims, sort_key)
                return True
        if row.kind is ItemKind.ADAPTER:
            return self._load_with_base(draft, row, sort_key)
        return self._evict_by_demand(draft, row, hosts, sort_key)

    def _replace_copies(
        self,
        draft: PlanDraft,
        host: AcceleratorView,
        row: SheetRow,
        victims: list[str],
        sort_key: tuple,
    ) -> None:
        for key in victims:
            draft.add_unload(host.target, key, f"room for {row.name}")
        draft.add_load(host, row, "no copy in the domain", sort_key)

    def _load_with_base(
        self, draft: PlanDraft, row: SheetRow, sort_key: tuple
    ) -> bool:
        """Load another copy of the base where the adapter fits too."""
        base = next(
            (r for r in draft.plan_input.rows if r.name == row.base), None
        )
        if base is None:
            return False
        needed_mb = base.memory_mb + row.memory_mb
        for host in draft.find_hosts(base):
            if draft.free_mb[host.target] >= needed_mb:
                draft.add_load(host, base, f"base of {row.name}", sort_key)
                draft.add_load(host, row, "no copy in the domain", sort_key)
                return True
        return False

    def _evict_by_demand(
        self,
        draft: PlanDraft,
        row: SheetRow,
        hosts: list[AcceleratorView],
        sort_key: tuple,
    ) -> bool:
        """Evict an item that other domains serve, or one in less demand.

        An item that no domain serves may also replace an item with little
        demand that no other domain serves. Where the sheet does not fit, as
        in a failure domain that is cut off by a network partition, the
        memory thus goes to the items that callers request.
        """
        key = get_row_key(row)
        rate = draft.get_rate(key)
        if key in draft.plan_input.ready_elsewhere:
            rate_against_ready_elsewhere = rate
            rate_against_only_here = 0.0
        else:
            rate_against_ready_elsewhere = float("inf")
            rate_against_only_here = rate
        return self._evict_least_demanded(
            draft, row, hosts, sort_key, True, rate_against_ready_elsewhere
        ) or self._evict_least_demanded(
            draft, row, hosts, sort_key, False, rate_against_only_here
        )

    def _evict_least_demanded(
        self,
        draft: PlanDraft,
        row: SheetRow,
        hosts: list[AcceleratorView],
        sort_key: tuple,
        victim_ready_elsewhere: bool,
        row_rate: float,
    ) -> bool:
        """Replace one item that is, or is not, ready in other domains."""
        for host in hosts:
            victim = self._find_least_demanded(
                draft, host, row, victim_ready_elsewhere, row_rate
            )
            if victim is not None:
                self._replace_copies(draft, host, row, [victim], sort_key)
                return True
        return False

    def _find_least_demanded(
        self,
        draft: PlanDraft,
        host: AcceleratorView,
        row: SheetRow,
        victim_ready_elsewhere: bool,
        row_rate: float,
    ) -> str | None:
        candidates = [
            (draft.get_rate(key), key)
            for key, copy in host.copies.items()
            if (key in draft.plan_input.ready_elsewhere)
            is victim_ready_elsewhere
            and (victim_ready_elsewhere or key in draft.rows_by_key)
            and self._is_evictable(draft, host, key)
            and draft.free_mb[host.target] + copy.item.memory_mb
            >= row.memory_mb
        ]
        if not candidates:
            return None
        rate, key = min(candidates)
        return key if row_rate > EVICTION_RATE_FACTOR * rate else None

    def _report_missing_row(self, draft: PlanDraft, row: SheetRow) -> None:
        key = get_row_key(row)
        if draft.targets_by_key.get(key):
            return
        reason = self._explain_missing_row(draft, row)
        if key in draft.plan_input.ready_elsewhere:
            draft.plan.absent[row.name] = reason
        else:
            draft.plan.unreachable[row.name] = reason

    def _explain_missing_row(self, draft: PlanDraft, row: SheetRow) -> str:
        if not draft.available:
            return "no accelerator of the domain takes loads"
        if row.kind is ItemKind.ADAPTER and not draft.targets_by_base.get(
            row.base
        ):
            return f"its base model {row.base} has no copy in this domain"
        largest_mb = max(draft.free_mb[a.target] for a in draft.available)
        return (
            f"needs {row.memory_mb} MB; the most free memory on one "
            f"accelerator is {largest_mb} MB"
        )

    # Extra copies for items in demand.

    def _add_extra_copies(self, draft: PlanDraft) -> None:
        total = sum(draft.rate_by_target[a.target] for a in draft.available)
        if not draft.available or total <= 0:
            return
        mean_rate = total / len(draft.available)
        gain_shares = [
            (self._estimate_gain_share(draft, row, mean_rate), row)
            for row in draft.plan_input.rows
            if self._needs_extra_copy(draft, row)
        ]
        ranked = sorted(
            (
                (gain_share, row)
                for gain_share, row in gain_shares
                if gain_share > 0
            ),
            key=lambda pair: (-pair[0], pair[1].name),
        )
        for _, row in ranked[:MAX_EXTRA_COPIES_PER_PLAN]:
            self._add_extra_copy(draft, row, mean_rate)

    def _needs_extra_copy(self, draft: PlanDraft, row: SheetRow) -> bool:
        key = get_row_key(row)
        copies = draft.targets_by_key.get(key)
        if not copies or len(copies) >= len(draft.available):
            return False
        return draft.get_rate_per_copy(key) >= self._settings.copy_rate_per_s

    def _estimate_gain_share(
        self, draft: PlanDraft, row: SheetRow, mean_rate: float
    ) -> float:
        """Return the gain of another copy, as a share of the mean demand.

        Each copy would pass some demand on to the new one. An item whose
        demand per copy exceeds ``copy_load_share`` gains this much; any
        item gains as much of it as relieves accelerators whose demand is
        above the mean.
        """
        copies = draft.targets_by_key[get_row_key(row)]
        per_copy = draft.get_rate_per_copy(get_row_key(row))
        shifted = per_copy / (len(copies) + 1)
        relief = sum(
            min(shifted, max(0.0, draft.rate_by_target[target] - mean_rate))
            for target in copies
        )
        limit = mean_rate * self._settings.copy_load_share
        limit_gain = shifted if per_copy > limit else 0.0
        return max(relief, limit_gain) / mean_rate

    def _add_extra_copy(
        self, draft: PlanDraft, row: SheetRow, mean_rate: float
    ) -> bool:
        key = get_row_key(row)
        count = len(draft.targets_by_key[key])
        rate = draft.get_rate(key)
        gain_share = self._estimate_gain_share(draft, row, mean_rate)
        value = self._settings.attainment_weight * gain_share
        for host in draft.find_hosts(row):
            victims = self._choose_victims(draft, host, row)
            if victims is None:
                continue
            excess_rate = (
                draft.rate_by_target[host.target]
                + rate / (count + 1)
                - mean_rate
            )
            if max(0.0, excess_rate) / mean_rate >= gain_share:
                continue  # The overload would only move to this host.
            moves = 1 + len(victims)
            cost = self._settings.move_weight * MOVE_COST_SHARE * moves
            lost_share = (
                sum(self._estimate_loss(draft, v) for v in victims) / mean_rate
            )
            if value <= cost + self._settings.attainment_weight * lost_share:
                continue
            for victim in victims:
                draft.add_unload(host.target, victim, f"room for {row.name}")
            draft.add_load(
                host,
                row,
                f"demand of {rate / count:.1f} requests/s per copy",
                (1, PRIORITY_RANKS[row.priority], -gain_share),
            )
            return True
        return False

    def _choose_victims(
        self, draft: PlanDraft, host: AcceleratorView, row: SheetRow
    ) -> list[str] | None:
        if draft.free_mb[host.target] >= row.memory_mb:
            return []
        return self._find_surplus_copies(draft, host, row)

    def _estimate_loss(self, draft: PlanDraft, key: str) -> float:
        """Return the demand that each other copy would have to take over."""
        count = len(draft.targets_by_key.get(key, ()))
        if count < 2:
            return draft.get_rate(key)
        return draft.get_rate(key) / (count - 1) - draft.get_rate(key) / count

    def _find_surplus_copies(
        self, draft: PlanDraft, host: AcceleratorView, row: SheetRow
    ) -> list[str] | None:
        """Return surplus copies to evict on the host, or None if too few."""
        candidates = sorted(
            (
                key
                for key in host.copies
                if self._is_surplus_copy(draft, host, key, row)
                and host.copies[key].item.name != row.base
            ),
            key=lambda key: (
                draft.get_rate_per_copy(key),
                -host.copies[key].item.memory_mb,
                key,
            ),
        )
        free_mb = draft.free_mb[host.target]
        victims = []
        for key in candidates:
            if free_mb >= row.memory_mb:
                break
            victims.append(key)
            free_mb += host.copies[key].item.memory_mb
        return victims if free_mb >= row.memory_mb else None

    def _is_surplus_copy(
        self,
        draft: PlanDraft,
        host: AcceleratorView,
        key: str,
        wanted: SheetRow,
    ) -> bool:
        """Whether a copy may be evicted for the wanted item."""
        if not self._is_evictable(draft, host, key):
            return False
        row = draft.rows_by_key.get(key)
        if row is None:
            # An old version is evicted only for its new version.
            return host.copies[key].item.name == wanted.name
        ready = sum(
            draft.accelerators[t].copies[key].ready
            for t in draft.targets_by_key.get(key, ())
            if t != host.target
        )
        return ready >= self._compute_min_copies(draft, row)

    def _is_evictable(
        self, draft: PlanDraft, host: AcceleratorView, key: str
    ) -> bool:
        copy = host.copies[key]
        return (
            copy.ready
            and not copy.draining
            and copy.age_s >= self._settings.minimum_residence_s
            and not draft.is_needed_by_adapters(host.target, key)
        )
