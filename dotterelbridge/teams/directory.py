"""Finds the team to which a key belongs."""

from collections.abc import Iterable
import hashlib

from dotterelbridge.teams.model import Team


class TeamDirectory:
    """The teams of one version of the routes, by their keys.

    Keys are looked up by digest, so that the time of a lookup says nothing
    about how much of a key is right.
    """

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        self._teams = tuple(teams)
        self._by_digest = {
            _compute_digest(key): team
            for team in self._teams
            for key in team.keys
        }

    @property
    def has_teams(self) -> bool:
        """Whether callers need keys; also if no team has one."""
        return bool(self._teams)

    def find(self, key: str) -> Team | None:
        """Return the team that a key belongs to."""
        return self._by_digest.get(_compute_digest(key))


def _compute_digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("latin-1")).digest()
