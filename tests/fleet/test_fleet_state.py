"""Changes since a revision, and incarnations that are never restored."""

import msgspec
import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import FleetUpdate
from dotterelbridge.fleet.records import TargetPhase
from tests.fleet.support import create_target
from tests.fleet.support import key


@pytest.fixture
def fleet_state():
    return FleetState(ManualClock())


def test_only_changes_are_listed(fleet_state):
    fleet_state.update([create_target("e1"), create_target("e2")])
    known_revision = fleet_state.revision
    fleet_state.update([create_target("e2", held=["m0"])], ["e1"])
    is_snapshot, changed, removed = fleet_state.list_changes(
        fleet_state.epoch, known_revision
    )
    assert not is_snapshot
    assert [t.target for t in changed] == ["e2"]
    assert removed == ["e1"]


def test_another_epoch_gets_a_snapshot(fleet_state):
    fleet_state.update([create_target("e1")])
    is_snapshot, changed, _ = fleet_state.list_changes("other", 17)
    assert is_snapshot
    assert [t.target for t in changed] == ["e1"]


def test_a_leaving_target_never_takes_new_work_again(fleet_state):
    leaving = create_target("e1", phase=TargetPhase.LEAVING)
    fleet_state.update([create_target("e1")])
    fleet_state.update([leaving])
    fleet_state.update([create_target("e1", held=["m0"])])
    assert not fleet_state.targets["e1"].takes_new_work


def test_a_removed_target_is_not_restored_by_an_older_state(
    fleet_state,
):
    fleet_state.update([create_target("e1")])
    fleet_state.update((), ["e1"])
    fleet_state.update([create_target("e1")])
    assert fleet_state.targets == {}


def test_a_new_incarnation_with_the_same_name_is_accepted(fleet_state):
    fleet_state.update([create_target("e1")])
    fleet_state.update((), ["e1"])
    fleet_state.update([create_target("e1", born=2)])
    assert fleet_state.targets["e1"].takes_new_work


# Guards against work for a process that has ended, whose address and id its
# successor has, with another software version.
def test_an_older_state_does_not_restore_an_earlier_incarnation(fleet_state):
    fleet_state.update([create_target("e1", software="v1")])
    fleet_state.update([create_target("e1", born=2, software="v2")])
    fleet_state.update([create_target("e1", software="v1")])
    assert fleet_state.targets["e1"].software == "v2"


def test_a_follower_reaches_the_same_state(fleet_state):
    follower = FleetState(ManualClock())
    fleet_state.update([create_target("e1"), create_target("e2")])
    fleet_state.update(pending_loads={key("m0"): 3.0})
    for _ in range(2):
        is_snapshot, changed, removed = fleet_state.list_changes(
            follower.epoch, 0
        )
        update = FleetUpdate(
            epoch=fleet_state.epoch,
            revision=fleet_state.revision,
            is_complete=True,
            is_snapshot=is_snapshot,
            changed=tuple(changed),
            removed=tuple(removed),
            pending_loads=fleet_state.list_pending_loads(),
            detached_ms=0,
            entry_vm_count=1,
        )
        follower.apply(
            msgspec.convert(msgspec.to_builtins(update), FleetUpdate)
        )
        assert follower.targets == fleet_state.targets
        assert follower.find_load_time_left_s(key("m0")) == 3.0
        fleet_state.update((), ["e2"])


def create_update(source, **fields) -> FleetUpdate:
    """Return what a source answers to a VM that knows nothing of it."""
    defaults = {
        "epoch": source.epoch,
        "revision": source.revision,
        "is_complete": True,
        "is_snapshot": True,
        "changed": tuple(source.targets.values()),
        "rate_limits": source.list_rate_limits(),
        "lifted_rate_limits": source.list_lifted_rate_limits(),
        "detached_ms": 0,
        "entry_vm_count": 1,
    }
    return FleetUpdate(**(defaults | fields))


def test_rate_limit_stays_when_its_source_has_restarted(fleet_state):
    # Guards against VMs that send all waiting requests to a limited target
    # when the core has restarted (review/5).
    follower = FleetState(ManualClock())
    fleet_state.update([create_target("e1")], rate_limits={("e1", 1): 2.0})
    follower.apply(create_update(fleet_state))
    restarted = FleetState(ManualClock())
    restarted.update([create_target("e1")])
    follower.apply(create_update(restarted))
    assert follower.rate_limits == {("e1", 1): 2.0}


def test_rate_limit_ends_when_a_source_says_so(fleet_state):
    follower = FleetState(ManualClock())
    fleet_state.update([create_target("e1")], rate_limits={("e1", 1): 2.0})
    follower.apply(create_update(fleet_state))
    fleet_state.update(rate_limits={}, lifted_rate_limits={("e1", 1): 2.0})
    follower.apply(create_update(fleet_state))
    assert follower.rate_limits == {}
    fleet_state.update(rate_limits={("e1", 1): 3.0}, lifted_rate_limits={})
    follower.apply(create_update(fleet_state))
    assert follower.rate_limits == {("e1", 1): 3.0}


@pytest.mark.parametrize("changed", [(), (create_target("e1", born=2),)])
def test_rate_limit_ends_with_its_target(fleet_state, changed):
    follower = FleetState(ManualClock())
    fleet_state.update([create_target("e1")], rate_limits={("e1", 1): 2.0})
    follower.apply(create_update(fleet_state))
    follower.apply(create_update(fleet_state, changed=changed, rate_limits=()))
    assert follower.rate_limits == {}
