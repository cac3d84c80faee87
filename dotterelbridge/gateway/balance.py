"""Chooses among targets whose loads are known late, to many VMs at once."""

from collections.abc import Sequence
import random

import msgspec


class Candidate(msgspec.Struct, frozen=True):
    """A target that a request may go to."""

    level: float
    """Requests there by the last report, and what its distance costs."""
    sent: int = 0
    """Requests that this VM has sent there since, less those it got back."""


def choose_candidate(
    candidates: Sequence[Candidate],
    vms: int,
    expected: float,
    rng: random.Random,
) -> int:
    """Return the index of the target for one more request.

    All VMs act on the same reports. If each took the least loaded target,
    it would get a request of every one of them before its next report. So
    the requests of all VMs in that time are taken to fill up the levels
    like water, and a target is chosen in proportion to its part that is
    still missing (load interpretation, Dahlin 2000).

    :param vms: VMs that act like this one.
    :param expected: requests of all VMs between two reports.
    """
    if len(candidates) == 1:
        return 0
    own = sum(max(0, c.sent) for c in candidates)
    total = max(expected, float(vms * own)) + 1
    surface = find_surface([c.level for c in candidates], total)
    missing = [
        max(0.0, surface - c.level - vms * max(0, c.sent)) for c in candidates
    ]
    if any(missing):
        indices = range(len(candidates))
        return rng.choices(indices, weights=missing)[0]
    return min(
        range(len(candidates)),
        key=lambda i: (candidates[i].level + candidates[i].sent, rng.random()),
    )


def find_surface(levels: Sequence[float], amount: float) -> float:
    """Return how high an amount rises that is poured over the levels."""
    ordered = sorted(levels)
    below = 0.0
    for count, level in enumerate(ordered, start=1):
        below += level
        surface = (amount + below) / count
        if count == len(ordered) or surface <= ordered[count]:
            return surface
    raise ValueError("no levels; pass one at least")
