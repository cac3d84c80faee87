"""Creates the input of the placement policy."""

from collections.abc import Callable
from collections.abc import Iterable

from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemKind
from dotterelbridge.membership.service import Membership
from dotterelbridge.placement.demand_collection import DemandCollector
from dotterelbridge.placement.ledger import AcceleratorState
from dotterelbridge.placement.policy import AcceleratorView
from dotterelbridge.placement.policy import CopyView
from dotterelbridge.placement.policy import PlanInput
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.term_state import TermState
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.targets.engine import LoadState
from dotterelbridge.targets.engine import OrderAction


class PlanInputBuilder:
    """Combines the memory ledger, demand and other domains' ready items."""

    def __init__(
        self,
        settings: PlacementSettings,
        membership: Membership,
        demand_collector: DemandCollector,
        domain: FailureDomain,
        is_leaving: Callable[[AcceleratorState], bool],
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._demand_collector = demand_collector
        self._domain = domain
        self._is_leaving = is_leaving

    def create(
        self, term_state: TermState, sheet: SheetRevision, now: float
    ) -> PlanInput:
        """Return the state of the failure domain for the policy."""
        rates, waiting = self._demand_collector.sum_reports()
        return PlanInput(
            accelerators=[
                self._create_accelerator_view(term_state, accelerator, now)
                for accelerator in term_state.ledger.accelerators.values()
            ],
            rows=[
                row for row in sheet.rows if row.kind is not ItemKind.SERVICE
            ],
            rates=rates,
            waiting_counts=waiting,
            ready_elsewhere=self._list_ready_elsewhere(),
            domain_count=len(self._membership.list_domains()),
        )

    def _create_accelerator_view(
        self, term_state: TermState, accelerator: AcceleratorState, now: float
    ) -> AcceleratorView:
        target = accelerator.target
        age_s = now - accelerator.inventory_at
        copies = dict(self._create_copy_views(term_state, accelerator, now))
        free_mb = accelerator.free_mb
        for (queued_on, key), queued_load in term_state.queued_loads.items():
            if queued_on == target and key not in copies:
                copies[key] = CopyView(
                    item=queued_load.planned.item, ready=False
                )
                free_mb -= queued_load.planned.item.memory_mb
        return AcceleratorView(
            target=target,
            usable_mb=accelerator.memory_mb - accelerator.kv_mb,
            free_mb=free_mb,
            accepts_loads=(
                age_s <= self._settings.inventory_max_age_s
                and not accelerator.overfull
                and not term_state.ledger.is_blocked(accelerator, now)
            ),
            leaving=self._is_leaving(accelerator),
            copies=copies,
        )

    def _create_copy_views(
        self, term_state: TermState, accelerator: AcceleratorState, now: float
    ) -> Iterable[tuple[str, CopyView]]:
        target = accelerator.target
        for order in accelerator.iter_loads_in_transit():
            yield order.key, CopyView(item=order.order.item, ready=False)
        for key, copy in accelerator.copies.items():
            unloading = copy.state is LoadState.UNLOADING
            unload_sent = accelerator.has_pending(OrderAction.UNLOAD, key)
            yield (
                key,
                CopyView(
                    item=copy.item,
                    age_s=now - copy.first_seen_at,
                    running=copy.running,
                    ready=copy.state is LoadState.READY,
                    draining=unloading or (target, key) in term_state.drains,
                    unload_sent=unloading or unload_sent,
                ),
            )

    def _list_ready_elsewhere(self) -> frozenset[str]:
        """Return the items that callers can reach in other failure domains."""
        reachable_domains = {
            domain
            for domain in self._membership.list_domains()
            if domain != self._domain
            and self._membership.is_domain_reachable(domain)
        }
        ready: set[str] = set()
        for view in self._membership.get_targets().values():
            if (
                view.info.failure_domain in reachable_domains
                and view.takes_new_work
            ):
                ready |= view.ready_items
        return frozenset(ready)
