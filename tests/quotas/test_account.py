"""How an entry VM charges requests to the credit that it leases."""

from datetime import timedelta

import anyio
import pytest

from dotterelbridge.quotas.account import QuotaAccounts
from dotterelbridge.quotas.errors import QuotaExceeded
from dotterelbridge.quotas.errors import QuotaUnavailable
from dotterelbridge.teams.model import Team
from tests.quotas.support import MAX_WAIT
from tests.quotas.support import create_team
from tests.quotas.support import run_accounts

TEAM = create_team()
BUCKET = 145


async def drain(accounts: QuotaAccounts, team=TEAM) -> int:
    """Charge requests of one unit until one is refused."""
    count = 0
    while True:
        try:
            await accounts.charge(team, 1, timedelta(0) + MAX_WAIT / 5)
        except QuotaExceeded:
            return count
        count += 1


def test_request_of_a_team_without_quota_does_not_wait():
    async def check(accounts, channel):
        charge = await accounts.charge(Team(name="b"), 1e9, MAX_WAIT)
        charge.refund()
        assert not channel.requests

    run_accounts(check, TEAM)


def test_request_waits_for_credit():
    async def check(accounts, channel):
        charge = await accounts.charge(TEAM, 50, MAX_WAIT)
        assert charge.waited_s == pytest.approx(channel.delay_s)

    run_accounts(check, TEAM)


def test_request_over_the_quota_is_refused_with_the_time_to_return():
    async def check(accounts, channel):
        await accounts.charge(TEAM, 140, MAX_WAIT)
        with pytest.raises(QuotaExceeded) as caught:
            await accounts.charge(TEAM, 100, MAX_WAIT)
        assert 0.8 < caught.value.retry_after.total_seconds() < 1.5

    run_accounts(check, TEAM)


# Requests of a VM must not overtake each other while they wait.
def test_waiting_requests_are_served_in_order():
    async def check(accounts, channel):
        served = []

        async def charge(number, units):
            await accounts.charge(TEAM, units, timedelta(seconds=1))
            served.append(number)

        await accounts.charge(TEAM, 140, MAX_WAIT)
        async with anyio.create_task_group() as group:
            for number, units in enumerate((8, 1, 6, 1)):
                group.start_soon(charge, number, units)
                await anyio.sleep(0.001)
        assert served == [0, 1, 2, 3]

    run_accounts(check, TEAM)


# Retries of one VM at the same place would be charged again without it.
def test_refunded_credit_serves_the_next_request():
    async def check(accounts, channel):
        charge = await accounts.charge(TEAM, 145, MAX_WAIT)
        charge.refund()
        charge.refund()
        assert (await accounts.charge(TEAM, 145, MAX_WAIT)).waited_s == 0
        with pytest.raises(QuotaExceeded):
            await accounts.charge(TEAM, 145, MAX_WAIT)

    run_accounts(check, TEAM)


def test_refunded_credit_returns_to_the_leader():
    async def check(accounts, channel):
        charge = await accounts.charge(TEAM, BUCKET, MAX_WAIT)
        charge.refund()
        await anyio.sleep(0.6)
        demands = [d for r in channel.requests for d in r.demands]
        assert sum(c.units for d in demands for c in d.returned) == BUCKET
        held = accounts.dump()["teams"]["a"]["held"]
        assert held == 0

    run_accounts(check, TEAM)


# A paused VM would otherwise spend, at any later time, credit that the
# leader has counted long before.
def test_credit_of_a_paused_vm_expires():
    async def check(accounts, channel):
        charge = await accounts.charge(TEAM, BUCKET, MAX_WAIT)
        charge.refund()
        accounts._clock._offset_s += 60
        channel.is_faulty = True
        with pytest.raises(QuotaUnavailable):
            await accounts.charge(TEAM, BUCKET, MAX_WAIT)

    run_accounts(check, TEAM, vm_count=1000)


# Without a bound, VMs that are cut off would each use the whole quota.
def test_vm_that_is_cut_off_uses_its_share_for_some_seconds():
    async def check(accounts, channel):
        channel.is_faulty = True
        used, refused_at = 0, None
        for tick in range(800):
            try:
                await accounts.charge(TEAM, 1, timedelta(milliseconds=1))
            except QuotaUnavailable as error:
                assert error.retry_after < timedelta(seconds=1)
            else:
                used += 1
                refused_at = tick
            await anyio.sleep(0.009)
        share = TEAM.quota.units_per_s / 10
        assert used <= share * 4.5
        assert used >= share
        assert refused_at < 500
        channel.is_faulty = False
        await anyio.sleep(0.6)
        await accounts.charge(TEAM, 1, MAX_WAIT)

    run_accounts(check, TEAM, vm_count=10)


# What ran without credit is reported, even if the first report is lost.
def test_overdraft_is_reported_until_it_is_answered():
    async def check(accounts, channel):
        channel.is_faulty = True
        with pytest.raises(QuotaUnavailable):
            await accounts.charge(TEAM, BUCKET, MAX_WAIT)
        await anyio.sleep(1)
        await accounts.charge(TEAM, 1, MAX_WAIT)
        await anyio.sleep(1)
        channel.is_faulty = False
        await anyio.sleep(1)
        reports = [
            demand.overdrawn_units
            for request in channel.requests
            for demand in request.demands
            if demand.overdrawn_units
        ]
        assert len(reports) >= 2
        assert accounts.dump()["teams"]["a"]["overdrawn"] == 0
        assert accounts.dump()["unanswered_s"] == 0

    run_accounts(check, TEAM)


# Many VMs that each hold credit would leave nothing for the others.
def test_rare_requests_ask_for_nothing_ahead():
    async def check(accounts, channel):
        for _ in range(10):
            await accounts.charge(TEAM, 20, MAX_WAIT)
            await anyio.sleep(2)
        demands = [d for r in channel.requests for d in r.demands]
        assert not any(demand.ahead_units for demand in demands)

    run_accounts(check, TEAM)


def test_frequent_requests_mostly_find_credit():
    async def check(accounts, channel):
        waited = 0
        for _ in range(1000):
            charge = await accounts.charge(TEAM, 1, MAX_WAIT)
            waited += charge.waited_s > 0
            await anyio.sleep(0.02)
        assert waited < 300

    run_accounts(check, TEAM)


def test_cancelled_request_gives_its_credit_to_the_next_one():
    async def check(accounts, channel):
        with anyio.move_on_after(channel.delay_s / 2):
            await accounts.charge(TEAM, BUCKET, MAX_WAIT)
        await anyio.sleep(channel.delay_s)
        await accounts.charge(TEAM, BUCKET, MAX_WAIT)

    run_accounts(check, TEAM)
