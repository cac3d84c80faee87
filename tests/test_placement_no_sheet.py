"""Before the first sheet is in force, placement leaves engines alone."""

import anyio

from dotterelbridge.ids import ItemKind
from dotterelbridge.targets.engine import EngineItem
from standins.virtual_time import run_in_virtual_time
from tests.placement_fakes import SimulatedCluster
from tests.placement_fakes import create_row

WAIT_S = 60


def test_models_stay_loaded_until_the_first_sheet():
    item = EngineItem(
        kind=ItemKind.MODEL, name="m0", version="1", memory_mb=200
    )

    async def scenario(world):
        for engine in world.engines.values():
            engine.put(item)
        await world.wait_for(world.holders)
        await anyio.sleep(WAIT_S)
        assert world.ready() == {"m0@1"}
        world.sheet.set_rows([create_row("m1")])
        await world.wait_for(lambda: world.ready() == {"m1@1"})

    run_in_virtual_time(SimulatedCluster().run, scenario)
