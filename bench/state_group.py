"""Starts and stops the processes of bench.state_node."""

from collections.abc import Iterator
import contextlib
from datetime import timedelta
import json
import logging
import os
from pathlib import Path
import signal
import subprocess
import sys

import anyio
import msgspec
import structlog

from bench.state_node import Inspection
from bench.state_node import InspectRequest
from bench.state_node import NodeSettings
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.clock import create_clock
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import Region
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.sheet.settings import SheetSettings
from standins.ports import find_free_ports

SECRET = b"bench"
INSPECT_TIMEOUT = timedelta(seconds=2)
BENCH_DOMAIN = FailureDomain("bench")


class StateGroup:
    """Processes of a group, and a VM in this process that asks them."""

    def __init__(
        self,
        domains: dict[str, int],
        voters: list[str],
        folder: Path,
        claims: ClaimsSettings | None = None,
        sheet: SheetSettings | None = None,
    ) -> None:
        names = [
            (f"{domain}-{number:02}", domain)
            for domain, count in domains.items()
            for number in range(count)
        ]
        self.vms = list(_create_vms([*names, ("bench-0", BENCH_DOMAIN)]))
        self.names = [VmId(name) for name, _ in names]
        self.voters = [VmId(name) for name in voters]
        self.network = create_peer_network(
            PeersSettings(),
            self.vms[-1],
            self.vms,
            create_clock(),
            SECRET,
            self.names,
        )
        self._folder = folder
        self._claims = claims or ClaimsSettings()
        self._sheet = sheet or SheetSettings()
        self._processes: dict[VmId, subprocess.Popen] = {}

    def start(self, *names: str) -> None:
        """Start the named VMs; all without a name."""
        for name in names or self.names:
            settings = NodeSettings(
                vm=VmId(name),
                vms=self.vms,
                voters=self.voters,
                folder=str(self._folder / name),
                secret=SECRET,
                claims=self._claims,
                sheet=self._sheet,
            )
            argument = msgspec.json.encode(settings).decode()
            self._processes[VmId(name)] = subprocess.Popen(
                [sys.executable, "-m", "bench.state_node", argument]
            )

    def stop(self, name: str) -> None:
        """End one VM's process without warning."""
        process = self._processes.pop(VmId(name))
        process.kill()
        process.wait()

    def stop_all(self) -> None:
        """End all processes."""
        for name in list(self._processes):
            self.stop(name)

    def freeze(self, name: str) -> None:
        """Stop a process as SIGSTOP does; it can't be undone here."""
        os.kill(self._processes[VmId(name)].pid, signal.SIGSTOP)

    async def inspect(self) -> dict[VmId, Inspection]:
        """Return the state of the processes that answer."""
        replies: dict[VmId, Inspection] = {}

        async def ask(vm: VmId) -> None:
            with contextlib.suppress(PeerError):
                replies[vm] = await self.network.request(
                    vm, InspectRequest(), INSPECT_TIMEOUT
                )

        async with anyio.create_task_group() as group:
            for vm in self._processes:
                group.start_soon(ask, vm)
        return replies

    async def wait_ready(self) -> VmId:
        """Wait until all voters agree on a leader; return it."""
        while True:
            replies = await self.inspect()
            leaders = {
                replies[vm].log["leader"]
                for vm in self.voters
                if vm in replies
            }
            complete = len(replies) == len(self._processes)
            if complete and len(leaders) == 1 and None not in leaders:
                return leaders.pop()
            await anyio.sleep(0.1)


def _create_vms(names: list[tuple[str, str]]) -> Iterator[VmInfo]:
    ports = find_free_ports(len(names))
    for (name, domain), port in zip(names, ports, strict=True):
        yield VmInfo(
            vm=VmId(name),
            business=Business("liffeyside"),
            failure_domain=FailureDomain(domain),
            region=Region(domain),
            host="127.0.0.1",
            port=port,
        )


def silence_logs() -> None:
    """Write errors only, so that results stand alone."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )


def print_result(name: str, **fields: object) -> None:
    """Print one measurement as a JSON line."""
    print(json.dumps({"measurement": name, **fields}), flush=True)


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile of the values; 0 without any."""
    if not values:
        return 0.0
    ordered = sorted(values)
    at = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[at]
