"""Describes a failure domain's engines and demand to the policy."""

from collections.abc import Callable
from collections.abc import Iterable

from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemKind
from dotterelbridge.membership.service import Membership
from dotterelbridge.placement.demand_collection import DemandGatherer
from dotterelbridge.placement.ledger import Account
from dotterelbridge.placement.policy import AcceleratorView
from dotterelbridge.placement.policy import CopyView
from dotterelbridge.placement.policy import PlanInput
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.placement.term_state import Holding
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.targets.engine import LoadState
from dotterelbridge.targets.engine import OrderAction


class PlanInputBuilder:
    """Joins the ledger, the demand and the other domains' copies."""

    def __init__(
        self,
        settings: PlacementSettings,
        membership: Membership,
        gatherer: DemandGatherer,
        domain: FailureDomain,
        is_leaving: Callable[[Account], bool],
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._gatherer = gatherer
        self._domain = domain
        self._is_leaving = is_leaving

    def create(
        self, holding: Holding, sheet: SheetRevision, now: float
    ) -> PlanInput:
        """Return the state of the failure domain for the policy."""
        rates, waiting = self._gatherer.total()
        return PlanInput(
            accelerators=[
                self._view_account(holding, account, now)
                for account in holding.ledger.accounts.values()
            ],
            rows=[
                row for row in sheet.rows if row.kind is not ItemKind.SERVICE
            ],
            rates=rates,
            waiting=waiting,
            elsewhere=self._list_elsewhere(),
            domain_count=len(self._membership.domains()),
        )

    def _view_account(
        self, holding: Holding, account: Account, now: float
    ) -> AcceleratorView:
        target = account.target
        age_s = now - account.inventory_at
        copies = dict(self._view_copies(holding, account, now))
        free_mb = account.free_mb
        for (place, key), intent in holding.intents.items():
            if place == target and key not in copies:
                copies[key] = CopyView(item=intent.load.item, ready=False)
                free_mb -= intent.load.item.memory_mb
        return AcceleratorView(
            target=target,
            usable_mb=account.memory_mb - account.kv_mb,
            free_mb=free_mb,
            accepts_loads=(
                age_s <= self._settings.inventory_max_age_s
                and not account.overfull
                and not holding.ledger.is_blocked(account, now)
            ),
            leaving=self._is_leaving(account),
            copies=copies,
        )

    def _view_copies(
        self, holding: Holding, account: Account, now: float
    ) -> Iterable[tuple[str, CopyView]]:
        target = account.target
        for order in account.loads_in_transit():
            yield order.key, CopyView(item=order.order.item, ready=False)
        for key, copy in account.copies.items():
            unloading = copy.state is LoadState.UNLOADING
            unload_sent = account.has_pending(OrderAction.UNLOAD, key)
            yield (
                key,
                CopyView(
                    item=copy.item,
                    age_s=now - copy.since,
                    running=copy.running,
                    ready=copy.state is LoadState.READY,
                    draining=unloading or (target, key) in holding.drains,
                    unload_sent=unloading or unload_sent,
                ),
            )

    def _list_elsewhere(self) -> frozenset[str]:
        """Return what callers here can reach in other failure domains."""
        heard = {
            domain
            for domain in self._membership.domains()
            if domain != self._domain
            and self._membership.is_domain_heard(domain)
        }
        ready: set[str] = set()
        for view in self._membership.targets().values():
            if view.info.failure_domain in heard and view.takes_new_work:
                ready |= view.ready_items
        return frozenset(ready)
