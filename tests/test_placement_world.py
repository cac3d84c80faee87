"""Placement as a whole: VMs, engines that know the truth, and faults."""

import pytest

from standins.virtual_time import run_in_virtual_time
from tests.placement_fakes import World
from tests.placement_fakes import create_adapter
from tests.placement_fakes import create_row


@pytest.mark.parametrize("vms", [1, 2, 3, 5])
def test_every_item_of_the_sheet_is_loaded(vms):
    async def scenario(world):
        rows = [create_row(f"m{i}") for i in range(6)]
        rows.append(create_adapter("a", "m3"))
        world.sheet.set_rows(rows)
        keys = {f"{row.name}@1" for row in rows}
        await world.wait_for(lambda: world.ready() == keys)
        assert len(world.holders()) == 1

    world = World(vms=vms)
    run_in_virtual_time(world.run, scenario)
    assert world.over_commits() == 0
