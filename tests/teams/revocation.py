"""A deployment whose keys are taken away while VMs and links fail."""

import contextlib
from datetime import timedelta
import random

import anyio

from dotterelbridge.errors import ReplicationError
from dotterelbridge.fleet.feed import FleetFeed
from dotterelbridge.fleet.feed import FleetFollower
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.routes.active_routes import create_active_routes
from dotterelbridge.routes.document import create_native_format
from dotterelbridge.routes.table import STATE_MACHINE_NAME
from dotterelbridge.routes.table import RouteTable
from dotterelbridge.routes.table import encode_command
from dotterelbridge.teams.confirmation import KeyConfirmation
from dotterelbridge.teams.model import Team
from dotterelbridge.teams.permission import KeyPermission
from dotterelbridge.teams.settings import TeamsSettings
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.fleet.support import create_quarantine
from tests.replication_support import Group
from tests.teams.support import pack_teams

REVOKE_MS = 5000
TEAMS_SETTINGS = TeamsSettings(key_lifetime_ms=REVOKE_MS)
FLEET_SETTINGS = FleetSettings(poll_grace_ms=30_000)
"""Polls do not time out, as responses that are long overdue are the ones
that must not renew a permission."""
ENTRY_VMS = ("client", "spare")
"""The VMs that the network of a Group has in addition to its members."""
SUBMIT_TIMEOUT = timedelta(seconds=2)


class Vm:
    """What a VM knows of the routes, and the permission to rely on it."""

    def __init__(self, deployment, name, list_sources, settings) -> None:
        self.clock = LoopClock()
        self.fleet_state = FleetState(self.clock)
        self.fleet_state.mark_complete()
        self.routes = create_active_routes(create_native_format())
        self.permission = KeyPermission(self.clock, settings)
        self.scope = anyio.CancelScope()
        self.follower = FleetFollower(
            deployment.network.join(name)
            if name in ENTRY_VMS
            else deployment.get_endpoint(name),
            self.fleet_state,
            self.routes,
            create_quarantine(name),
            FLEET_SETTINGS,
            self.clock,
            random.Random(1),
            list_sources,
            lambda: 1,
            self.permission,
        )

    async def run(self) -> None:
        with self.scope:
            await self.follower.run()

    def serves(self, key: str) -> bool:
        """Return whether a request with this key would run."""
        return (
            self.permission.is_valid()
            and self.routes.teams.find(key) is not None
        )


class Deployment(Group):
    """Control VMs that replicate the routes, and entry VMs behind them."""

    def __init__(self, tasks, size, seed=0) -> None:
        self._feeds: dict[str, FleetFeed] = {}
        self.controls: dict[str, Vm] = {}
        self.entries: dict[str, Vm] = {}
        self.version = 0
        super().__init__(tasks, size, seed)
        self._group_tasks = tasks

    def get_endpoint(self, vm):
        return self.network.find_endpoint(vm)

    def add_state_machines(self, vm, log) -> None:
        """Add the routes, the feed and the follower of a control VM."""
        if vm in self.controls:
            self.controls[vm].scope.cancel()

        def list_sources():
            leader = log.get_leader()
            return [] if leader in (None, vm) else [leader]

        node = Vm(self, vm, list_sources, TeamsSettings())
        table = RouteTable()
        table.subscribe(node.routes.activate)
        log.add_state_machine(STATE_MACHINE_NAME, table)
        confirmation = KeyConfirmation(log, node.permission, node.clock)
        self._feeds[vm] = FleetFeed(
            self.get_endpoint(vm),
            node.fleet_state,
            node.routes,
            create_quarantine(vm),
            FLEET_SETTINGS,
            node.clock,
            lambda: (
                0
                if log.has_leader_lease()
                else node.follower.contact.detached_ms()
            ),
            lambda: tuple(self.vms),
            confirmation.read_age_ms,
        )
        self.controls[vm] = node
        self._tasks.start_soon(node.run)

    def start_entry(self, name, source=None) -> Vm:
        """Start an entry VM, which knows nothing yet.

        :param source: the control VM that it prefers, if it matters.
        """
        if name in self.entries:
            self.entries[name].scope.cancel()
        offset = ENTRY_VMS.index(name)
        sources = [*self.vms[offset:], *self.vms[:offset]]
        sources.sort(key=lambda vm: vm != source)
        entry = Vm(self, name, lambda: sources, TEAMS_SETTINGS)
        self.entries[name] = entry
        self._tasks.start_soon(entry.run)
        return entry

    async def submit(self, keys) -> float:
        """Submit a version with these keys; return when it was acknowledged.

        Any control VM accepts it; operators try one after another.
        """
        self.version += 1
        teams = (Team(name="norte", keys=tuple(keys)),)
        command = encode_command(pack_teams(self.version, teams))
        while True:
            for vm in self.vms:
                if vm not in self.nodes:
                    continue
                with contextlib.suppress(ReplicationError):
                    await self.nodes[vm].log.propose(
                        STATE_MACHINE_NAME, command, SUBMIT_TIMEOUT
                    )
                    return anyio.current_time()
            await anyio.sleep(0.05)

    async def check_dead(self, key, acknowledged_at, until_s=12.0) -> None:
        """Check that a key stays dead at all VMs once its time is over."""
        await anyio.sleep_until(acknowledged_at + REVOKE_MS / 1000)
        end = anyio.current_time() + until_s
        while anyio.current_time() < end:
            serving = [n for n, vm in self.entries.items() if vm.serves(key)]
            assert serving == []
            await anyio.sleep(0.02)

    async def wait_served(self, key, vms=ENTRY_VMS) -> None:
        """Wait until these VMs serve a key."""
        await self.wait_until(
            lambda: all(self.entries[vm].serves(key) for vm in vms)
        )


def run_deployment_test(test, size=3, seed=0) -> None:
    """Run a test on a deployment that serves the key ``k1``."""

    async def main():
        async with anyio.create_task_group() as tasks:
            deployment = Deployment(tasks, size, seed)
            deployment.start_all()
            for name in ENTRY_VMS:
                deployment.start_entry(name)
            await deployment.submit(["k1"])
            await deployment.wait_served("k1")
            await test(deployment)
            await deployment.network.close()
            tasks.cancel_scope.cancel()
            assert deployment.network.handler_errors == []

    run_in_virtual_time(main)
