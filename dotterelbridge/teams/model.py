"""Teams as operators declare them."""

import enum

import msgspec

from dotterelbridge.ids import TeamName


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(msgspec.Struct, frozen=True, kw_only=True):
    """What a team may use, over all entry VMs together."""

    units_per_s: float
    burst: float
    """Units that may be used at once, beyond the rate."""
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_units: float = 1.0
    """What a request without token counts counts as."""


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A customer, whose callers send one of its keys."""

    name: TeamName
    keys: tuple[str, ...] = ()
    rank: int | None = None
    """Replaces the rank of routes; 0 is the highest."""
    quota: Quota | None = None
    """None if the team's use is not limited."""

    def __repr__(self) -> str:
        """Return a description without the keys, which stay out of logs."""
        return f"Team(name={self.name!r}, rank={self.rank})"
