"""Permits are issued one after the other, at the rate of the limit."""

import random

import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.permits.issuer import MAX_ADVANCE_S
from dotterelbridge.permits.issuer import PermitIssuer
from dotterelbridge.permits.messages import PermitVerdict
from tests.permits.support import advance
from tests.permits.support import create_request


def create_issuer(share=1.0, seed=1):
    clock = ManualClock(1000.0)
    issuer = PermitIssuer(clock, random.Random(seed), lambda vm_count: share)
    return clock, issuer


def test_permits_are_an_interval_apart():
    _, issuer = create_issuer()
    request = create_request(requests_per_s=2.0, max_wait_ms=1500)
    replies = [issuer.decide(request) for _ in range(5)]
    assert [r.wait_ms for r in replies] == [0, 500, 1000, 1500, 2000]
    assert [r.verdict for r in replies[-2:]] == [
        PermitVerdict.GRANTED,
        PermitVerdict.DENIED,
    ]


def test_denied_request_takes_no_place():
    clock, issuer = create_issuer()
    issuer.decide(create_request(requests_per_s=2.0))
    assert issuer.decide(create_request(requests_per_s=2.0)).wait_ms == 500
    advance(clock, 0.5)
    reply = issuer.decide(create_request(requests_per_s=2.0))
    assert reply.verdict is PermitVerdict.GRANTED


def test_targets_and_their_incarnations_have_places_of_their_own():
    _, issuer = create_issuer()
    for fields in ({}, {"born": 2}, {"target": "e2"}):
        assert issuer.decide(create_request(**fields)).wait_ms == 0


# Guards against capacity that piles up while nothing is sent.
def test_unused_capacity_is_not_saved():
    clock, issuer = create_issuer()
    request = create_request(requests_per_s=1.0)
    issuer.decide(request)
    advance(clock, 30)
    verdicts = [issuer.decide(request).verdict for _ in range(3)]
    assert verdicts.count(PermitVerdict.GRANTED) == 1


def test_limit_that_is_lowered_or_raised_counts_from_the_last_permit():
    clock, issuer = create_issuer()
    issuer.decide(create_request(requests_per_s=0.05))
    advance(clock, 1)
    assert issuer.decide(create_request(requests_per_s=1.0)).wait_ms == 0
    advance(clock, 1)
    assert issuer.decide(create_request(requests_per_s=0.5)).wait_ms == 1000


# Guards against two leaders that issue permits for the same time.
def test_new_issuer_waits_for_its_predecessor():
    _, issuer = create_issuer()
    issuer.wait_for_predecessor()
    reply = issuer.decide(create_request(max_wait_ms=5000))
    assert reply.wait_ms == MAX_ADVANCE_S * 1000


def test_permits_are_not_issued_far_ahead():
    _, issuer = create_issuer()
    request = create_request(requests_per_s=1.0, max_wait_ms=60_000)
    verdicts = [issuer.decide(request).verdict for _ in range(10)]
    assert verdicts.count(PermitVerdict.GRANTED) == MAX_ADVANCE_S + 1


def test_issuer_hands_out_its_share_only():
    clock, issuer = create_issuer(share=0.75)
    request = create_request(requests_per_s=4.0)
    granted = 0
    for _ in range(1000):
        reply = issuer.decide(request)
        granted += reply.verdict is PermitVerdict.GRANTED
        advance(clock, 0.01)
    assert granted == pytest.approx(10 * 4.0 * 0.75, abs=1)


def test_issuer_without_a_share_issues_nothing():
    _, issuer = create_issuer(share=0.0)
    verdict = issuer.decide(create_request()).verdict
    assert verdict is PermitVerdict.UNAVAILABLE


# Guards against a permit ready at each of many VMs after a pause.
def test_issuers_with_small_shares_spread_their_permits():
    vm_count = 194
    granted = 0
    for seed in range(vm_count):
        clock, issuer = create_issuer(1 / vm_count, seed)
        advance(clock, 600)
        request = create_request(requests_per_s=2.9)
        granted += issuer.decide(request).verdict is PermitVerdict.GRANTED
    assert granted <= 2
