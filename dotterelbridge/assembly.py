"""Creates the components of one daemon and wires them together."""

from collections.abc import Awaitable
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
import random
from typing import Any

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.claims.homes import create_claim_router
from dotterelbridge.claims.replicated_service import create_claim_service
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.dump import DumpRegistry
from dotterelbridge.events import CoreEvent
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.logs import RecentEvents
from dotterelbridge.membership.platform import create_platform_list
from dotterelbridge.membership.service import create_membership
from dotterelbridge.membership.settings import MembershipSettings
from dotterelbridge.membership.view import MemberState
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.websocket_network import choose_peers_to_dial
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.permits.broadcaster import RateLimitBroadcaster
from dotterelbridge.permits.leader_channel import LeaderChannel
from dotterelbridge.permits.limiter import create_rate_limiter
from dotterelbridge.permits.service import PermitService
from dotterelbridge.placement.operators import create_placement_routes
from dotterelbridge.placement.service import create_placement
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.quarantine.guard import CrashGuard
from dotterelbridge.quarantine.keeper import QuarantineKeeper
from dotterelbridge.quarantine.leader_link import PeerLeaderLink
from dotterelbridge.quarantine.quarantine import (
    STATE_MACHINE_NAME as QUARANTINE_STATE_MACHINE,
)
from dotterelbridge.quarantine.quarantine import Quarantine
from dotterelbridge.quarantine.quarantine import QuarantineTable
from dotterelbridge.quarantine.service import QuarantineService
from dotterelbridge.quarantine.settings import QuarantineSettings
from dotterelbridge.replication.contact import LeaderContact
from dotterelbridge.replication.factory import create_replicated_log
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.routing.router import create_router
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.serving.callers import create_caller_app
from dotterelbridge.serving.listener import create_caller_listener
from dotterelbridge.serving.operator_listener import create_operator_listener
from dotterelbridge.serving.operators import create_operator_app
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.serving.teams import CallerTeams
from dotterelbridge.settings import PlatformSettings
from dotterelbridge.settings import Settings
from dotterelbridge.settings import read_secret_file
from dotterelbridge.sheet.operators import create_sheet_routes
from dotterelbridge.sheet.parser import KnownNames
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.store import create_sheet_store
from dotterelbridge.targets.engine import Engine
from dotterelbridge.targets.http_engine import create_engine
from dotterelbridge.targets.memory_account import create_memory_account
from dotterelbridge.targets.settings import TargetsSettings

RunFunction = Callable[[], Awaitable[None]]

_log = structlog.get_logger(__name__)

_LEADERSHIP_TRANSFER_TIMEOUT = timedelta(seconds=2)
"""How long a stopping leader of the replicated log waits for a successor."""

_PEER_FLUSH_TIMEOUT = timedelta(seconds=2)
"""How long a stopping daemon waits for its replies to other VMs to be sent."""


