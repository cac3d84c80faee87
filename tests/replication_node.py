"""A voter process, which tests and benchmarks start and kill.

Takes one argument, a JSON object with the fields of NodeSettings.
"""

from pathlib import Path
import random
import resource
import sys

import anyio
import msgspec

from dotterelbridge.clock import create_clock
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.replication.factory import create_replicated_log
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.replication.settings import ReplicationSettings


class NodeSettings(msgspec.Struct, kw_only=True):
    """Start parameters of a node."""

    vm: VmId
    vms: list[VmInfo]
    voters: list[VmId]
    folder: str
    secret: bytes
    peers: PeersSettings = PeersSettings()
    replication: ReplicationSettings = ReplicationSettings()
    keep_commands: bool = True


@register_message("test.inspect")
class InspectRequest(Message, frozen=True, kw_only=True):
    """Asks a node for its state."""

    with_commands: bool = False


@register_message("test.inspect_reply")
class InspectReply(Message, frozen=True, kw_only=True):
    """State and resource usage of a node."""

    dump: dict
    traffic: dict
    commands: list[bytes]
    cpu_s: float
    resident_kb: int


class CommandList(StateMachine):
    """Keeps all commands, or only counts them."""

    def __init__(self, keep: bool) -> None:
        self.commands: list[bytes] = []
        self._keep = keep
        self._count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self._count += 1
        if self._keep:
            self.commands.append(command)
        return b"%d" % self._count

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self._count, self.commands))

    def restore_snapshot(self, snapshot: bytes) -> None:
        self._count, self.commands = msgspec.msgpack.decode(
            snapshot, type=tuple[int, list[bytes]]
        )


async def run_node(settings: NodeSettings) -> None:
    """Run the voter until the process is killed."""
    clock = create_clock()
    own = next(info for info in settings.vms if info.vm == settings.vm)
    network = create_peer_network(
        settings.peers,
        own,
        settings.vms,
        clock,
        settings.secret,
        settings.voters,
    )
    log = create_replicated_log(
        settings.replication,
        network,
        create_file_storage(Path(settings.folder)),
        clock,
        settings.voters,
        random.Random(),
    )
    machine = CommandList(settings.keep_commands)
    log.add_state_machine("history", machine)

    async def inspect(sender, request):
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return InspectReply(
            dump=log.dump(),
            traffic=network.dump()["traffic"],
            commands=machine.commands if request.with_commands else [],
            cpu_s=usage.ru_utime + usage.ru_stime,
            resident_kb=usage.ru_maxrss,
        )

    network.register_handler(InspectRequest, inspect)
    async with anyio.create_task_group() as group:
        group.start_soon(network.run)
        group.start_soon(log.run)


if __name__ == "__main__":
    anyio.run(run_node, msgspec.json.decode(sys.argv[1], type=NodeSettings))
