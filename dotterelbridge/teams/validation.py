"""Checks the teams of a routes document."""

from collections.abc import Iterable
import math
import re

import msgspec

from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.teams.model import Quota
from dotterelbridge.teams.model import Team

_MAX_LENGTH = 256
"""Most characters of a name or key."""
_HEADER_TEXT = re.compile(r"[!-~\xa0-\xff](?:[ -~\xa0-\xff]*[!-~\xa0-\xff])?")
"""Text that a header value carries unchanged: Latin-1 without control
characters, as spaces at either end are removed."""


def check_teams(teams: Iterable[Team]) -> None:
    """Validate the teams of one document; errors never contain a key.

    :raises RoutesInvalid: the document cannot be used.
    """
    teams = tuple(teams)
    entries = _describe_entries(teams)
    entries_by_name: dict[str, str] = {}
    entries_by_key: dict[str, str] = {}
    for team, entry in zip(teams, entries, strict=True):
        _check_text(team.name, f"the name of {entry}")
        if team.name in entries_by_name:
            raise RoutesInvalid(
                f"{entry} has the same name as {entries_by_name[team.name]}",
                "give each team its own name",
            )
        entries_by_name[team.name] = entry
        for key in team.keys:
            _check_text(key, f"a key of {entry}")
            other = entries_by_key.setdefault(key, entry)
            if other != entry:
                raise RoutesInvalid(
                    f"{entry} shares a key with {other}",
                    "give each team its own keys",
                )
        if team.quota is not None:
            _check_quota(team.quota, entry)


def is_header_text(text: str) -> bool:
    """Return whether a header value may carry the text unchanged."""
    return len(text) <= _MAX_LENGTH and bool(_HEADER_TEXT.fullmatch(text))


def drop_unlimited_quotas(teams: Iterable[Team]) -> tuple[Team, ...]:
    """Remove quotas whose rate is 0, which means no limit."""
    return tuple(
        team
        if team.quota is None or team.quota.units_per_s > 0
        else msgspec.structs.replace(team, quota=None)
        for team in teams
    )


def _describe_entries(teams: tuple[Team, ...]) -> list[str]:
    """Return how errors refer to each team.

    By its position, and by its name unless that contains somebody's key.
    """
    keys = {key for team in teams for key in team.keys if key}
    return [
        f"team {number}"
        if any(key in team.name for key in keys)
        else f"team {number} ({team.name[:_MAX_LENGTH]!r})"
        for number, team in enumerate(teams, start=1)
    ]


def _check_text(text: str, what: str) -> None:
    if not text:
        raise RoutesInvalid(f"{what} is empty", "fill it in, or remove it")
    if len(text) > _MAX_LENGTH:
        raise RoutesInvalid(
            f"{what} is longer than {_MAX_LENGTH} characters",
            "use a shorter one",
        )
    if _HEADER_TEXT.fullmatch(text) is None:
        raise RoutesInvalid(
            f"{what} has characters that a header value cannot carry",
            "use Latin-1 characters, without spaces at either end",
        )


def _check_quota(quota: Quota, entry: str) -> None:
    numbers = (quota.units_per_s, quota.burst, quota.plain_units)
    if not all(math.isfinite(n) and n >= 0 for n in numbers):
        raise RoutesInvalid(
            f"a number in the quota of {entry} is negative or not finite",
            "use numbers from 0; a rate of 0 means no limit",
        )
