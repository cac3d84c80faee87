"""Helpers for tests of rate limits and permits."""

from datetime import timedelta
import random

from dotterelbridge.ids import TargetId
from dotterelbridge.permits.issuer import PermitIssuer
from dotterelbridge.permits.limiter import RateLimiter
from dotterelbridge.permits.limiter import create_rate_limiter
from dotterelbridge.permits.messages import PermitReply
from dotterelbridge.permits.messages import PermitRequest
from dotterelbridge.permits.messages import RateLimitNotice
from dotterelbridge.permits.pool import PermitChannel


class IssuerChannel(PermitChannel):
    """Asks an issuer in the same process."""

    is_cut_off = False

    def __init__(self, issuer: PermitIssuer) -> None:
        self.issuer = issuer

        self.notices: list[RateLimitNotice] = []

    async def request(self, request: PermitRequest) -> PermitReply:
        return self.issuer.decide(request)

    def send_notice(self, notice: RateLimitNotice) -> None:
        self.notices.append(notice)


def create_limiter(clock, seed=1) -> RateLimiter:
    """Return the limiter of the only VM, with an issuer of its own."""
    rng = random.Random(seed)
    issuer = PermitIssuer(clock, rng, lambda vm_count: 1.0)
    return create_rate_limiter(IssuerChannel(issuer), lambda: 1, clock, rng)


def create_request(**fields) -> PermitRequest:
    defaults = {
        "target": TargetId("e1"),
        "born": 1,
        "requests_per_s": 1.0,
        "max_wait_ms": 0,
        "vm_count": 1,
    }
    return PermitRequest(**(defaults | fields))


def advance(clock, seconds: float) -> None:
    clock.advance(timedelta(seconds=seconds))
