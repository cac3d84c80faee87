"""A VM is not ready for callers until it has synchronised the sheet."""

import pytest

from tests.sheet_cluster import make_csv
from tests.sheet_cluster import run_cluster

DOMAINS = {"dublin": 2, "cork": 2}
CONTROL_VMS = ["dublin-0", "dublin-1", "cork-0"]
DISKLESS_VM = "cork-1"


def find_store(cluster):
    return cluster.stores[DISKLESS_VM]


def test_new_deployment_is_ready_without_a_sheet():
    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(
            lambda: all(s.is_synced() for s in cluster.stores.values())
        )
        assert cluster.get_revision(DISKLESS_VM) == 0

    run_cluster(scenario, DOMAINS, CONTROL_VMS)


@pytest.mark.parametrize("seed", range(5))
def test_restarted_vm_has_the_sheet_before_it_is_ready(seed):
    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(lambda: cluster.get_source(DISKLESS_VM))
        await cluster.submit("dublin-0", 5, make_csv("a"))
        await cluster.wait_until_active(1)
        cluster.stop(DISKLESS_VM)
        cluster.start(DISKLESS_VM)
        assert not find_store(cluster).is_synced()
        await cluster.wait_for(find_store(cluster).is_synced)
        assert cluster.get_revision(DISKLESS_VM) == 1

    run_cluster(scenario, DOMAINS, CONTROL_VMS, seed=seed)


def test_vm_that_reaches_nobody_is_not_ready():
    async def scenario(cluster):
        cluster.start(DISKLESS_VM)
        with pytest.raises(TimeoutError):
            await cluster.wait_for(find_store(cluster).is_synced)

    run_cluster(scenario, DOMAINS, CONTROL_VMS)
