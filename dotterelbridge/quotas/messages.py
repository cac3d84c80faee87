"""Messages that lease credit from the leader of the log."""

import msgspec

from dotterelbridge.ids import TeamName
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message


class CreditNeed(msgspec.Struct, frozen=True, array_like=True):
    """Credit that one waiting request needs."""

    units: float
    max_wait_ms: int
    """Longest time from now until the credit may become usable."""


class CreditPart(msgspec.Struct, frozen=True, array_like=True):
    """Part of the credit that was issued at one time."""

    units: float
    age_ms: int
    """Time since it was issued."""


class TeamDemand(msgspec.Struct, frozen=True, array_like=True):
    """What VMs need, and give back, for one team."""

    team: TeamName
    needs: tuple[CreditNeed, ...] = ()
    """In the order in which they are to be met."""
    ahead_units: float = 0.0
    """Credit wanted ahead of requests."""
    returned: tuple[CreditPart, ...] = ()
    """Credit that was not used."""
    settled: tuple[CreditPart, ...] = ()
    """Credit ahead of requests that was used or is returned."""
    overdrawn_units: float = 0.0
    """Units that ran without credit while no leader answered."""


class TeamCredit(msgspec.Struct, frozen=True, array_like=True):
    """What the issuer decided for one team."""

    team: TeamName
    waits_ms: tuple[int, ...] = ()
    """For each need, the time until its credit is usable. A negative number
    refuses it and states the time until it might be granted."""
    ahead_units: float = 0.0
    level_units: float = 0.0
    """What the leader's bucket holds afterwards, for the next leader."""


@register_message("quotas.request")
class CreditRequest(Message, frozen=True, kw_only=True, array_like=True):
    """Asks for credit for all teams that need some."""

    demands: tuple[TeamDemand, ...]


@register_message("quotas.reply")
class CreditReply(Message, frozen=True, kw_only=True, array_like=True):
    """Answers a CreditRequest, in the order of its demands."""

    is_available: bool = True
    """False if no leader could be reached."""
    credits: tuple[TeamCredit, ...] = ()
