"""Random histories of a group of control VMs with a final fault.

``python -m tests.control_group_trial`` runs many more. The seeds here include
some that failed while an empty VM joined only if one of its seeds led.
"""

import pytest

from tests.control_group_trial import Options
from tests.control_group_trial import run_trial


# Guards against a group that answers no read after a final fault, because a
# VM that is gone, or an empty one that never joined, still counts as a voter.
@pytest.mark.parametrize("seed", [11, 13, 15, 17, 21, 29])
def test_newest_command_is_read_after_a_final_fault(seed):
    assert run_trial(seed).acknowledged


# Guards against VMs that stay empty because their seeds are of no use.
@pytest.mark.parametrize("seed", [1000, 1002, 1009])
def test_empty_vms_join_without_useful_seeds(seed):
    assert run_trial(seed, Options(stale_seeds=True)).acknowledged


# Guards against timeouts that end each election of a busy group.
@pytest.mark.parametrize("seed", [2008, 2016, 2017])
def test_leader_is_found_while_messages_are_slow(seed):
    assert run_trial(seed, Options(slow_ms=(50, 200))).acknowledged
