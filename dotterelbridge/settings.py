"""The settings of a daemon: an INI file, typed and checked as a whole."""

from collections.abc import Iterator
import configparser
import enum
import ipaddress
import os
from typing import Annotated
from typing import TypeVar

import msgspec

from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.errors import SettingsError
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Region
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import VmId
from dotterelbridge.membership.settings import MembershipSettings
from dotterelbridge.membership.view import Fencing
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.settings_schema import Fault
from dotterelbridge.settings_schema import Section
from dotterelbridge.settings_schema import read_section
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.targets.settings import TargetsSettings

MAX_PORT = 65535
LOOPBACK = "127.0.0.1"

Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
SectionType = TypeVar("SectionType", bound=Section)


class LogFormat(enum.Enum):
    """How log lines are written."""

    JSON = "json"
    CONSOLE = "console"


class LogLevel(enum.Enum):
    """Lowest level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class DaemonSettings(Section, kw_only=True):
    """[daemon]: this process, its addresses and files."""

    vm: VmId
    """Name of this VM; has a section [vm:NAME]."""
    operator_address: str = LOOPBACK
    operator_port: Port = 8001
    operator_token_file: str
    """File with the bearer token of the operators' listener."""
    peer_secret_file: str
    """File with the secret that all daemons of the deployment share."""
    data_folder: str | None = None
    """Folder for durable state; only on VMs with a disk."""
    dump_file: str | None = None
    """File that SIGUSR1 writes a state dump to."""


class LogSettings(Section):
    """[logs]: the structured log on standard error."""

    format: LogFormat = LogFormat.JSON
    level: LogLevel = LogLevel.INFO


class MetricsSettings(Section):
    """[metrics]: export besides the operators' listener."""

    otlp_endpoint: str | None = None
    """URL that metrics are pushed to with OTLP over HTTP."""


class PlatformSettings(Section):
    """[platform]: the platform's list of VMs and targets."""

    list_url: str | None = None


class FailureDomainSettings(Section):
    """[failure_domain:NAME]."""

    business: Business
    region: Region


class VmSettings(Section, kw_only=True):
    """[vm:NAME]: an entry VM of the deployment."""

    failure_domain: FailureDomain
    address: str
    """IP number."""
    peer_port: Port
    voter: bool = False
    """Whether the VM has a disk and votes on the replicated log."""


class TargetSettings(Section, kw_only=True):
    """[target:NAME]: a model engine or plain service."""

    kind: TargetKind
    failure_domain: FailureDomain
    address: str
    """IP number."""
    port: Port
    fencing: Fencing = Fencing.ENFORCED
    service: ItemName | None = None
    """Name callers use for the service; services only."""


SECTION_TYPES: dict[str, type[Section]] = {
    "daemon": DaemonSettings,
    "logs": LogSettings,
    "metrics": MetricsSettings,
    "platform": PlatformSettings,
    "serving": ServingSettings,
    "routing": RoutingSettings,
    "targets": TargetsSettings,
    "peers": PeersSettings,
    "replication": ReplicationSettings,
    "sheet": SheetSettings,
    "claims": ClaimsSettings,
    "membership": MembershipSettings,
    "placement": PlacementSettings,
}
"""Sections that appear once."""

NAMED_SECTION_TYPES: dict[str, type[Section]] = {
    "failure_domain": FailureDomainSettings,
    "vm": VmSettings,
    "target": TargetSettings,
}
"""Sections that appear once for each name, as [KIND:NAME]."""


class Settings:
    """All settings of one daemon, checked."""

    def __init__(
        self,
        sections: dict[str, Section],
        named: dict[str, dict[str, Section]],
    ) -> None:
        self._sections = sections
        self._named = named

    def get_section(self, section_type: type[SectionType]) -> SectionType:
        """Return the section of a type."""
        for section in self._sections.values():
            if type(section) is section_type:
                return section
        raise KeyError(section_type.__name__)

    @property
    def daemon(self) -> DaemonSettings:
        """The section of this process."""
        return self.get_section(DaemonSettings)

    def get_failure_domains(
        self,
    ) -> dict[FailureDomain, FailureDomainSettings]:
        """Return all failure domains by name."""
        return self._named["failure_domain"]

    def list_vms(self) -> list[VmInfo]:
        """Return all entry VMs, this one included."""
        return [
            self._describe_vm(name, vm)
            for name, vm in self._named["vm"].items()
        ]

    def get_own_vm(self) -> VmInfo:
        """Return this VM."""
        name = self.daemon.vm
        return self._describe_vm(name, self._named["vm"][name])

    def list_voters(self) -> list[VmId]:
        """Return the VMs that vote on the replicated log, sorted."""
        return sorted(
            VmId(name) for name, vm in self._named["vm"].items() if vm.voter
        )

    def list_targets(self) -> list[TargetInfo]:
        """Return all targets."""
        return [
            self._describe_target(name, target)
            for name, target in self._named["target"].items()
        ]

    def _describe_vm(self, name: str, vm: VmSettings) -> VmInfo:
        domain = self.get_failure_domains()[vm.failure_domain]
        return VmInfo(
            vm=VmId(name),
            business=domain.business,
            failure_domain=vm.failure_domain,
            region=domain.region,
            host=vm.address,
            port=vm.peer_port,
        )

    def _describe_target(
        self, name: str, target: TargetSettings
    ) -> TargetInfo:
        domain = self.get_failure_domains()[target.failure_domain]
        return TargetInfo(
            target=TargetId(name),
            kind=target.kind,
            business=domain.business,
            failure_domain=target.failure_domain,
            region=domain.region,
            host=target.address,
            port=target.port,
            fencing=target.fencing,
            service=target.service,
        )


