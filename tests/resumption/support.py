"""Entry and control VMs with their records of streams, in one process."""

from datetime import timedelta

import anyio

from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.ids import SoftwareVersion
from dotterelbridge.resumption.copies import ControlLink
from dotterelbridge.resumption.history import VersionHistory
from dotterelbridge.resumption.keeper import create_stream_keeper
from dotterelbridge.resumption.peer_recorder import create_stream_recorder
from dotterelbridge.resumption.recorder import StreamOrigin
from dotterelbridge.resumption.settings import ResumptionSettings
from standins.network import create_standin_network
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time
from tests.fleet.support import create_target
from tests.routes.support import LLM
from tests.routes.support import activate_route_set
from tests.routes.support import create_route_set

ROUTE = "quotes"
TEAM = "a"
TIMEOUT = timedelta(milliseconds=300)
HORIZON = timedelta(seconds=20)
KEEP = timedelta(seconds=15)
SETTLE_S = 0.2
"""Time in which records are sent and written."""
LINKS_KEPT = 3
READER = "c-e"
"""The control VM that reads the list for all others."""
V1 = StreamOrigin(LLM, SoftwareVersion("v1"))
V2 = StreamOrigin(LLM, SoftwareVersion("v2"))

CONTROLS = {f"c-{domain}": domain for domain in "abcde"}
ENTRIES = {f"e-{domain}{n}": domain for domain in "abcde" for n in range(2)}


async def run_in_loop(function, *arguments) -> None:
    """Run a write at once: threads make no progress in virtual time."""
    function(*arguments)


class Vm:
    """One process; killed with all that it holds in memory."""

    def __init__(self, deployment, name) -> None:
        self.network = deployment.network.join(name)
        self.fleet_state = FleetState(deployment.clock)
        self.is_current = True
        self.reads_list = name == READER
        self.scope = anyio.CancelScope()
        routes = activate_route_set(create_route_set())
        self.history = VersionHistory(
            self.fleet_state,
            routes,
            deployment.clock,
            lambda: self.is_current,
            lambda: self.reads_list,
        )
        self.serve(*deployment.versions)

    def serve(self, *versions) -> None:
        """Replace the targets, one of each version."""
        self.fleet_state.replace(
            [create_target(f"t-{v}", software=v) for v in versions], {}
        )
        self.fleet_state.mark_complete()


class Deployment:
    """A control VM in each of five domains, and two entry VMs."""

    def __init__(self, tasks, folder, versions=("v1", "v2")) -> None:
        self.versions = versions
        self.clock = LoopClock(offset_s=1000.0)
        self.network = create_standin_network((*CONTROLS, *ENTRIES))
        self.settings = ResumptionSettings()
        self.lost_links: set[tuple[str, str]] = set()
        self._tasks = tasks
        self._folder = folder
        self.vms: dict[str, Vm] = {}
        for name in (*CONTROLS, *ENTRIES):
            self.start(name)

    def start(self, *names) -> None:
        """Start VMs, with what earlier processes left on their disks."""
        for name in names:
            vm = self.vms[name] = Vm(self, name)
            if name in CONTROLS:
                part = create_stream_keeper(
                    vm.network,
                    self.settings,
                    vm.history,
                    lambda: CONTROLS,
                    self.clock,
                    self._folder / name,
                    run_in_loop,
                )
            else:
                vm.recorder = part = create_stream_recorder(
                    vm.network,
                    self.settings,
                    vm.history,
                    lambda name=name: self.list_links(name),
                    self.clock,
                )
            vm.part = part
            self._tasks.start_soon(self._run, vm)

    def kill(self, *names) -> None:
        for name in names:
            self.vms[name].scope.cancel()
            self.network.leave(name)

    def cut_off(self, domain) -> None:
        """Cut a domain off; links to it are given up at once."""
        inside = {n for n, d in (CONTROLS | ENTRIES).items() if d == domain}
        outside = {*CONTROLS, *ENTRIES} - inside
        self.network.isolate(inside)
        self.lost_links = {(a, b) for a in inside for b in outside}
        self.lost_links |= {(b, a) for a, b in self.lost_links}
        for name in inside:
            self.vms[name].is_current = False

    def reconnect(self) -> None:
        self.network.restore_links()
        self.lost_links.clear()
        for vm in self.vms.values():
            vm.is_current = True

    def list_links(self, entry) -> list[ControlLink]:
        """The own domain's control VM, and the next ones in turn."""
        names = sorted(CONTROLS)
        start = names.index(f"c-{ENTRIES[entry]}")
        linked = [
            name
            for name in names[start:] + names[:start]
            if self.network.has_joined(name)
            and (entry, name) not in self.lost_links
        ]
        return [ControlLink(n, CONTROLS[n]) for n in linked[:LINKS_KEPT]]

    def begin(self, entry, request_id, origin=V1, **fields) -> None:
        arguments = {"route": ROUTE, "team": TEAM, "keep": KEEP} | fields
        self.vms[entry].recorder.record_begun(request_id, origin, **arguments)

    async def find(self, entry, request_id, **fields) -> StreamOrigin | None:
        arguments = {
            "service_names": [LLM],
            "route": ROUTE,
            "team": TEAM,
            "horizon": HORIZON,
            "timeout": TIMEOUT,
        }
        return await self.vms[entry].recorder.find_origin(
            request_id, **(arguments | fields)
        )

    async def _run(self, vm) -> None:
        with vm.scope:
            await vm.part.run()


def run_deployment(check, folder, **fields) -> None:
    """Run a check against a deployment whose VMs have run for a while."""

    async def main():
        async with anyio.create_task_group() as tasks:
            deployment = Deployment(tasks, folder, **fields)
            await anyio.sleep(60)
            await check(deployment)
            assert deployment.network.handler_errors == []
            await deployment.network.close()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)
