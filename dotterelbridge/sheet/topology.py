"""Chooses the VMs that a VM polls for the sheet, in order of preference.

In each failure domain the VMs form a tree: the control VMs, which hold the
log, come first, then the others by name. Each polls a VM with a lower
position. In a domain without a control VM, the first VM polls a control VM
of another domain. A source has a lower position or is a control VM, so
polling never forms a cycle; only fallback sources may have a higher
position.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo

LOCAL_SOURCE_LIMIT = 4
"""Sources considered in the VM's own failure domain."""
FALLBACK_SOURCE_LIMIT = 3
"""VMs with a higher position that are considered as a fallback."""


class SheetSources(msgspec.Struct, frozen=True, kw_only=True):
    """The VMs that one VM may poll."""

    position: int
    """Position in the tree of the failure domain."""
    local_sources: tuple[VmId, ...]
    """VMs of the same failure domain with a lower position."""
    control_vms: tuple[VmId, ...]
    """Control VMs of other failure domains, the same region first."""
    fallback_sources: tuple[VmId, ...]
    """VMs of the same failure domain that may themselves poll this one."""

    @property
    def primary_sources(self) -> tuple[VmId, ...]:
        """All sources except the fallback, most preferred first."""
        return self.local_sources + self.control_vms


def rank_sources(
    own: VmId,
    vms: Sequence[VmInfo],
    control_vms: Sequence[VmId],
    fan_out: int,
) -> SheetSources:
    """Return the sources of one VM."""
    by_name = {info.vm: info for info in vms}
    own_info = by_name[own]
    control_vms = [vm for vm in control_vms if vm in by_name]
    domain_vms = _order_domain(own_info, vms, control_vms)
    root_count = sum(1 for vm in domain_vms if vm in control_vms) or 1
    position = domain_vms.index(own)
    local_sources = _remove_duplicates(
        _list_source_candidates(domain_vms, position, root_count, fan_out)
    )
    return SheetSources(
        position=position,
        local_sources=tuple(local_sources)[:LOCAL_SOURCE_LIMIT],
        control_vms=_order_control_vms(own_info, by_name, control_vms),
        fallback_sources=tuple(domain_vms[position + 1 :])[
            :FALLBACK_SOURCE_LIMIT
        ],
    )


def _order_domain(
    own_info: VmInfo, vms: Sequence[VmInfo], control_vms: Sequence[VmId]
) -> list[VmId]:
    names = sorted(
        info.vm
        for info in vms
        if info.failure_domain == own_info.failure_domain
    )
    return sorted(names, key=lambda vm: vm not in control_vms)


def _list_source_candidates(
    domain_vms: list[VmId], position: int, root_count: int, fan_out: int
) -> Iterator[VmId]:
    ancestor = position
    while ancestor >= root_count:
        ancestor = (ancestor - root_count) // fan_out
        yield domain_vms[ancestor]
    yield from domain_vms[:position]


def _order_control_vms(
    own_info: VmInfo, by_name: dict[VmId, VmInfo], control_vms: Iterable[VmId]
) -> tuple[VmId, ...]:
    """Order the control VMs of other domains.

    The list is rotated by domain to spread the load over them.
    """
    elsewhere = sorted(
        vm
        for vm in control_vms
        if by_name[vm].failure_domain != own_info.failure_domain
    )
    if not elsewhere:
        return ()
    domains = sorted({info.failure_domain for info in by_name.values()})
    start = domains.index(own_info.failure_domain) % len(elsewhere)
    rotated = elsewhere[start:] + elsewhere[:start]
    return tuple(
        sorted(rotated, key=lambda vm: by_name[vm].region != own_info.region)
    )


def _remove_duplicates(names: Iterable[VmId]) -> Iterator[VmId]:
    seen = set()
    for name in names:
        if name not in seen:
            seen.add(name)
            yield name
