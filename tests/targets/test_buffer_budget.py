"""Memory for the answers of many targets, some of which do not end."""

import pytest

from dotterelbridge.targets.buffer_budget import BufferBudget
from dotterelbridge.targets.errors import AnswerEvicted

LIMIT = 1000


class Answer:
    """An answer that grows; knows whether it was evicted."""

    def __init__(self, budget: BufferBudget) -> None:
        self.share = budget.open_share()
        self.error = None
        self.share.start_receiving(self._evict)

    def _evict(self, error) -> None:
        self.error = error

    def grow(self, size: int) -> None:
        self.share.resize(self.share.size_bytes + size)


def test_endless_answers_make_room_for_sound_ones():
    # Guards against a VM that runs out of memory by faulty targets.
    budget = BufferBudget(LIMIT)
    endless = [Answer(budget) for _ in range(8)]
    sound = Answer(budget)
    for _ in range(100):
        for answer in endless:
            if answer.error is None:
                try:
                    answer.grow(10)
                except AnswerEvicted:
                    assert answer.error is not None
            assert budget.used_bytes <= LIMIT
        if sound.share.size_bytes < 90:
            sound.grow(1)
    assert sound.error is None
    assert all(answer.error for answer in endless[:-1])


def test_largest_answer_is_evicted_though_another_one_grows():
    budget = BufferBudget(LIMIT)
    large, small = Answer(budget), Answer(budget)
    large.grow(900)
    small.grow(200)
    assert large.error is not None
    assert small.error is None
    assert budget.used_bytes == 200
    with pytest.raises(AnswerEvicted):
        large.grow(1)


def test_complete_answer_is_not_evicted():
    # Guards against an answer that is lost though it has been received.
    budget = BufferBudget(LIMIT)
    complete, other = Answer(budget), Answer(budget)
    complete.grow(900)
    complete.share.finish_receiving()
    with pytest.raises(AnswerEvicted):
        other.grow(200)
    assert complete.error is None


def test_released_answer_frees_its_memory():
    budget = BufferBudget(LIMIT)
    answer = Answer(budget)
    answer.grow(LIMIT)
    budget.release(answer.share)
    assert budget.used_bytes == 0
    Answer(budget).grow(LIMIT)
