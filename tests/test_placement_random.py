"""Seeded randomised runs of placement; the engines' truth is the judge."""

import random

import anyio
import pytest

from dotterelbridge.membership.view import Fencing
from standins.virtual_time import run_in_virtual_time
from tests.placement_fakes import SimulatedCluster
from tests.placement_fakes import create_adapter
from tests.placement_fakes import create_row

FREEZE_MAX_S = 12.0
LATE_MAX_S = 15.0
"""Together with a freeze and a lease below the worlds' late limit."""


class Storm:
    """Breaks things at random until told to stop, then mends all."""

    def __init__(self, world, seed):
        self._world = world
        self._random = random.Random(seed)

    async def rage(self, rounds):
        for _ in self._world.engines:
            await self._change_faults()
        actions = [
            self._restart_vm,
            self._restart_domain,
            self._isolate,
            self._heal,
            self._freeze_holder,
            self._restart_engine,
            self._stop_engine,
            self._turn_demand,
            self._change_sheet,
            self._change_sheet,
            self._change_sheet,
            self._change_faults,
            self._change_faults,
            self._mark_leaving,
            self._use_item,
        ]
        for _ in range(rounds):
            action = self._random.choice(actions)
            await action()
            await anyio.sleep(self._random.uniform(0, 12))

    async def mend(self):
        self._world.network.heal()
        self._world.network.conditions.loss = 0.0
        for node in self._world.nodes.values():
            node.thaw()
        for engine in self._world.engines.values():
            engine.faults.__init__()
            engine.up = True
            engine.running.clear()
            await self._clear_mark(engine.info.target)

    async def _restart_vm(self):
        vm = self._random.choice(sorted(self._world.nodes))
        self._world.stop(vm)
        await anyio.sleep(self._random.uniform(0, 8))
        self._world.start(vm)

    async def _restart_domain(self):
        vms = [v.vm for v in self._world.vms if v.failure_domain == "d0"]
        for vm in vms:
            self._world.stop(vm)
        await anyio.sleep(self._random.uniform(0, 3))
        for vm in vms:
            self._world.start(vm)

    async def _isolate(self):
        vms = sorted(self._world.nodes)
        count = self._random.randint(1, len(vms) - 1)
        self._world.network.isolate(self._random.sample(vms, count))

    async def _heal(self):
        self._world.network.heal()

    async def _freeze_holder(self):
        holders = self._world.holders()
        if not holders:
            return
        node = holders[0]
        node.freeze()
        self._world.network.isolate([node.info.vm])
        await anyio.sleep(self._random.uniform(0, FREEZE_MAX_S))
        node.thaw()
        await anyio.sleep(self._random.uniform(0, 2))
        self._world.network.heal()

    async def _restart_engine(self):
        self._choose_engine().restart()

    async def _stop_engine(self):
        engine = self._choose_engine()
        engine.up = False
        await anyio.sleep(self._random.uniform(0, 20))
        engine.up = True

    async def _turn_demand(self):
        names = [row.name for row in self._world.sheet.current().rows]
        for demand in self._world.demands.values():
            chosen = self._random.sample(names, min(3, len(names)))
            demand.arrivals = {
                name: self._random.randint(0, 100) for name in chosen
            }

    async def _change_sheet(self):
        self._world.sheet.set_rows(create_rows(self._random))

    async def _change_faults(self):
        faults = self._choose_engine().faults
        faults.lost = self._random.choice([0, 0.3])
        faults.late = self._random.choice([0, 0.5])
        faults.late_max_s = LATE_MAX_S
        faults.duplicated = self._random.choice([0, 0.5])
        faults.answer_lost = self._random.choice([0, 0.4])
        faults.refused = self._random.choice([0, 0.2])
        faults.load_failed = self._random.choice([0, 0.2])
        faults.inventory_lag_s = self._random.choice([0, 2])
        self._world.network.conditions.loss = self._random.choice([0, 0.1])

    async def _mark_leaving(self):
        name = self._choose_engine().info.target
        node = self._random.choice(list(self._world.nodes.values()))
        if self._random.random() < 0.5:
            node.membership.mark_leaving(name)
        else:
            node.membership.clear_leaving(name)

    async def _use_item(self):
        """Start a request that a VM beside the holder would send."""
        for node in self._world.holders()[:1]:
            for view in node.membership.targets().values():
                engine = self._world.engines[view.info.target]
                ready = sorted(view.ready_items & engine.items.keys())
                if ready and view.takes_new_work:
                    engine.running = {self._random.choice(ready): 1}

    async def _clear_mark(self, name):
        for node in self._world.nodes.values():
            node.membership.clear_leaving(name)

    def _choose_engine(self):
        return self._random.choice(list(self._world.engines.values()))


def create_rows(generator):
    """Return a sheet that fills the memory, often with new items."""
    names = generator.sample(range(24), 12)
    rows = [
        create_row(f"m{i}", generator.choice([150, 200, 300, 400]))
        for i in names
    ]
    version = generator.choice(["1", "2"])
    rows[0] = create_row("m0-versioned", 200, version=version)
    rows.append(create_adapter("a0", rows[1].name))
    rows.append(create_adapter("a1", rows[2].name))
    return rows


def create_fitting_rows():
    rows = [create_row(f"fit{i}", 200) for i in range(7)]
    rows.append(create_adapter("a0", "fit1"))
    return rows


def run_storm(seed, rounds, fencing, domains=1, vms=3):
    async def scenario(world):
        storm = Storm(world, seed)
        world.sheet.set_rows(create_rows(random.Random(seed)))
        await anyio.sleep(10)
        await storm.rage(rounds)
        await storm.mend()
        rows = create_fitting_rows()
        world.sheet.set_rows(rows)
        keys = {f"{row.name}@{row.version}" for row in rows}
        await world.wait_for(lambda: world.ready() >= keys, 400)

    world = SimulatedCluster(
        seed=seed, fencing=fencing, domains=domains, vms=vms, targets=3
    )
    run_in_virtual_time(world.run, scenario)
    return world


@pytest.mark.parametrize("fencing", list(Fencing))
@pytest.mark.parametrize("seed", range(6))
def test_storm_over_commits_and_cuts_nothing_and_ends(seed, fencing):
    world = run_storm(seed, 30, fencing)
    assert world.over_commits() == 0
    assert sum(e.cut_requests for e in world.engines.values()) == 0


@pytest.mark.soak
@pytest.mark.timeout(3600)
@pytest.mark.parametrize("fencing", list(Fencing))
@pytest.mark.parametrize("seed", range(1000, 1100))
def test_long_storm(seed, fencing):
    domains = 1 + seed % 2
    world = run_storm(seed, 120, fencing, domains, vms=2 + seed % 4)
    assert world.over_commits() == 0
    assert sum(e.cut_requests for e in world.engines.values()) == 0
