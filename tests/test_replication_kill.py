"""kill -9 of real voter processes at random times, and restarts."""

import contextlib
from datetime import timedelta
import random
import subprocess
import sys

import anyio
import msgspec
import pytest

from dotterelbridge.clock import create_clock
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import PeerError
from dotterelbridge.replication.factory import create_replicated_log
from dotterelbridge.replication.settings import ReplicationSettings
from tests.peers_support import FAST_SETTINGS
from tests.peers_support import SECRET
from tests.peers_support import create_network
from tests.peers_support import create_vms
from tests.replication_node import InspectRequest
from tests.replication_node import NodeSettings

pytestmark = pytest.mark.anyio
TIMEOUT = timedelta(seconds=5)
WAIT_TIMEOUT_S = 60
ROUND_COUNT = 6
WRITER_COUNT = 8
SETTINGS = ReplicationSettings(
    heartbeat_ms=50,
    election_timeout_ms=250,
    snapshot_entries=300,
    tail_entries=50,
    join_interval_ms=100,
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class VoterProcesses:
    """The processes of the voters, and a client connected to them."""

    def __init__(self, folder) -> None:
        self.vms = create_vms(4)
        self.voters = [info.vm for info in self.vms[:3]]
        self.network = create_network(self.vms[3], self.vms, dial=self.voters)
        self.log = create_replicated_log(
            SETTINGS,
            self.network,
            None,
            create_clock(),
            self.voters,
            random.Random(1),
        )
        self._folder = folder
        self._processes: dict[str, subprocess.Popen] = {}

    def start(self, vm) -> None:
        settings = NodeSettings(
            vm=vm,
            vms=self.vms,
            voters=self.voters,
            folder=str(self._folder / vm),
            secret=SECRET,
            peers=FAST_SETTINGS,
            replication=SETTINGS,
        )
        argument = msgspec.json.encode(settings).decode()
        self._processes[vm] = subprocess.Popen(
            [sys.executable, "-m", "tests.replication_node", argument],
            stdout=subprocess.DEVNULL,
        )

    def kill(self, vm) -> None:
        process = self._processes.pop(vm)
        assert process.poll() is None, "the voter ended by itself"
        process.kill()
        process.wait()

    def kill_all(self) -> None:
        for vm in list(self._processes):
            self.kill(vm)

    async def inspect(self, vm):
        request = InspectRequest(with_commands=True)
        with contextlib.suppress(PeerError):
            return await self.network.request(vm, request, TIMEOUT)


async def _propose_commands(log, counter, outcomes, stop) -> None:
    while not stop.is_set():
        command = b"%d" % next(counter)
        try:
            await log.propose("history", command, TIMEOUT)
        except NotCommitted:
            outcomes[command] = "refused"
        except CommitUnknown:
            outcomes[command] = "unknown"
        else:
            outcomes[command] = "acknowledged"


async def _wait_for_acknowledgements(outcomes, count) -> None:
    """Wait until a number of further commands were acknowledged."""
    wanted = _count_outcomes(outcomes, "acknowledged") + count
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while _count_outcomes(outcomes, "acknowledged") < wanted:
            await anyio.sleep(0.002)


def _count_outcomes(outcomes, kind) -> int:
    return sum(outcome == kind for outcome in outcomes.values())


async def _wait_until_equal(processes) -> list[bytes]:
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while True:
            replies = [await processes.inspect(vm) for vm in processes.voters]
            if None not in replies:
                histories = {tuple(reply.commands) for reply in replies}
                indexes = {reply.dump["last_index"] for reply in replies}
                applied = {reply.dump["applied_index"] for reply in replies}
                if len(histories) == 1 and indexes == applied:
                    return replies[0].commands
            await anyio.sleep(0.05)


async def test_acknowledged_commands_survive_kills(tmp_path):
    processes = VoterProcesses(tmp_path)
    rng = random.Random(20261203)
    outcomes: dict[bytes, str] = {}
    stop = anyio.Event()
    for vm in processes.voters:
        processes.start(vm)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(processes.network.run)
            counter = iter(range(1_000_000))
            for _ in range(WRITER_COUNT):
                tasks.start_soon(
                    _propose_commands, processes.log, counter, outcomes, stop
                )
            for number in range(ROUND_COUNT):
                await _wait_for_acknowledgements(
                    outcomes, rng.randint(50, 400)
                )
                count = 3 if number == ROUND_COUNT // 2 else rng.randint(1, 2)
                killed = rng.sample(processes.voters, count)
                for vm in killed:
                    processes.kill(vm)
                for vm in killed:
                    processes.start(vm)
            await _wait_for_acknowledgements(outcomes, 50)
            stop.set()
            commands = await _wait_until_equal(processes)
            tasks.cancel_scope.cancel()
    finally:
        processes.kill_all()
    _check_outcomes(outcomes, commands)


def _check_outcomes(outcomes, commands) -> None:
    held = set(commands)
    assert len(held) == len(commands), "a command was committed twice"
    for command, outcome in outcomes.items():
        if outcome == "acknowledged":
            assert command in held
        if outcome == "refused":
            assert command not in held
