"""Demand for models, as the entry VMs see it."""

import abc

import msgspec

from dotterelbridge.ids import ItemName


class ItemDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Demand for one item at one VM since the last reading."""

    arrivals: int = 0
    """Requests that arrived."""
    urgent_arrivals: int = 0
    """Requests of urgent priority among the arrivals."""
    tokens: int = 0
    """Tokens relayed to callers."""
    waiting: int = 0
    """Requests that wait now, for a load or for a free slot."""
    missed: int = 0
    """Requests that were refused or late."""


class DemandSource(abc.ABC):
    """Counts demand on this VM; routing implements it."""

    @abc.abstractmethod
    def read_demand(self) -> dict[ItemName, ItemDemand]:
        """Return the demand since the last call and start anew."""
