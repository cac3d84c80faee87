"""Settings of a daemon: reads an INI file into typed, validated sections."""

from collections.abc import Iterator
import configparser
import enum
import ipaddress
import os
import re
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
from dotterelbridge.quarantine.settings import QuarantineSettings
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.serving.settings import ServingSettings
from dotterelbridge.settings_schema import Fault
from dotterelbridge.settings_schema import Section
from dotterelbridge.settings_schema import read_section
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.targets.settings import TargetsSettings
from dotterelbridge.teams.settings import TeamSection
from dotterelbridge.teams.validation import is_header_text

MAX_PORT = 65535
_SHA256_DIGITS = re.compile("[0-9a-fA-F]{64}")
LOOPBACK_ADDRESS = "127.0.0.1"

Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
SectionType = TypeVar("SectionType", bound=Section)


class LogFormat(enum.Enum):
    """Output format of log lines."""

    JSON = "json"
    CONSOLE = "console"


class LogLevel(enum.Enum):
    """Lowest level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class DaemonSettings(Section, kw_only=True):
    """[daemon]: addresses and files of this process."""

    vm: VmId
    """Name of this VM; a section [vm:NAME] must exist."""
    operator_address: str = LOOPBACK_ADDRESS
    operator_port: Port = 8001
    operator_token_file: str
    """File with the bearer token for the operator listener."""
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
    """[metrics]: export in addition to the operator listener."""

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
    """IP address."""
    peer_port: Port
    voter: bool = False
    """Whether the VM has a disk and is a voter of the replicated log."""


class TargetSettings(Section, kw_only=True):
    """[target:NAME]: a model engine or a plain service."""

    kind: TargetKind
    failure_domain: FailureDomain
    address: str
    """IP address."""
    port: Port
    fencing: Fencing = Fencing.ENFORCED
    service: ItemName | None = None
    """Name that callers use for the service; only for kind = service."""


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
    "quarantine": QuarantineSettings,
}
"""Sections that appear once."""

NAMED_SECTION_TYPES: dict[str, type[Section]] = {
    "failure_domain": FailureDomainSettings,
    "vm": VmSettings,
    "target": TargetSettings,
    "team": TeamSection,
}
"""Sections that appear once per name, as [KIND:NAME]."""


class Settings:
    """All validated settings of one daemon."""

    def __init__(
        self,
        sections: dict[str, Section],
        named_sections: dict[str, dict[str, Section]],
    ) -> None:
        self._sections = sections
        self._named_sections = named_sections

    def get_section(self, section_type: type[SectionType]) -> SectionType:
        """Return the section of the given type."""
        for section in self._sections.values():
            if type(section) is section_type:
                return section
        raise KeyError(section_type.__name__)

    @property
    def daemon(self) -> DaemonSettings:
        """The section [daemon]."""
        return self.get_section(DaemonSettings)

    def get_failure_domains(
        self,
    ) -> dict[FailureDomain, FailureDomainSettings]:
        """Return all failure domains by name."""
        return self._named_sections["failure_domain"]

    def get_teams(self) -> dict[str, TeamSection]:
        """Return the teams of the listener for callers, by name."""
        return self._named_sections["team"]

    def list_vms(self) -> list[VmInfo]:
        """Return all entry VMs, including this one."""
        return [
            self._create_vm_info(name, vm)
            for name, vm in self._named_sections["vm"].items()
        ]

    def get_own_vm(self) -> VmInfo:
        """Return the VM of this daemon."""
        name = self.daemon.vm
        return self._create_vm_info(name, self._named_sections["vm"][name])

    def list_voters(self) -> list[VmId]:
        """Return the VMs that vote on the replicated log, sorted."""
        return sorted(
            VmId(name)
            for name, vm in self._named_sections["vm"].items()
            if vm.voter
        )

    def list_targets(self) -> list[TargetInfo]:
        """Return all targets."""
        return [
            self._create_target_info(name, target)
            for name, target in self._named_sections["target"].items()
        ]

    def _create_vm_info(self, name: str, vm: VmSettings) -> VmInfo:
        domain = self.get_failure_domains()[vm.failure_domain]
        return VmInfo(
            vm=VmId(name),
            business=domain.business,
            failure_domain=vm.failure_domain,
            region=domain.region,
            host=vm.address,
            port=vm.peer_port,
        )

    def _create_target_info(
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
    """A settings file has faults; the error lists all of them."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        listing = "\n".join(f"  {fault}" for fault in faults)
        super().__init__(
            f"{path} has {len(faults)} fault(s):\n{listing}\n",
            "correct every line named above and check the file again with "
            "'dotterelbridge config check'",
        )
        self.faults = faults


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: it cannot be read or has faults.
    """
    parser = parse_ini_file(path)
    sections, named_sections, faults = read_sections(
        parser, SECTION_TYPES, NAMED_SECTION_TYPES
    )
    if not faults:
        settings = Settings(sections, named_sections)
        faults = list(_check_consistency(settings, named_sections))
    if faults:
        raise SettingsFaults(path, faults)
    return settings


def read_secret_file(path: str) -> bytes:
    """Return a token or secret, stripped of surrounding whitespace.

    :raises SettingsError: it cannot be read or is empty.
    """
    try:
        with open(path, "rb") as file:
            content = file.read().strip()
    except OSError as error:
        raise SettingsError(
            f"cannot read {path}: {error.strerror}",
            "create the file and make it readable for the daemon's user",
        ) from error
    if not content:
        raise SettingsError(
            f"{path} is empty", "write a long random string to it"
        )
    return content


def parse_ini_file(path: str) -> configparser.ConfigParser:
    """Parse an INI file.

    :raises SettingsError: it cannot be read or parsed.
    """
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
    """Return the single sections, the named sections and all faults."""
    sections = {}
    named_sections = {kind: {} for kind in named_types}
    faults = []
    for name, section_type in section_types.items():
        sections[name], section_faults = read_section(
            parser, name, section_type
        )
        faults.extend(section_faults)
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
        named_sections[kind][name], section_faults = read_section(
            parser, full_name, named_types[kind]
        )
        faults.extend(section_faults)
    return sections, named_sections, faults


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


def _check_consistency(
    settings: Settings, named_sections: dict[str, dict[str, Section]]
) -> Iterator[Fault]:
    yield from _check_own_vm(settings, named_sections)
    yield from _check_failure_domains(named_sections)
    yield from _check_addresses(named_sections)
    yield from _check_service_names(named_sections)
    yield from _check_voters(settings, named_sections)
    yield from _check_data_folder(settings)
    yield from _check_teams(settings)


def _check_own_vm(settings: Settings, named_sections) -> Iterator[Fault]:
    if settings.daemon.vm not in named_sections["vm"]:
        yield Fault(
            section="daemon",
            option="vm",
            found=repr(settings.daemon.vm),
            allowed="a name that has a [vm:NAME] section",
        )


def _check_failure_domains(named_sections) -> Iterator[Fault]:
    domains = named_sections["failure_domain"]
    for kind in ("vm", "target"):
        for name, section in named_sections[kind].items():
            if section.failure_domain not in domains:
                yield Fault(
                    section=f"{kind}:{name}",
                    option="failure_domain",
                    found=repr(section.failure_domain),
                    allowed="a name that has a [failure_domain:NAME] section",
                )


def _check_addresses(named_sections) -> Iterator[Fault]:
    section_by_address: dict[tuple[str, int], str] = {}
    for kind, port_option in (("vm", "peer_port"), ("target", "port")):
        for name, section in named_sections[kind].items():
            section_name = f"{kind}:{name}"
            try:
                ipaddress.ip_address(section.address)
            except ValueError:
                yield Fault(
                    section=section_name,
                    option="address",
                    found=repr(section.address),
                    allowed="an IP address",
                )
            address = (section.address, getattr(section, port_option))
            if address in section_by_address:
                yield Fault(
                    section=section_name,
                    option=port_option,
                    found=f"{address[0]} port {address[1]} a second time",
                    allowed="an address that "
                    f"[{section_by_address[address]}] does not use",
                )
            section_by_address[address] = section_name


def _check_service_names(named_sections) -> Iterator[Fault]:
    for name, target in named_sections["target"].items():
        is_service = target.kind is TargetKind.SERVICE
        if is_service != (target.service is not None):
            yield Fault(
                section=f"target:{name}",
                option="service",
                found=repr(target.service),
                allowed="the service's name for kind = service, "
                "nothing for kind = engine",
            )


def _check_voters(settings: Settings, named_sections) -> Iterator[Fault]:
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


def _check_data_folder(settings: Settings) -> Iterator[Fault]:
    folder = settings.daemon.data_folder
    if folder and os.path.exists(folder) and not os.path.isdir(folder):
        yield Fault(
            section="daemon",
            option="data_folder",
            found=f"{folder}, which is not a folder",
            allowed="a folder, or a path where one can be created",
        )


def _check_teams(settings: Settings) -> Iterator[Fault]:
    """Check names and keys; a value that may be a key is not shown."""
    section_by_digest: dict[str, str] = {}
    for name, team in settings.get_teams().items():
        section = f"team:{name}"
        if not is_header_text(name):
            yield Fault(
                section=section,
                option="",
                found="a name that a header value cannot carry",
                allowed="up to 256 Latin-1 characters",
            )
        for digest in team.keys:
            if _SHA256_DIGITS.fullmatch(digest) is None:
                yield Fault(
                    section=section,
                    option="keys",
                    found="a value that is not a digest",
                    allowed="SHA-256 digests in 64 hexadecimal digits each",
                )
            other = section_by_digest.setdefault(digest.lower(), section)
            if other != section:
                yield Fault(
                    section=section,
                    option="keys",
                    found=f"a key of [{other}]",
                    allowed="keys that no other team has",
                )
