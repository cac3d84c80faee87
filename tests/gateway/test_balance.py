"""Tests of load balancing by few and many VMs with the same late reports."""

from collections import Counter
import random

import pytest

from dotterelbridge.gateway.balance import Candidate
from dotterelbridge.gateway.balance import choose_candidate
from dotterelbridge.gateway.balance import find_water_level

REPORTED_LOADS = (3, 5, 6, 6, 7, 7, 8, 8, 9, 9)
"""Loads of ten engines that hold the same busy model."""


def simulate_requests(
    vm_count, requests_per_vm, reported_loads, expected_requests
) -> list[int]:
    """Return the loads after each VM has sent some requests."""
    rng = random.Random(1)
    sent_by_vm = [Counter() for _ in range(vm_count)]
    loads = list(reported_loads)
    for _ in range(requests_per_vm):
        for sent in sent_by_vm:
            candidates = [
                Candidate(load, sent[index])
                for index, load in enumerate(reported_loads)
            ]
            chosen = choose_candidate(
                candidates, vm_count, expected_requests, rng
            )
            sent[chosen] += 1
            loads[chosen] += 1
    return loads


# Guards against a herd effect: 57 entry VMs all sent a request to the engine
# that was reported as idle. It refused half of them, and the other engines
# stayed idle.
@pytest.mark.parametrize("vm_count", [9, 24, 57, 330])
def test_vms_do_not_all_choose_the_same_engine(vm_count):
    loads = simulate_requests(
        vm_count, 1, REPORTED_LOADS, expected_requests=vm_count
    )
    mean = sum(loads) / len(loads)
    assert max(loads) <= 1.5 * mean + 2


def test_bursts_of_requests_are_spread():
    loads = simulate_requests(57, 4, REPORTED_LOADS, expected_requests=10)
    assert max(loads) <= 1.5 * sum(loads) / len(loads)


def test_single_request_goes_to_least_loaded_engine():
    assert simulate_requests(1, 1, (3, 9, 9), expected_requests=0) == [4, 9, 9]


def test_few_requests_go_to_least_loaded_engine():
    loads = simulate_requests(3, 1, (1, 9, 9), expected_requests=3)
    assert loads == [4, 9, 9]


def test_single_vm_balances_load_by_its_own_requests():
    assert simulate_requests(1, 12, (0, 0, 0), expected_requests=0) == [
        4,
        4,
        4,
    ]


@pytest.mark.parametrize(
    ("loads", "requests", "water_level"),
    [([2], 3, 5), ([1, 5], 2, 3), ([1, 5], 8, 7), ([4, 0, 0], 4, 2)],
)
def test_water_filling_starts_with_lowest_loads(loads, requests, water_level):
    assert find_water_level(loads, requests) == water_level
