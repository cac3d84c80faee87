"""Counts the demand of this VM's callers per item."""

from collections import Counter

from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.placement.demand import ItemDemand


class DemandCounter:
    """Arrivals, tokens and missed requests of each item since last read."""

    def __init__(self) -> None:
        self._arrivals: Counter[ItemName] = Counter()
        self._urgent: Counter[ItemName] = Counter()
        self._tokens: Counter[ItemName] = Counter()
        self._missed: Counter[ItemName] = Counter()

    def record_arrival(self, item: ItemName, priority: Priority) -> None:
        """Count a request."""
        self._arrivals[item] += 1
        if priority is Priority.URGENT:
            self._urgent[item] += 1

    def record_tokens(self, item: ItemName, count: int) -> None:
        """Count relayed tokens."""
        if count:
            self._tokens[item] += count

    def record_missed(self, item: ItemName) -> None:
        """Count a request that was refused or missed its deadline."""
        self._missed[item] += 1

    def read_and_reset(
        self, waiting: dict[ItemName, int]
    ) -> dict[ItemName, ItemDemand]:
        """Return the counts since the last call and reset them.

        :param waiting: number of queued requests of each item.
        """
        items = (
            self._arrivals.keys()
            | self._tokens.keys()
            | self._missed.keys()
            | waiting.keys()
        )
        demand = {
            item: ItemDemand(
                arrivals=self._arrivals[item],
                urgent_arrivals=self._urgent[item],
                tokens=self._tokens[item],
                waiting=waiting.get(item, 0),
                missed=self._missed[item],
            )
            for item in items
        }
        for counts in (
            self._arrivals,
            self._urgent,
            self._tokens,
            self._missed,
        ):
            counts.clear()
        return demand
