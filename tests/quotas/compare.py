"""Prints how ways to keep quotas compare, for docs/design/quotas.md.

Usage: python -m tests.quotas.compare ENTRY_VMS [DAY ...]
"""

import logging
import sys

import anyio
import structlog

from tests.quotas import test_quotas_load as days
from tests.quotas.baselines import DemandShares
from tests.quotas.baselines import EvenShares
from tests.quotas.fleet import LeasedCredit
from tests.quotas.fleet import find_allowed
from tests.quotas.fleet import name_entry
from tests.quotas.fleet import run_day

DURATION_S = 16.0


async def heat_one_team(policy, day):
    await anyio.sleep(5)
    day.factors["team0"] = days.HOT_FACTOR


async def kill_leaders_in_calm(policy, day):
    await anyio.sleep(4)
    for _ in range(2):
        await policy.kill_leader()
        await anyio.sleep(2)


DAYS = {
    "calm": days.stay_calm,
    "jump": days.jump,
    "hot": heat_one_team,
    "kill": kill_leaders_in_calm,
    "region": days.cut_off_a_region,
}
POLICIES = (EvenShares, DemandShares, LeasedCredit)
_FAULTS = ("kill", "region")


def print_row(name: str, vm_count: int, create_policy) -> None:
    policy, day = run_day(
        vm_count, DAYS[name], DURATION_S, create_policy=create_policy
    )
    highest = max(
        day.find_highest_use(team.name) / find_allowed(team)
        for team in day.teams
    )
    tallies = day.tallies
    usual = [t for n, t in tallies.items() if name != "hot" or n != "team0"]
    below = sum(tally.below for tally in usual)
    refused = sum(tally.below_refused for tally in usual)
    hot = tallies["team0"]
    waits = sorted(day.waits_s)
    traffic = "| | |"
    if isinstance(policy, LeasedCredit):
        network = policy.network
        entries = [name_entry(vm) for vm in range(vm_count)]
        seconds = DURATION_S * vm_count
        messages = sum(network.messages_by_vm[vm] for vm in entries) / seconds
        size = sum(network.bytes_by_vm[vm] for vm in entries) / seconds
        busiest = max(policy.controls, key=network.messages_by_vm.__getitem__)
        traffic = (
            f"| {messages:.1f}, {size:.0f} B "
            f"| {network.messages_by_vm[busiest] / DURATION_S:.0f}, "
            f"{network.bytes_by_vm[busiest] / DURATION_S / 1000:.1f} kB |"
        )
    print(
        f"| {vm_count} | {name} | {create_policy.__name__} | {highest:.2f} "
        f"| {100 * refused / max(1, below):.2f}% "
        f"| {hot.ran_units / max(1, hot.below_units):.2f} "
        f"| {1000 * waits[len(waits) // 2]:.0f}, "
        f"{1000 * waits[int(len(waits) * 0.99)]:.0f} ms {traffic}",
        flush=True,
    )


def main() -> None:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for name in sys.argv[2:] or DAYS:
        for create_policy in POLICIES:
            if name not in _FAULTS or create_policy is LeasedCredit:
                print_row(name, int(sys.argv[1]), create_policy)


if __name__ == "__main__":
    main()