class Assembly:
    """The components of one daemon, in the order in which they start."""

    def __init__(
        self, settings: Settings, clock: Clock, recent_events: RecentEvents
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._dump_registry = DumpRegistry()
        self._run_functions: list[RunFunction] = []
        self._rng = random.SystemRandom()
        self._operator_token = read_secret_file(
            settings.daemon.operator_token_file
        )
        self._recent_events = recent_events
        self._create_network()
        self._create_replicated_log()
        self._create_sheet_store()
        self._create_claims()
        self._create_membership()
        self._create_permits()
        self._create_crash_guard()
        self._create_serving()
        self._create_placement()
        self._create_operator_listener()

    async def run_components(self) -> None:
        """Run all components until cancelled."""
        async with anyio.create_task_group() as group:
            for run in self._run_functions:
                group.start_soon(run)
            events.log(
                _log,
                CoreEvent.DAEMON_STARTED,
                vm=self._settings.daemon.vm,
                caller_port=self._caller_listener.port,
                operator_port=self._settings.daemon.operator_port,
            )

    async def drain(self) -> None:
        """Stop accepting work and return when no work is in flight.

        At the end transfer the leadership of the replicated log and flush
        the replies to other VMs.
        """
        await self._caller_listener.drain()
        await self._claims.drain()
        await self._operator_listener.drain()
        await self._replicated_log.transfer_leadership(
            _LEADERSHIP_TRANSFER_TIMEOUT
        )
        await self._network.wait_until_idle(_PEER_FLUSH_TIMEOUT)

    def describe_open_work(self) -> dict[str, int]:
        """Return the number of requests in flight."""
        return {"requests": self._caller_app.in_flight}

    def reload(self) -> None:
        """Do nothing: this daemon reads its settings only at start."""

    def write_dump(self) -> str | None:
        """Write a state dump; return its path, or None without a dump file."""
        path = self._settings.daemon.dump_file
        if path:
            self._dump_registry.write(path)
        return path

    def _add_component(self, name: str, component: Any) -> None:
        if isinstance(component, Dumpable):
            self._dump_registry.add(name, component)
        self._run_functions.append(component.run)

    def _create_network(self) -> None:
        settings = self._settings
        self._network = create_peer_network(
            settings.get_section(PeersSettings),
            settings.get_own_vm(),
            settings.list_vms(),
            self._clock,
            read_secret_file(settings.daemon.peer_secret_file),
            choose_peers_to_dial(
                settings.get_own_vm(),
                settings.list_vms(),
                settings.list_voters(),
            ),
        )
        self._add_component("peers", self._network)

    def _create_replicated_log(self) -> None:
        settings = self._settings
        folder = self._get_data_folder("log")
        storage = create_file_storage(folder) if folder else None
        self._replicated_log = create_replicated_log(
            settings.get_section(ReplicationSettings),
            self._network,
            storage,
            self._clock,
            settings.list_voters(),
            self._rng,
        )
        self._has_log_storage = storage is not None
        self._add_component("replication", self._replicated_log)

    def _create_claims(self) -> None:
        settings = self._settings
        claims = settings.get_section(ClaimsSettings)
        self._claims = create_claim_service(
            self._replicated_log,
            claims,
            self._clock,
            settings.daemon.vm,
            len(settings.list_vms()),
            self._has_log_storage,
        )
        if claims.home_keys:
            self._claims = create_claim_router(
                self._claims,
                claims,
                self._network,
                settings.get_own_vm(),
                settings.list_vms(),
                self._clock,
                self._rng,
            )
        self._add_component("claims", self._claims)

    def _create_sheet_store(self) -> None:
        settings = self._settings
        self._sheet_store = create_sheet_store(
            self._replicated_log if self._has_log_storage else None,
            self._network,
            settings.get_section(SheetSettings),
            self._clock,
            self._collect_known_names(),
            settings.list_vms(),
            settings.list_voters(),
            self._get_data_folder("sheet"),
        )
        self._add_component("sheet", self._sheet_store)

    def _create_membership(self) -> None:
        settings = self._settings
        own = settings.get_own_vm()
        self._engines = self._create_engines()
        url = settings.get_section(PlatformSettings).list_url
        self._membership = create_membership(
            settings.get_section(MembershipSettings),
            self._network,
            own,
            settings.list_vms(),
            settings.list_targets(),
            self._engines,
            create_platform_list(url or ""),
            self._clock,
            self._rng,
        )
        self._add_component("membership", self._membership)

    def _create_engines(self) -> dict[TargetId, Engine]:
        """Return the engines in this VM's failure domain."""
        own_domain = self._settings.get_own_vm().failure_domain
        targets = self._settings.get_section(TargetsSettings)
        return {
            info.target: create_engine(info, targets, self._clock)
            for info in self._settings.list_targets()
            if info.kind is TargetKind.ENGINE
            and info.failure_domain == own_domain
        }

    def _create_permits(self) -> None:
        settings = self._settings
        self._leader_contact = LeaderContact(
            self._network,
            self._replicated_log.get_leader,
            settings.list_voters(),
            self._rng,
        )
        self._permit_service = PermitService(
            self._network,
            self._clock,
            self._rng,
            self._get_led_term,
            self._replicated_log.get_leader,
            self._find_connected_share,
        )
        broadcaster = RateLimitBroadcaster(
            self._network,
            self._clock,
            self._get_led_term,
            self._replicated_log.get_leader,
        )
        channel = LeaderChannel(
            self._network,
            self._permit_service,
            broadcaster,
            self._leader_contact,
        )
        vm_count = len(settings.list_vms())
        self._limiter = create_rate_limiter(
            channel, lambda: vm_count, self._clock, self._rng
        )
        broadcaster.subscribe(self._limiter.apply_shared)
        self._run_functions += [self._permit_service.run, broadcaster.run]
        self._dump_registry.add("rate_limits", self._limiter)

    def _create_crash_guard(self) -> None:
        settings = self._settings.get_section(QuarantineSettings)
        table = QuarantineTable()
        quarantine = Quarantine(
            self._settings.daemon.vm, settings, self._clock
        )

        def apply(snapshot, watched) -> None:
            quarantine.activate(snapshot)
            self._crash_guard.set_watched(watched)

        service = QuarantineService(
            self._network,
            table,
            self._clock,
            self._get_led_term,
            self._replicated_log.get_leader,
            apply,
        )
        if self._has_log_storage:
            self._replicated_log.add_state_machine(
                QUARANTINE_STATE_MACHINE, table
            )
            service.keeper = QuarantineKeeper(
                self._replicated_log,
                table,
                settings,
                self._clock,
                self._rng,
                lambda: self._get_led_term() is not None,
                self._list_vm_ids,
                service.publish_watched,
                service.share_evidence,
            )
        link = PeerLeaderLink(
            self._network, service, self._leader_contact, self._clock
        )
        self._crash_guard = CrashGuard(quarantine, link, settings, self._clock)
        self._run_functions.append(service.run)
        self._dump_registry.add("quarantine", self._crash_guard)

    def _list_vm_ids(self) -> list[VmId]:
        return [vm.vm for vm in self._settings.list_vms()]

    def _get_led_term(self) -> Term | None:
        """Return the term that this VM leads, or None."""
        if not self._has_log_storage:
            return None
        if not self._replicated_log.has_leader_lease():
            return None
        return self._replicated_log.term

    def _find_connected_share(self, vm_count: int) -> float:
        """Return the part of all VMs that this VM is connected to."""
        peers = self._network.list_peers()
        connected = sum(self._network.is_connected(peer) for peer in peers)
        return (1 + connected) / max(1 + len(peers), vm_count)

    def _create_serving(self) -> None:
        settings = self._settings
        own = settings.get_own_vm()
        routing = settings.get_section(RoutingSettings)
        serving = settings.get_section(ServingSettings)
        self._router = create_router(
            self._membership,
            self._sheet_store,
            self._clock,
            routing,
            self._rng,
            settings.get_section(TargetsSettings),
            own.failure_domain,
            own.region,
            self._limiter,
            self._crash_guard,
        )
        self._add_component("routing", self._router)
        self._caller_app = create_caller_app(
            self._router,
            self._claims,
            self._clock,
            serving,
            routing,
            self._rng,
            CallerTeams(self._settings.get_teams()),
        )
        self._caller_app.add_readiness_condition(self._sheet_store.is_synced)
        self._caller_app.add_readiness_condition(self._is_not_leaving)
        self._dump_registry.add("serving", self._caller_app)
        self._memory_account = create_memory_account(serving.memory_limit_mb)
        self._router.buffer_budget.attach(self._memory_account)
        self._caller_listener = create_caller_listener(
            self._caller_app, serving, self._clock, self._memory_account
        )
        self._run_functions.append(self._caller_listener.run)

    def _is_not_leaving(self) -> bool:
        """Return whether this VM has not been asked to leave the cluster."""
        own = self._settings.daemon.vm
        return self._membership.get_vm_state(own) is not MemberState.LEAVING

    def _create_placement(self) -> None:
        settings = self._settings
        self._placement = create_placement(
            settings.get_section(PlacementSettings),
            self._network,
            settings.get_own_vm(),
            settings.list_vms(),
            self._membership,
            self._engines,
            self._sheet_store,
            self._router,
            self._clock,
            self._rng,
        )
        self._add_component("placement", self._placement)

    def _create_operator_listener(self) -> None:
        app = create_operator_app(
            self._operator_token,
            self._dump_registry,
            self._recent_events,
            self._summarize_status,
            [
                *create_sheet_routes(self._sheet_store),
                *create_placement_routes(self._placement, self._membership),
            ],
        )
        daemon = self._settings.daemon
        self._operator_listener = create_operator_listener(
            app,
            daemon.operator_address,
            daemon.operator_port,
            self._clock,
            self._memory_account,
        )
        self._run_functions.append(self._operator_listener.run)

    def _summarize_status(self) -> dict[str, Any]:
        sheet = self._sheet_store.get_active_sheet()
        own = self._settings.get_own_vm()
        states = [view.state.value for view in self._list_target_views()]
        return {
            "vm": own.vm,
            "failure_domain": own.failure_domain,
            "business": own.business,
            "sheet_number": sheet.number,
            "sheet_revision": sheet.revision,
            "requests_in_flight": self._caller_app.in_flight,
            "targets": {
                state: states.count(state) for state in sorted(set(states))
            },
        }

    def _list_target_views(self):
        return self._membership.get_targets().values()

    def _collect_known_names(self) -> KnownNames:
        domains = self._settings.get_failure_domains().values()
        targets = self._settings.list_targets()
        return KnownNames(
            businesses=frozenset(domain.business for domain in domains),
            regions=frozenset(domain.region for domain in domains),
            services=frozenset(t.service for t in targets if t.service),
        )

    def _get_data_folder(self, component: str) -> Path | None:
        folder = self._settings.daemon.data_folder
        return Path(folder) / component if folder else None


def create_assembly(
    settings: Settings, clock: Clock, recent_events: RecentEvents
) -> Assembly:
    """Return the components of the daemon that the settings describe."""
    return Assembly(settings, clock, recent_events)
