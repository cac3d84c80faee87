"""Finds the team to which a key belongs."""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib

from dotterelbridge.teams.model import Team


class TeamDirectory:
    """The teams of a deployment, by the SHA-256 digests of their keys.

    Keys are looked up by digest, so that the time of a lookup says nothing
    about how much of a key is right.
    """

    def __init__(self, by_digest: Mapping[bytes, Team], has_teams: bool):
        self._by_digest = by_digest
        self.has_teams = has_teams
        """Whether callers need keys; also if no team has one."""

    def find(self, key: str) -> Team | None:
        """Return the team that a key belongs to."""
        return self._by_digest.get(_compute_digest(key))


def create_team_directory(teams: Iterable[Team]) -> TeamDirectory:
    """Return a directory of teams with their keys."""
    teams = tuple(teams)
    by_digest = {
        _compute_digest(key): team for team in teams for key in team.keys
    }
    return TeamDirectory(by_digest, has_teams=bool(teams))


def _compute_digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("latin-1")).digest()
