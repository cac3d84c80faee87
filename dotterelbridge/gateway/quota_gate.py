"""Charges the requests of callers to the quotas of their teams."""

from datetime import timedelta

from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.quotas.account import Charge
from dotterelbridge.quotas.account import QuotaAccounts
from dotterelbridge.teams.model import Quota
from dotterelbridge.teams.model import QuotaUnit

_WAIT_SHARE = 0.35
"""Longest wait for credit, as a part of the latency objective."""


class QuotaGate:
    """Charges each request once, before it is routed."""

    def __init__(self, accounts: QuotaAccounts | None) -> None:
        """Create a gate.

        :param accounts: None if quotas are not enforced here.
        """
        self._accounts = accounts

    async def charge(self, call: GatewayCall) -> Charge:
        """Charge a request to its team, if that has a quota.

        :raises QuotaRefused: the request must not run.
        """
        team = call.team
        if self._accounts is None or team is None or team.quota is None:
            return Charge(None)
        return await self._accounts.charge(
            team,
            measure_units(call.request, team.quota),
            timedelta(seconds=_WAIT_SHARE * call.aim_s),
        )


def measure_units(request: GatewayRequest, quota: Quota) -> float:
    """Return what a request counts as."""
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    tokens = request.tokens_in + request.tokens_out
    return float(tokens) if tokens else quota.plain_units
