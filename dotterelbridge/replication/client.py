"""Access to the replicated log on a VM that holds no copy of it."""

from collections.abc import Sequence
from datetime import timedelta
import random as random_module
from typing import Any

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import NotCommitted
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.forwarding import Deadline
from dotterelbridge.replication.forwarding import Forwarder
from dotterelbridge.replication.log import ReplicatedLog
from dotterelbridge.replication.log import StateMachine
from dotterelbridge.replication.settings import ReplicationSettings

_BYTES_PER_KB = 1024


class LogClient(ReplicatedLog, Dumpable):
    """Forwards commands to the leader; applies none itself."""

    def __init__(
        self,
        settings: ReplicationSettings,
        clock: Clock,
        forwarder: Forwarder,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._forwarder = forwarder

    def add_state_machine(self, name: str, machine: StateMachine) -> None:
        """Ignore the state machine; only members apply commands."""

    def get_leader(self) -> VmId | None:
        return self._forwarder.leader_vm

    async def run(self) -> None:
        """Do nothing until cancelled."""
        await anyio.sleep_forever()

    async def transfer_leadership(self, timeout: timedelta) -> None:
        """Return at once: a VM without a copy never leads."""

    async def propose(
        self, machine_name: str, command: bytes, timeout: timedelta
    ) -> bytes:
        if len(command) > self._settings.command_limit_kb * _BYTES_PER_KB:
            raise NotCommitted(
                f"the command has {len(command)} bytes",
                "keep commands below command_limit_kb",
            )
        deadline = Deadline(self._clock, timeout)
        while True:
            result = await self._forwarder.propose_once(
                machine_name, command, deadline
            )
            if result is not None:
                return result
            await self._forwarder.wait_before_retry(deadline)

    async def read_barrier(self, timeout: timedelta) -> LogIndex:
        raise NotCommitted(
            "this VM holds no copy of the replicated log",
            "read through a VM with a data folder",
        )

    def dump(self) -> dict[str, Any]:
        return {"role": "client", "leader": self._forwarder.leader_vm}


def create_log_client(
    settings: ReplicationSettings,
    network: PeerNetwork,
    clock: Clock,
    voters: Sequence[VmId],
    random: random_module.Random,
    log_name: str = "main",
) -> LogClient:
    """Return the log of a VM without storage."""
    forwarder = Forwarder(log_name, network, clock, lambda: voters, random)
    return LogClient(settings, clock, forwarder)
