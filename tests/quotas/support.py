"""Builders for tests of quotas."""

from datetime import timedelta
import random

import anyio

from dotterelbridge.errors import PeerUnreachable
from dotterelbridge.ids import TeamName
from dotterelbridge.quotas.account import QuotaAccounts
from dotterelbridge.quotas.channel import CreditChannel
from dotterelbridge.quotas.issuer import CreditIssuer
from dotterelbridge.quotas.messages import CreditReply
from dotterelbridge.quotas.settings import QuotasSettings
from dotterelbridge.teams.model import Quota
from dotterelbridge.teams.model import QuotaUnit
from dotterelbridge.teams.model import Team
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time

SETTINGS = QuotasSettings(slack_units=0)
MAX_WAIT = timedelta(milliseconds=100)
_TIMEOUT_S = 0.35


def create_team(rate=100.0, burst=100.0, name="a", **fields) -> Team:
    quota = Quota(
        units_per_s=rate, burst=burst, unit=QuotaUnit.TOKENS, **fields
    )
    return Team(name=TeamName(name), quota=quota)


class IssuerChannel(CreditChannel):
    """Asks an issuer in the same process."""

    def __init__(self, clock, teams, settings=SETTINGS) -> None:
        self.teams = {team.name: team for team in teams}
        self.requests = []
        self.delay_s = 0.01
        self.is_faulty = False
        self.issuer = CreditIssuer(
            clock,
            settings,
            lambda name: self.teams[name].quota,
            lambda name: name in self.teams,
        )

    async def request(self, request):
        self.requests.append(request)
        if self.is_faulty:
            await anyio.sleep(_TIMEOUT_S)
            raise PeerUnreachable("no answer", "try again")
        await anyio.sleep(self.delay_s / 2)
        credits = tuple(map(self.issuer.decide, request.demands))
        await anyio.sleep(self.delay_s / 2)
        return CreditReply(credits=credits)


def run_accounts(check, *teams, vm_count=1, settings=SETTINGS):
    """Run a check with one VM's accounts and the channel to the issuer."""

    async def run():
        clock = LoopClock(offset_s=1000.0)
        channel = IssuerChannel(clock, teams, settings)
        accounts = QuotaAccounts(
            channel, lambda: vm_count, clock, random.Random(1)
        )
        async with anyio.create_task_group() as group:
            group.start_soon(accounts.run)
            await anyio.sleep(10)
            await check(accounts, channel)
            group.cancel_scope.cancel()

    run_in_virtual_time(run)
