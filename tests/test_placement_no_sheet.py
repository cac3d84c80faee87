"""Placement unloads nothing before the first sheet is in force."""

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

    async def scenario(cluster):
        for engine in cluster.engines.values():
            engine.add_ready_item(item)
        await cluster.wait_for(cluster.list_holders)
        await anyio.sleep(WAIT_S)
        assert cluster.get_ready_items() == {"m0@1"}
        cluster.sheet.set_rows([create_row("m1")])
        await cluster.wait_for(lambda: cluster.get_ready_items() == {"m1@1"})

    run_in_virtual_time(SimulatedCluster().run, scenario)
