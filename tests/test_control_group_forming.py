"""Forming a group of control VMs for the first time."""

import anyio
import pytest

from standins.virtual_time import run_in_virtual_time
from tests.control_group_scenario import VMS
from tests.control_group_scenario import create_group
from tests.control_group_scenario import wait_until


# Guards against a group that is never formed, or formed with a VM that is not
# to vote, because seeds were reloaded before the first voter had all replies.
@pytest.mark.parametrize("reloaded", [VMS[1:4], VMS[:4]])
def test_group_forms_of_its_initial_voters_after_seeds_changed(reloaded):
    async def main():
        async with anyio.create_task_group() as tasks:
            group = create_group(tasks)
            seeds = list(VMS[:3])
            for vm in VMS[:2]:
                group.start(vm, seeds, bootstrap=True)
            await anyio.sleep(1)
            seeds[:] = reloaded
            group.start(VMS[3], VMS[:3])
            await anyio.sleep(1)
            group.start(VMS[2], VMS[:3], bootstrap=True)
            await wait_until(lambda: len(group.list_voters()) >= 3)
            assert group.list_voters() == set(VMS[:3])
            await group.network.close()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)
