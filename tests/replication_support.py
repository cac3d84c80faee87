"""Test helpers: a group that runs a replicated log in virtual time."""

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
WAIT_TIMEOUT_S = 60
SETTINGS = ReplicationSettings(snapshot_entries=1_000_000)


class HistoryMachine(StateMachine):
    """Keeps all commands; the result of a command is its position.

    :param committed: the command that any member applied, by index. All
        machines of a group share it and check against it.
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
    """A running log member, or client, on a VM."""

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
        self.storage_count = 0
        self._tasks = tasks

    def start(self, vm, clock=None) -> Node:
        """Start a VM with its stored state; empty storage if it has none."""
        if vm not in self.storages:
            self.storage_count += 1
            member = f"{vm}-id{self.storage_count}"
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
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not condition():
                await anyio.sleep(0.01)

    async def propose(self, vm, command, timeout=TIMEOUT) -> bytes:
        return await self.nodes[vm].log.propose("history", command, timeout)

    async def propose_until_committed(self, vm, command) -> None:
        """Propose again and again; the command may be applied twice."""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(ReplicationError):
                    await self.propose(vm, command)
                    return
                await anyio.sleep(0.05)

    async def wait_until_equal(self) -> list[bytes]:
        """Wait until all running members are equal; return their commands."""

        def list_members():
            return [n for vm, n in self.nodes.items() if vm != "client"]

        def are_equal():
            states = {
                (n.log.applied_index, tuple(n.machine.commands))
                for n in list_members()
            }
            has_lag = {
                n.log.applied_index < n.log.dump()["last_index"]
                for n in list_members()
            }
            return len(states) == 1 and has_lag == {False}

        await self.wait_until(are_equal)
        return list_members()[0].machine.commands

    def has_only_current_members(self) -> bool:
        """Return whether the members are the current ids of all VMs.

        All must be voters, and nothing may be uncommitted.
        """
        leader = self.find_leader()
        if leader is None:
            return False
        log = self.nodes[leader].log
        state = log.dump()
        return {m.member_id for m in log.configuration.list_voters()} == {
            storage.open().member_id
            for vm, storage in self.storages.items()
            if vm in self.vms
        } == {m["member"] for m in state["members"]} and (
            state["last_index"] == state["commit_index"]
        )

    def add_state_machines(self, vm, log) -> None:
        """Add state machines to a member; for subclasses to override."""

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
    """Run a group; all its VMs are stopped on exit."""
    async with anyio.create_task_group() as tasks:
        group = Group(tasks, size, seed, settings)
        group.start_all()
        yield group
        await group.network.close()
        tasks.cancel_scope.cancel()
        assert group.network.handler_errors == []
