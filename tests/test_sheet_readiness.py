"""A VM is not ready for callers before it knows the sheet."""

import pytest

from tests.sheet_cluster import make_csv
from tests.sheet_cluster import run_cluster

DOMAINS = {"dublin": 2, "cork": 2}
HOLDERS = ["dublin-0", "dublin-1", "cork-0"]
WITHOUT_DISK = "cork-1"


def find_store(cluster):
    return cluster.stores[WITHOUT_DISK]


def test_new_deployment_is_ready_without_a_sheet():
    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(
            lambda: all(s.is_synced() for s in cluster.stores.values())
        )
        assert cluster.revision(WITHOUT_DISK) == 0

    run_cluster(scenario, DOMAINS, HOLDERS)


@pytest.mark.parametrize("seed", range(5))
def test_restarted_vm_knows_the_sheet_before_it_is_ready(seed):
    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(lambda: cluster.source(WITHOUT_DISK))
        await cluster.submit("dublin-0", 5, make_csv("a"))
        await cluster.wait_in_force(1)
        cluster.stop(WITHOUT_DISK)
        cluster.start(WITHOUT_DISK)
        assert not find_store(cluster).is_synced()
        await cluster.wait_for(find_store(cluster).is_synced)
        assert cluster.revision(WITHOUT_DISK) == 1

    run_cluster(scenario, DOMAINS, HOLDERS, seed=seed)


def test_vm_that_reaches_nobody_is_not_ready():
    async def scenario(cluster):
        cluster.start(WITHOUT_DISK)
        with pytest.raises(TimeoutError):
            await cluster.wait_for(find_store(cluster).is_synced)

    run_cluster(scenario, DOMAINS, HOLDERS)
