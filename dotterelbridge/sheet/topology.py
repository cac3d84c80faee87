"""Which VMs this one gets the sheet from, in order of preference.

In each failure domain the VMs form a tree: those that hold the log first,
then the others by name, each fed by one of lower position. The first VM
of a domain without the log is fed by a holder elsewhere. A source has a
lower position or holds the log, so sources never form a ring, except for
the last resorts.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo

NEAR_SOURCES = 4
"""Sources of the own failure domain that are considered."""
LAST_RESORTS = 3
"""Later VMs of the own failure domain that are considered."""


class SheetSources(msgspec.Struct, frozen=True, kw_only=True):
    """The VMs that may feed this one."""

    position: int
    """Position in the tree of the own failure domain."""
    near: tuple[VmId, ...]
    """VMs of the own failure domain with a lower position."""
    holders: tuple[VmId, ...]
    """Holders of the log elsewhere, the nearest first."""
    last_resorts: tuple[VmId, ...]
    """VMs of the own failure domain that this one may feed itself."""

    @property
    def regular(self) -> tuple[VmId, ...]:
        """All sources but the last resorts, the preferred first."""
        return self.near + self.holders


def rank_sources(
    own: VmId,
    vms: Sequence[VmInfo],
    log_holders: Sequence[VmId],
    fan_out: int,
) -> SheetSources:
    """Return the sources of one VM."""
    by_name = {info.vm: info for info in vms}
    here = by_name[own]
    holders = [vm for vm in log_holders if vm in by_name]
    order = _order_domain(here, vms, holders)
    roots = sum(1 for vm in order if vm in holders) or 1
    position = order.index(own)
    near = _unique(_walk_up(order, position, roots, fan_out))
    return SheetSources(
        position=position,
        near=tuple(near)[:NEAR_SOURCES],
        holders=_order_holders(here, by_name, holders),
        last_resorts=tuple(order[position + 1 :])[:LAST_RESORTS],
    )


def _order_domain(
    here: VmInfo, vms: Sequence[VmInfo], holders: Sequence[VmId]
) -> list[VmId]:
    names = sorted(
        info.vm for info in vms if info.failure_domain == here.failure_domain
    )
    return sorted(names, key=lambda vm: vm not in holders)


def _walk_up(
    order: list[VmId], position: int, roots: int, fan_out: int
) -> Iterator[VmId]:
    above = position
    while above >= roots:
        above = (above - roots) // fan_out
        yield order[above]
    yield from order[:position]


def _order_holders(
    here: VmInfo, by_name: dict[VmId, VmInfo], holders: Iterable[VmId]
) -> tuple[VmId, ...]:
    """Return the holders elsewhere, rotated so that domains spread."""
    elsewhere = sorted(
        vm
        for vm in holders
        if by_name[vm].failure_domain != here.failure_domain
    )
    if not elsewhere:
        return ()
    domains = sorted({info.failure_domain for info in by_name.values()})
    start = domains.index(here.failure_domain) % len(elsewhere)
    rotated = elsewhere[start:] + elsewhere[:start]
    return tuple(
        sorted(rotated, key=lambda vm: by_name[vm].region != here.region)
    )


def _unique(names: Iterable[VmId]) -> Iterator[VmId]:
    seen = set()
    for name in names:
        if name not in seen:
            seen.add(name)
            yield name
