"""What the tests of the replicated log share: a group in virtual time."""

import contextlib
from datetime import timedelta
import random

import anyio
import msgspec

from dotterelbridge import invariants
from dotterelbridge.errors import ReplicationError
from dotterelbridge.replication.factory import create_replicated_log
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.storage import create_memory_storage
from standins.network import create_standin_network
from standins.virtual_time import LoopClock

TIMEOUT = timedelta(seconds=5)
PATIENCE_S = 60
SETTINGS = ReplicationSettings(snapshot_entries=1_000_000)


class HistoryMachine(StateMachine):
    """Keeps every command; its result is the command's position.

    :param committed: by index, what any member of the group ever applied.
    """

    def __init__(self, committed: dict[int, bytes]) -> None:
        self.commands: list[bytes] = []
        self._committed = committed

    def apply(self, index: int, command: bytes) -> bytes:
        invariants.check(
            self._committed.setdefault(index, command) == command,
            "committed_entries_never_change",
            index=index,
        )
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.commands)

    def restore_snapshot(self, snapshot: bytes) -> None:
        self.commands = msgspec.msgpack.decode(snapshot, type=list[bytes])


class Node:
    """One life of a VM's process."""

    def __init__(self, log, machine, scope) -> None:
        self.log = log
        self.machine = machine
        self.scope = scope


class Group:
    """VMs that run a replicated log over the stand-in network."""

    def __init__(self, tasks, size, seed=0, settings=SETTINGS) -> None:
        self.vms = [f"v{number}" for number in range(size)]
        self.network = create_standin_network(
            [*self.vms, "client", "spare"], seed
        )
        self.settings = settings
        self.random = random.Random(seed)
        self.storages = {}
        self.nodes: dict[str, Node] = {}
        self.committed: dict[int, bytes] = {}
        self.lives = 0
        self._tasks = tasks

    def start(self, vm, clock=None) -> Node:
        """Start a VM on what its storage holds."""
        if vm not in self.storages:
            self.lives += 1
            member = f"{vm}-life{self.lives}"
            self.storages[vm] = create_memory_storage(member)
        return self._run(vm, self.storages[vm], clock)

    def start_client(self) -> Node:
        """Start a VM without storage."""
        return self._run("client", None, None)

    def start_all(self) -> None:
        for vm in self.vms:
            self.start(vm)

    def kill(self, vm) -> None:
        """End a VM's process; its storage stays."""
        self.network.leave(vm)
        node = self.nodes.pop(vm, None)
        if node:
            node.scope.cancel()

    def wipe(self, vm) -> None:
        """End a VM's process and lose its storage."""
        self.kill(vm)
        self.storages.pop(vm, None)

    def find_leader(self) -> str | None:
        """Return the VM that leads with a lease."""
        leaders = [vm for vm, node in self.nodes.items() if _has_lease(node)]
        assert len(leaders) <= 1, leaders
        return leaders[0] if leaders else None

    async def wait_leader(self) -> str:
        await self.wait_until(self.find_leader)
        return self.find_leader()

    async def wait_until(self, condition) -> None:
        with anyio.fail_after(PATIENCE_S):
            while not condition():
                await anyio.sleep(0.01)

    async def propose(self, vm, command, timeout=TIMEOUT) -> bytes:
        return await self.nodes[vm].log.propose("history", command, timeout)

    async def propose_until_committed(self, vm, command) -> None:
        """Propose again and again; the command may be applied twice."""
        with anyio.fail_after(PATIENCE_S):
            while True:
                with contextlib.suppress(ReplicationError):
                    await self.propose(vm, command)
                    return
                await anyio.sleep(0.05)

    async def wait_equal(self) -> list[bytes]:
        """Wait until all members that run hold the same, and return it."""

        def list_members():
            return [n for vm, n in self.nodes.items() if vm != "client"]

        def equal():
            states = {
                (n.log.applied_index, tuple(n.machine.commands))
                for n in list_members()
            }
            lags = {
                n.log.applied_index < n.log.dump()["last_index"]
                for n in list_members()
            }
            return len(states) == 1 and lags == {False}

        await self.wait_until(equal)
        return list_members()[0].machine.commands

    def is_whole(self) -> bool:
        """Return whether all voters are the VMs' present identities."""
        leader = self.find_leader()
        if leader is None:
            return False
        log = self.nodes[leader].log
        state = log.dump()
        return {m.member for m in log.configuration.voters()} == {
            storage.open().member
            for vm, storage in self.storages.items()
            if vm in self.vms
        } == {m["member"] for m in state["members"]} and (
            state["last_index"] == state["commit_index"]
        )

    def add_state_machines(self, vm, log) -> None:
        """Add further machines to a member; for groups that have some."""

    def _run(self, vm, storage, clock) -> Node:
        self.kill(vm)
        log = create_replicated_log(
            self.settings,
            self.network.join(vm),
            storage,
            clock or LoopClock(),
            self.vms,
            random.Random(self.random.random()),
        )
        machine = HistoryMachine(self.committed)
        log.add_state_machine("history", machine)
        self.add_state_machines(vm, log)
        node = Node(log, machine, anyio.CancelScope())
        self.nodes[vm] = node
        self._tasks.start_soon(_run_node, node)
        return node


def _has_lease(node: Node) -> bool:
    has_lease = getattr(node.log, "has_leader_lease", None)
    return has_lease is not None and has_lease()


async def _run_node(node: Node) -> None:
    with node.scope:
        await node.log.run()


@contextlib.asynccontextmanager
async def run_group(size, seed=0, settings=SETTINGS):
    """Run a group; all its VMs stop at the end."""
    async with anyio.create_task_group() as tasks:
        group = Group(tasks, size, seed, settings)
        group.start_all()
        yield group
        await group.network.close()
        tasks.cancel_scope.cancel()
        assert group.network.failures == []
