"""Demand for models and adapters, as measured on the entry VMs."""

import abc

import msgspec

from dotterelbridge.ids import ItemName


class ItemDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Demand for one item on one VM since the last read."""

    arrivals: int = 0
    """Requests that arrived."""
    urgent_arrivals: int = 0
    """Requests of urgent priority among the arrivals."""
    tokens: int = 0
    """Tokens relayed to callers."""
    waiting: int = 0
    """Requests that are waiting now for a load or a free slot."""
    missed: int = 0
    """Requests that were refused or late."""


class DemandSource(abc.ABC):
    """Measures the demand on this VM; implemented by routing."""

    @abc.abstractmethod
    def read_demand(self) -> dict[ItemName, ItemDemand]:
        """Return the demand since the last call and reset the counters."""
