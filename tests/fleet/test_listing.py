"""The VM that reads the platform's list for all others."""

from datetime import timedelta

import anyio

from dotterelbridge.fleet.errors import ListingFailed
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.listing import ListingReader
from dotterelbridge.fleet.listing import TargetListing
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.settings import FleetSettings
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time

TURN_S = 1.0
"""Longer than the interval between two reads."""


class FakeListing(TargetListing):
    """An empty list that can fail."""

    fails = False

    async def fetch(self, timeout: timedelta) -> list[FleetTarget]:
        if self.fails:
            raise ListingFailed("the list cannot be read", "wait")
        return []


# Guards against a new reader that vouches for what it learned as a follower.
def test_vm_reads_the_list_for_others_once_it_has_read_it_as_the_reader():
    listing = FakeListing()
    is_reader = False
    seen = []

    async def check():
        nonlocal is_reader
        clock = LoopClock()
        reader = ListingReader(
            listing,
            FleetState(clock),
            FleetSettings(),
            clock,
            lambda: is_reader,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reader.run)
            for turn in (False, True, False, True):
                await anyio.sleep(TURN_S)
                is_reader = turn
                listing.fails = turn
                seen.append(reader.is_reading)
                await anyio.sleep(TURN_S)
                seen.append(reader.is_reading)
                listing.fails = False
                await anyio.sleep(TURN_S)
                seen.append(reader.is_reading)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(check)
    not_read = [False, False, False]
    assert seen == [*not_read, False, False, True] * 2
