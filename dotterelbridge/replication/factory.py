"""Creates the replicated log of a VM, with or without storage."""

from collections.abc import Callable
from collections.abc import Sequence
import random as random_module

from dotterelbridge.clock import Clock
from dotterelbridge.ids import VmId
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.client import LogClient
from dotterelbridge.replication.client import create_log_client
from dotterelbridge.replication.member import LogMember
from dotterelbridge.replication.member import create_log_member
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.storage import LogStorage


def create_replicated_log(
    settings: ReplicationSettings,
    network: PeerNetwork,
    storage: LogStorage | None,
    clock: Clock,
    voters: Sequence[VmId],
    random: random_module.Random,
    log_name: str = "main",
    list_seeds: Callable[[], Sequence[VmId]] | None = None,
) -> LogMember | LogClient:
    """Return the replicated log on this VM.

    Register the state machines before calling its ``run``.

    :param storage: None on a VM without a data folder, which forwards
        commands and holds no copy of the log.
    :param voters: the VMs that form the group if none of them has a log
        yet; later the configuration in the log names the voters.
    :param log_name: distinguishes the logs of one VM; the same on all
        VMs.
    :param list_seeds: returns VMs to ask for the group, if these are
        found through seeds; by default the voters.
    :raises StorageError: the stored state is damaged; the message names
        the file, the offset and the remedy.
    """
    if storage is None:
        return create_log_client(
            settings, network, clock, voters, random, log_name
        )
    return create_log_member(
        settings,
        network,
        storage,
        clock,
        voters,
        random,
        log_name,
        list_seeds,
    )