class SettingsFaults(SettingsError):
    """A settings file has faults; all of them are listed."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        listing = "\n".join(f"  {fault}" for fault in faults)
        super().__init__(
            f"{path} has {len(faults)} fault(s):\n{listing}\n",
            "correct every line named above and check the file again with "
            "'dotterelbridge config check'",
        )
        self.faults = faults


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: it cannot be read or has faults.
    """
    parser = parse_ini_file(path)
    sections, named, faults = read_sections(
        parser, SECTION_TYPES, NAMED_SECTION_TYPES
    )
    if not faults:
        settings = Settings(sections, named)
        faults = list(_check_whole(settings, named))
    if faults:
        raise SettingsFaults(path, faults)
    return settings


def read_secret_file(path: str) -> bytes:
    """Return the content of a token or secret file without white space.

    :raises SettingsError: it cannot be read or is empty.
    """
    try:
        with open(path, "rb") as file:
            content = file.read().strip()
    except OSError as error:
        raise SettingsError(
            f"cannot read {path}: {error.strerror}",
            "create the file and let the daemon's user read it",
        ) from error
    if not content:
        raise SettingsError(
            f"{path} is empty", "write a long random text into it"
        )
    return content


def parse_ini_file(path: str) -> configparser.ConfigParser:
    """Return the sections of an INI file; SettingsError without them."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise SettingsError(
            f"cannot read {path}: {error.strerror}",
            "name a file that exists and is readable",
        ) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} is not an INI file in UTF-8: {error}",
            "write [section] lines and 'option = value' lines",
        ) from error
    return parser


def read_sections(
    parser: configparser.ConfigParser,
    section_types: dict[str, type[Section]],
    named_types: dict[str, type[Section]],
):
    """Return the sections, the named sections, and all faults."""
    sections = {}
    named = {kind: {} for kind in named_types}
    faults = []
    for name, section_type in section_types.items():
        sections[name], found = read_section(parser, name, section_type)
        faults.extend(found)
    for full_name in parser.sections():
        if full_name in section_types:
            continue
        kind, _, name = full_name.partition(":")
        if kind not in named_types or not name:
            faults.append(
                _describe_unknown_section(
                    full_name, section_types, named_types
                )
            )
            continue
        named[kind][name], found = read_section(
            parser, full_name, named_types[kind]
        )
        faults.extend(found)
    return sections, named, faults


def _describe_unknown_section(
    name: str,
    section_types: dict[str, type[Section]],
    named_types: dict[str, type[Section]],
) -> Fault:
    allowed = [f"[{known}]" for known in section_types]
    allowed += [f"[{kind}:NAME]" for kind in named_types]
    return Fault(
        section=name,
        option="",
        found="an unknown section",
        allowed=", ".join(allowed),
    )


def _check_whole(
    settings: Settings, named: dict[str, dict[str, Section]]
) -> Iterator[Fault]:
    yield from _check_own_vm(settings, named)
    yield from _check_domains(named)
    yield from _check_addresses(named)
    yield from _check_services(named)
    yield from _check_voters(settings, named)
    yield from _check_files(settings)


def _check_own_vm(settings: Settings, named) -> Iterator[Fault]:
    if settings.daemon.vm not in named["vm"]:
        yield Fault(
            section="daemon",
            option="vm",
            found=repr(settings.daemon.vm),
            allowed="a name that has a [vm:NAME] section",
        )


def _check_domains(named) -> Iterator[Fault]:
    domains = named["failure_domain"]
    for kind in ("vm", "target"):
        for name, section in named[kind].items():
            if section.failure_domain not in domains:
                yield Fault(
                    section=f"{kind}:{name}",
                    option="failure_domain",
                    found=repr(section.failure_domain),
                    allowed="a name that has a [failure_domain:NAME] section",
                )


def _check_addresses(named) -> Iterator[Fault]:
    seen: dict[tuple[str, int], str] = {}
    for kind, port_option in (("vm", "peer_port"), ("target", "port")):
        for name, section in named[kind].items():
            where = f"{kind}:{name}"
            try:
                ipaddress.ip_address(section.address)
            except ValueError:
                yield Fault(
                    section=where,
                    option="address",
                    found=repr(section.address),
                    allowed="an IP number",
                )
            address = (section.address, getattr(section, port_option))
            if address in seen:
                yield Fault(
                    section=where,
                    option=port_option,
                    found=f"{address[0]} port {address[1]} a second time",
                    allowed=f"an address that [{seen[address]}] has not",
                )
            seen[address] = where


def _check_services(named) -> Iterator[Fault]:
    for name, target in named["target"].items():
        is_service = target.kind is TargetKind.SERVICE
        if is_service != (target.service is not None):
            yield Fault(
                section=f"target:{name}",
                option="service",
                found=repr(target.service),
                allowed="the service's name for kind = service, "
                "nothing for kind = engine",
            )


def _check_voters(settings: Settings, named) -> Iterator[Fault]:
    voters = settings.list_voters()
    if len(voters) % 2 == 0:
        yield Fault(
            section="vm:NAME",
            option="voter",
            found=f"{len(voters)} voters",
            allowed="an odd number of VMs with voter = true",
        )
    if settings.daemon.vm in voters and not settings.daemon.data_folder:
        yield Fault(
            section="daemon",
            option="data_folder",
            found="nothing",
            allowed="a folder on a disk, because this VM is a voter",
        )


def _check_files(settings: Settings) -> Iterator[Fault]:
    folder = settings.daemon.data_folder
    if folder and os.path.exists(folder) and not os.path.isdir(folder):
        yield Fault(
            section="daemon",
            option="data_folder",
            found=f"{folder}, which is a file",
            allowed="a folder, or a path that can become one",
        )
