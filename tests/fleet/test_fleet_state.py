"""The board: changes since a revision, and lives that never come back."""

import msgspec
import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import FleetUpdate
from dotterelbridge.fleet.records import TargetPhase
from tests.fleet.support import create_target
from tests.fleet.support import key


@pytest.fixture
def board():
    return FleetState(ManualClock())


def test_only_what_changed_is_listed(board):
    board.update([create_target("e1"), create_target("e2")])
    seen = board.revision
    board.update([create_target("e2", held=["m0"])], ["e1"])
    whole, changed, removed = board.list_changes(board.epoch, seen)
    assert not whole
    assert [t.target for t in changed] == ["e2"]
    assert removed == ["e1"]


def test_another_numbering_gets_the_whole_view(board):
    board.update([create_target("e1")])
    whole, changed, _ = board.list_changes("other", 17)
    assert whole
    assert [t.target for t in changed] == ["e1"]


def test_a_leaving_target_never_takes_work_again(board):
    leaving = create_target("e1", phase=TargetPhase.LEAVING)
    board.update([create_target("e1")])
    board.update([leaving])
    board.update([create_target("e1", held=["m0"])])
    assert not board.targets["e1"].takes_new_work


def test_a_target_that_is_gone_is_not_brought_back_by_an_older_view(board):
    board.update([create_target("e1")])
    board.update((), ["e1"])
    board.update([create_target("e1")])
    assert board.targets == {}


def test_a_new_life_under_the_same_name_is_taken(board):
    board.update([create_target("e1")])
    board.update((), ["e1"])
    board.update([create_target("e1", born=2)])
    assert board.targets["e1"].takes_new_work


def test_a_follower_ends_with_the_same_view(board):
    follower = FleetState(ManualClock())
    board.update([create_target("e1"), create_target("e2")])
    board.update(pending_loads={key("m0"): 3.0})
    for _ in range(2):
        whole, changed, removed = board.list_changes(follower.epoch, 0)
        news = FleetUpdate(
            epoch=board.epoch,
            revision=board.revision,
            is_complete=True,
            is_snapshot=whole,
            changed=tuple(changed),
            removed=tuple(removed),
            pending_loads=board.list_pending_loads(),
            detached_ms=0,
            entry_vm_count=1,
        )
        follower.apply(msgspec.convert(msgspec.to_builtins(news), FleetUpdate))
        assert follower.targets == board.targets
        assert follower.find_load_time_left_s(key("m0")) == 3.0
        board.update((), ["e2"])
