"""Settings of a node that finds the others by seeds."""

import enum
from typing import Annotated

import msgspec

from dotterelbridge.fleet.settings import FleetSettings
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import Region
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.settings import LogSettings
from dotterelbridge.settings import MetricsSettings
from dotterelbridge.settings import SettingsFaults
from dotterelbridge.settings import parse_ini_file
from dotterelbridge.settings import read_sections
from dotterelbridge.settings_schema import Section
from dotterelbridge.targets.settings import TargetsSettings

_Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class NodeRole(enum.Enum):
    """Which parts a node runs."""

    ENTRY = "entry"
    """Callers' requests; follows the fleet's state and the routes."""
    CONTROL = "control"
    """The replicated log, operators, the platform's list, and orders."""


class NodeSection(Section, kw_only=True):
    """[node]: this process and its addresses."""

    name: str
    """Name of the VM, for logs."""
    role: NodeRole
    address: str
    """IP number of this VM."""
    failure_domain: FailureDomain
    peer_port: _Port
    """Port of the links between VMs, the same on all of them."""
    caller_address: str = ""
    """IP:PORT where callers reach an entry VM."""
    ready_address: str = ""
    """IP:PORT where the balancer asks whether an entry VM is ready."""
    metrics_address: str = ""
    """IP:PORT where the metrics are read; not served when empty."""
    operator_address: str = ""
    """IP:PORT where operators reach a control VM."""
    data_folder: str | None = None
    """Folder for durable state of a control VM."""
    platform_address: str = ""
    """IP:PORT of the platform's list."""


class DiscoverySection(Section, kw_only=True):
    """[discovery]: how this VM finds the others."""

    seeds: tuple[str, ...]
    """IP numbers of control VMs, some of which may be gone; what follows
    a colon is ignored."""
    bootstrap: bool = False
    """Whether the deployment starts for the first time: the seeds form
    the replicated log. Otherwise an empty VM only joins."""
    secret: str
    """Shared by all VMs of the deployment."""


class DomainSection(Section, kw_only=True):
    """[failure_domain:NAME]."""

    region: Region


SECTION_TYPES: dict[str, type[Section]] = {
    "node": NodeSection,
    "discovery": DiscoverySection,
    "logs": LogSettings,
    "metrics": MetricsSettings,
    "peers": PeersSettings,
    "replication": ReplicationSettings,
    "fleet": FleetSettings,
    "gateway": GatewaySettings,
    "serving": ServingSettings,
    "targets": TargetsSettings,
}

NAMED_SECTION_TYPES: dict[str, type[Section]] = {
    "failure_domain": DomainSection,
}


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one node, checked."""

    node: NodeSection
    discovery: DiscoverySection
    logs: LogSettings
    metrics: MetricsSettings
    peers: PeersSettings
    replication: ReplicationSettings
    fleet: FleetSettings
    gateway: GatewaySettings
    serving: ServingSettings
    targets: TargetsSettings
    regions: dict[FailureDomain, Region]

    def own_vm(self) -> VmInfo:
        """Return this VM as the others know it."""
        node = self.node
        return VmInfo(
            vm=name_vm(node.address, node.peer_port),
            business=Business(""),
            failure_domain=node.failure_domain,
            region=self.regions.get(node.failure_domain, Region("")),
            host=node.address,
            port=node.peer_port,
        )

    def listen_at(self, address: str) -> ServingSettings:
        """Return the settings of a listener at IP:PORT."""
        host, port = split_address(address)
        return msgspec.structs.replace(self.serving, host=host, port=port)

    def seeds(self) -> tuple[VmId, ...]:
        """Return the VMs that are asked first."""
        return tuple(
            name_vm(seed.partition(":")[0], self.node.peer_port)
            for seed in self.discovery.seeds
        )


def name_vm(host: str, port: int) -> VmId:
    """Return the name of a VM that is found by its address."""
    return VmId(f"{host}:{port}")


def describe_vm(vm: VmId) -> VmInfo:
    """Return what the name of a VM tells; where it stands is learnt later."""
    host, _, port = vm.rpartition(":")
    return VmInfo(
        vm=vm,
        business=Business(""),
        failure_domain=FailureDomain(""),
        region=Region(""),
        host=host,
        port=int(port),
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of IP:PORT."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_node_settings(path: str) -> NodeSettings:
    """Read and check a settings file.

    :raises SettingsError: it cannot be read or has faults.
    """
    parser = parse_ini_file(path)
    sections, named, faults = read_sections(
        parser, SECTION_TYPES, NAMED_SECTION_TYPES
    )
    if faults:
        raise SettingsFaults(path, faults)
    regions = {
        FailureDomain(name): section.region
        for name, section in named["failure_domain"].items()
    }
    return NodeSettings(**sections, regions=regions)
