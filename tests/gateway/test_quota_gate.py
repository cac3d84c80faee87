"""Tests of charging the requests of callers to quotas."""

import msgspec
import pytest

from dotterelbridge.gateway.quota_gate import measure_units
from dotterelbridge.teams.model import Quota
from dotterelbridge.teams.model import QuotaUnit
from standins.virtual_time import run_in_virtual_time
from tests.gateway.test_router import RouterHarness


@pytest.mark.parametrize(
    ("unit", "tokens", "units"),
    [
        (QuotaUnit.TOKENS, (1460, 80), 1540),
        (QuotaUnit.TOKENS, (0, 0), 200),
        (QuotaUnit.REQUESTS, (1460, 80), 1),
    ],
)
def test_units_of_a_request(unit, tokens, units):
    """Guards against requests without token counts that count as nothing."""

    async def main():
        call = RouterHarness().create_call()
        return call.request

    request = run_in_virtual_time(main)
    request = msgspec.structs.replace(
        request, tokens_in=tokens[0], tokens_out=tokens[1]
    )
    quota = Quota(units_per_s=10, burst=10, unit=unit, plain_units=200)
    assert measure_units(request, quota) == units
