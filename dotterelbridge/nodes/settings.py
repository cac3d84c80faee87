"""Settings of an entry or control VM that discovers the others by seeds."""

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
from dotterelbridge.quotas.settings import QuotasSettings
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.resumption.settings import ResumptionSettings
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.settings import LogSettings
from dotterelbridge.settings import MetricsSettings
from dotterelbridge.settings import SettingsFaults
from dotterelbridge.settings import parse_ini_file
from dotterelbridge.settings import read_sections
from dotterelbridge.settings_schema import Section
from dotterelbridge.targets.settings import TargetsSettings
from dotterelbridge.teams.settings import TeamsSettings

_Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class NodeRole(enum.Enum):
    """Role of a node in the deployment."""

    ENTRY = "entry"
    """Serves callers; follows the fleet state and the routes."""
    CONTROL = "control"
    """Holds the replicated log, serves operators, reads the platform's list
    and sends orders."""


class NodeSection(Section, kw_only=True):
    """[node]: this VM and its addresses."""

    name: str
    """Name of the VM, for logs."""
    role: NodeRole
    address: str
    """IP address of this VM."""
    failure_domain: FailureDomain
    peer_port: _Port
    """Port for the links between VMs, the same on all of them."""
    caller_address: str = ""
    """IP:PORT where an entry VM serves callers."""
    ready_address: str = ""
    """IP:PORT of an entry VM's readiness probe for the balancer."""
    metrics_address: str = ""
    """IP:PORT where metrics are served; not served when empty."""
    operator_address: str = ""
    """IP:PORT where a control VM serves operators."""
    data_folder: str | None = None
    """Folder for durable state of a control VM."""
    platform_address: str = ""
    """IP:PORT of the platform's list of targets."""


class DiscoverySection(Section, kw_only=True):
    """[discovery]: how this VM discovers the others."""

    seeds: tuple[str, ...]
    """IP addresses of control VMs, some of which may no longer exist; a port
    after a colon is ignored."""
    bootstrap: bool = False
    """Whether the deployment starts for the first time, so that the seeds
    form the replicated log. Otherwise a VM without data only joins."""
    links_kept: Annotated[int, msgspec.Meta(ge=1)] = 3
    """Control VMs that an entry VM stays connected to, the closest first,
    while all of these links are up; otherwise it connects to all."""
    secret: str
    """Secret that all VMs of the deployment share."""


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
    "teams": TeamsSettings,
    "quotas": QuotasSettings,
    "resumption": ResumptionSettings,
}

NAMED_SECTION_TYPES: dict[str, type[Section]] = {
    "failure_domain": DomainSection,
}


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All validated settings of one node."""

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
    teams: TeamsSettings
    quotas: QuotasSettings
    resumption: ResumptionSettings
    regions: dict[FailureDomain, Region]

    def describe_own_vm(self) -> VmInfo:
        """Return this VM's description for its peers."""
        node = self.node
        return VmInfo(
            vm=create_vm_id(node.address, node.peer_port),
            business=Business(""),
            failure_domain=node.failure_domain,
            region=self.regions.get(node.failure_domain, Region("")),
            host=node.address,
            port=node.peer_port,
        )

    def create_listener_settings(self, address: str) -> ServingSettings:
        """Return the settings of a listener at IP:PORT."""
        host, port = split_address(address)
        return msgspec.structs.replace(self.serving, host=host, port=port)

    def list_seeds(self) -> tuple[VmId, ...]:
        """Return the VMs to contact first."""
        return tuple(
            create_vm_id(seed.partition(":")[0], self.node.peer_port)
            for seed in self.discovery.seeds
        )


def create_vm_id(host: str, port: int) -> VmId:
    """Return the id of a VM that is identified by its address."""
    return VmId(f"{host}:{port}")


def parse_vm_id(vm: VmId) -> VmInfo:
    """Return the address in a VM's id.

    The failure domain and region stay empty until the VM is connected.
    """
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
    """Return the host and the port of IP:PORT."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def load_node_settings(path: str) -> NodeSettings:
    """Read and validate a settings file.

    :raises SettingsError: the file cannot be read or has faults.
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
