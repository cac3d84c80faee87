"""Many VMs that act on the same late reports, and few."""

from collections import Counter
import random

import pytest

from dotterelbridge.gateway.balance import Candidate
from dotterelbridge.gateway.balance import choose_candidate
from dotterelbridge.gateway.balance import find_water_level

REPORTED = (3, 5, 6, 6, 7, 7, 8, 8, 9, 9)
"""Loads of ten engines that hold one busy model."""


def send_from_each(vms, rounds, reported, expected) -> list[int]:
    """Return the loads after each VM has sent some requests."""
    rng = random.Random(1)
    sent = [Counter() for _ in range(vms)]
    loads = list(reported)
    for _ in range(rounds):
        for own in sent:
            candidates = [
                Candidate(level, own[index])
                for index, level in enumerate(reported)
            ]
            chosen = choose_candidate(candidates, vms, expected, rng)
            own[chosen] += 1
            loads[chosen] += 1
    return loads


# Guards against requests that many entry VMs send to the same engine: with
# 57 VMs the one that looked idle got a request of each, refused half of
# them, and the others stood idle.
@pytest.mark.parametrize("vms", [9, 24, 57, 330])
def test_no_engine_gets_a_request_of_every_vm(vms):
    loads = send_from_each(vms, 1, REPORTED, expected=vms)
    mean = sum(loads) / len(loads)
    assert max(loads) <= 1.5 * mean + 2


def test_requests_in_quick_succession_are_spread():
    loads = send_from_each(57, 4, REPORTED, expected=10)
    assert max(loads) <= 1.5 * sum(loads) / len(loads)


def test_a_request_that_comes_alone_goes_to_the_least_loaded():
    assert send_from_each(1, 1, (3, 9, 9), expected=0) == [4, 9, 9]


def test_few_requests_still_go_where_there_is_least():
    loads = send_from_each(3, 1, (1, 9, 9), expected=3)
    assert loads == [4, 9, 9]


def test_one_vm_keeps_engines_level_by_what_it_sent_itself():
    assert send_from_each(1, 12, (0, 0, 0), expected=0) == [4, 4, 4]


@pytest.mark.parametrize(
    ("levels", "amount", "surface"),
    [([2], 3, 5), ([1, 5], 2, 3), ([1, 5], 8, 7), ([4, 0, 0], 4, 2)],
)
def test_an_amount_fills_the_lowest_levels_first(levels, amount, surface):
    assert find_water_level(levels, amount) == surface
