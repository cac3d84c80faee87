"""Tests of the account of memory for all connections of a process."""

import pytest

from dotterelbridge.targets.buffer_budget import BufferBudget
from dotterelbridge.targets.errors import AnswerEvicted
from dotterelbridge.targets.memory_account import EvictionClass
from dotterelbridge.targets.memory_account import Holder
from dotterelbridge.targets.memory_account import MemoryAccount

LIMIT = 1600
SHARED_LIMIT = 160_000
IDLE = EvictionClass.IDLE
INCOMPLETE = EvictionClass.INCOMPLETE
KEPT = EvictionClass.KEPT


class FakeHolder(Holder):
    def __init__(self, account, eviction_class, size, idle_since=0.0):
        self.eviction_class = eviction_class
        self.idle_since = idle_since
        self.is_evicted = False
        self._account = account
        account.add(self)
        account.resize(self, size)

    def classify(self):
        return self.eviction_class

    def evict(self, eviction_class):
        self.is_evicted = True
        self._account.resize(self, 0)


def test_longest_idle_holders_go_before_large_ones():
    account = MemoryAccount(LIMIT)
    new = FakeHolder(account, IDLE, 300, idle_since=9.0)
    old = FakeHolder(account, IDLE, 300, idle_since=1.0)
    large = FakeHolder(account, INCOMPLETE, 900)
    FakeHolder(account, INCOMPLETE, 200)
    assert (old.is_evicted, new.is_evicted, large.is_evicted) == (1, 0, 0)
    assert account.used_bytes == 1400


def test_largest_incomplete_holders_go_and_calm_ones_stay():
    account = MemoryAccount(LIMIT)
    calm = FakeHolder(account, KEPT, 900)
    large = FakeHolder(account, INCOMPLETE, 400)
    small = FakeHolder(account, INCOMPLETE, 200)
    growing = FakeHolder(account, INCOMPLETE, 300)
    assert (calm.is_evicted, large.is_evicted) == (False, True)
    assert not small.is_evicted and not growing.is_evicted


def test_only_the_growing_holder_goes_if_all_others_are_served():
    account = MemoryAccount(LIMIT)
    calm = FakeHolder(account, KEPT, 1500)
    growing = FakeHolder(account, INCOMPLETE, 200)
    assert growing.is_evicted and not calm.is_evicted
    account.remove(calm)
    assert account.used_bytes == 0


def test_answers_that_are_received_share_the_account():
    """Without it, answers and requests together exceeded each own limit."""
    account = MemoryAccount(SHARED_LIMIT)
    budget = BufferBudget(SHARED_LIMIT)
    budget.attach(account)
    errors = []
    share = budget.open_share()
    share.start_receiving(errors.append)
    share.resize(90_000)
    FakeHolder(account, INCOMPLETE, 80_000)
    assert len(errors) == 1
    assert account.used_bytes == 80_000
    with pytest.raises(AnswerEvicted):
        share.resize(100_000)
    budget.release(share)
    assert account.used_bytes == 80_000
    assert budget.used_bytes == 0
