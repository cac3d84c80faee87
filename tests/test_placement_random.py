"""Seeded random fault tests of placement.

The actual state of the fake engines shows whether memory was over-committed.
"""

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
"""Plus a freeze and a lease, below ``order_late_limit_s`` of the clusters."""


class FaultInjector:
    """Injects random faults for a number of rounds, then clears them all."""

    def __init__(self, cluster, seed):
        self._cluster = cluster
        self._random = random.Random(seed)

    async def inject_faults(self, rounds):
        for _ in self._cluster.engines:
            await self._change_faults()
        actions = [
            self._restart_vm,
            self._restart_domain,
            self._isolate,
            self._heal,
            self._freeze_holder,
            self._restart_engine,
            self._stop_engine,
            self._change_demand,
            self._change_sheet,
            self._change_sheet,
            self._change_sheet,
            self._change_faults,
            self._change_faults,
            self._mark_leaving,
            self._start_request,
        ]
        for _ in range(rounds):
            action = self._random.choice(actions)
            await action()
            await anyio.sleep(self._random.uniform(0, 12))

    async def clear_faults(self):
        self._cluster.network.restore_links()
        self._cluster.network.conditions.loss_share = 0.0
        for node in self._cluster.nodes.values():
            node.thaw()
        for engine in self._cluster.engines.values():
            engine.faults.__init__()
            engine.up = True
            engine.running.clear()
            await self._clear_leaving(engine.info.target)

    async def _restart_vm(self):
        vm = self._random.choice(sorted(self._cluster.nodes))
        self._cluster.stop(vm)
        await anyio.sleep(self._random.uniform(0, 8))
        self._cluster.start(vm)

    async def _restart_domain(self):
        vms = [v.vm for v in self._cluster.vms if v.failure_domain == "d0"]
        for vm in vms:
            self._cluster.stop(vm)
        await anyio.sleep(self._random.uniform(0, 3))
        for vm in vms:
            self._cluster.start(vm)

    async def _isolate(self):
        vms = sorted(self._cluster.nodes)
        count = self._random.randint(1, len(vms) - 1)
        self._cluster.network.isolate(self._random.sample(vms, count))

    async def _heal(self):
        self._cluster.network.restore_links()

    async def _freeze_holder(self):
        holders = self._cluster.list_holders()
        if not holders:
            return
        node = holders[0]
        node.freeze()
        self._cluster.network.isolate([node.info.vm])
        await anyio.sleep(self._random.uniform(0, FREEZE_MAX_S))
        node.thaw()
        await anyio.sleep(self._random.uniform(0, 2))
        self._cluster.network.restore_links()

    async def _restart_engine(self):
        self._choose_engine().restart()

    async def _stop_engine(self):
        engine = self._choose_engine()
        engine.up = False
        await anyio.sleep(self._random.uniform(0, 20))
        engine.up = True

    async def _change_demand(self):
        names = [
            row.name for row in self._cluster.sheet.get_active_sheet().rows
        ]
        for demand in self._cluster.demand_sources.values():
            chosen = self._random.sample(names, min(3, len(names)))
            demand.arrivals = {
                name: self._random.randint(0, 100) for name in chosen
            }

    async def _change_sheet(self):
        self._cluster.sheet.set_rows(create_rows(self._random))

    async def _change_faults(self):
        faults = self._choose_engine().faults
        faults.lost_share = self._random.choice([0, 0.3])
        faults.late_share = self._random.choice([0, 0.5])
        faults.late_max_s = LATE_MAX_S
        faults.duplicated_share = self._random.choice([0, 0.5])
        faults.answer_lost_share = self._random.choice([0, 0.4])
        faults.refused_share = self._random.choice([0, 0.2])
        faults.load_failed_share = self._random.choice([0, 0.2])
        faults.inventory_lag_s = self._random.choice([0, 2])
        self._cluster.network.conditions.loss_share = self._random.choice(
            [0, 0.1]
        )

    async def _mark_leaving(self):
        name = self._choose_engine().info.target
        node = self._random.choice(list(self._cluster.nodes.values()))
        if self._random.random() < 0.5:
            node.membership.mark_leaving(name)
        else:
            node.membership.clear_leaving(name)

    async def _start_request(self):
        """Start a request, as another VM than the holder would."""
        for node in self._cluster.list_holders()[:1]:
            for view in node.membership.get_targets().values():
                engine = self._cluster.engines[view.info.target]
                ready_keys = sorted(view.ready_items & engine.items.keys())
                if ready_keys and view.takes_new_work:
                    engine.running = {self._random.choice(ready_keys): 1}

    async def _clear_leaving(self, name):
        for node in self._cluster.nodes.values():
            node.membership.clear_leaving(name)

    def _choose_engine(self):
        return self._random.choice(list(self._cluster.engines.values()))


def create_rows(generator):
    """Return the rows of a sheet that fills the memory, many of them new."""
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


def run_with_faults(seed, rounds, fencing, domains=1, vms=3):
    async def scenario(cluster):
        fault_injector = FaultInjector(cluster, seed)
        cluster.sheet.set_rows(create_rows(random.Random(seed)))
        await anyio.sleep(10)
        await fault_injector.inject_faults(rounds)
        await fault_injector.clear_faults()
        rows = create_fitting_rows()
        cluster.sheet.set_rows(rows)
        keys = {f"{row.name}@{row.version}" for row in rows}
        await cluster.wait_for(lambda: cluster.get_ready_items() >= keys, 400)

    cluster = SimulatedCluster(
        seed=seed, fencing=fencing, domains=domains, vms=vms, targets=3
    )
    run_in_virtual_time(cluster.run, scenario)
    return cluster


@pytest.mark.parametrize("fencing", list(Fencing))
@pytest.mark.parametrize("seed", range(6))
def test_random_faults_over_commit_and_abort_nothing(seed, fencing):
    cluster = run_with_faults(seed, 30, fencing)
    assert cluster.count_over_commits() == 0
    assert sum(e.aborted_requests for e in cluster.engines.values()) == 0


@pytest.mark.soak
@pytest.mark.timeout(3600)
@pytest.mark.parametrize("fencing", list(Fencing))
@pytest.mark.parametrize("seed", range(1000, 1100))
def test_random_faults_in_long_runs(seed, fencing):
    domains = 1 + seed % 2
    cluster = run_with_faults(seed, 120, fencing, domains, vms=2 + seed % 4)
    assert cluster.count_over_commits() == 0
    assert sum(e.aborted_requests for e in cluster.engines.values()) == 0
