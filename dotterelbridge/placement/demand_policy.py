"""The policy that follows demand.

First every item of the sheet gets a copy; then items in demand get more
copies where the gain outweighs the move. Copies are given up only where
their room is needed, the copy with the least demand first, since its
prefix cache is worth least.
"""

from dotterelbridge.ids import ItemKind
from dotterelbridge.placement.policy import PRIORITY_RANKS
from dotterelbridge.placement.policy import AcceleratorView
from dotterelbridge.placement.policy import Board
from dotterelbridge.placement.policy import PlacementPolicy
from dotterelbridge.placement.policy import Plan
from dotterelbridge.placement.policy import PlanInput
from dotterelbridge.placement.policy import get_row_key
from dotterelbridge.placement.settings import PlacementSettings
from dotterelbridge.sheet.rows import SheetRow

MOVE_COST = 0.1
"""Cost of one move with ``move_weight`` 1, in even shares of an
accelerator's demand."""

EXTRA_COPIES_AT_ONCE = 8
"""Extra copies that one plan adds at most; the next plan sees them."""

MAX_LOADS_PER_PLAN = 256
"""Loads that one plan holds at most; the weight store is slower by far."""

SWAP_FACTOR = 2.0
"""An item displaces another's only copy in the domain when its demand is
so many times higher."""


class DemandPolicy(PlacementPolicy):
    """Coverage first, then copies by smoothed demand."""

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings

    def plan(self, state: PlanInput) -> Plan:
        board = Board(state)
        self._drop_unwanted(board)
        self._cover(board)
        self._add_copies(board)
        return board.plan

    # Copies that the sheet does not ask for.

    def _drop_unwanted(self, board: Board) -> None:
        ready_names = self._find_ready_names(board)
        current = {row.name for row in board.state.rows}
        for accelerator in board.state.accelerators:
            if accelerator.leaving:
                continue
            for key, copy in list(accelerator.copies.items()):
                if key in board.rows_by_key or copy.draining:
                    continue
                name = copy.item.name
                replaced = name not in current or name in ready_names
                if replaced and not self._is_base_in_use(
                    board, accelerator, key
                ):
                    board.add_unload(
                        accelerator.target, key, "not on the sheet"
                    )

    def _find_ready_names(self, board: Board) -> set:
        """Return the names whose version on the sheet is ready here."""
        return {
            copy.item.name
            for accelerator in board.state.accelerators
            for key, copy in accelerator.copies.items()
            if key in board.rows_by_key and copy.ready and not copy.draining
        }

    def _is_base_in_use(
        self, board: Board, accelerator: AcceleratorView, key: str
    ) -> bool:
        """Whether an adapter of the sheet uses this version's memory."""
        if not board.is_needed_by_adapters(accelerator.target, key):
            return False
        name = accelerator.copies[key].item.name
        return not any(
            other != key and copy.item.name == name and copy.ready
            for other, copy in accelerator.copies.items()
        )

    # At least one copy of each item.

    def _cover(self, board: Board) -> None:
        for row in self._list_missing(board):
            if len(board.plan.loads) >= MAX_LOADS_PER_PLAN:
                return
            if self._revive(board, row) or self._place(board, row):
                continue
            self._note_absent(board, row)

    def _list_missing(self, board: Board) -> list[SheetRow]:
        missing = [
            row
            for row in board.state.rows
            if len(board.copies.get(get_row_key(row), ()))
            < self._least_copies(board, row)
        ]
        return sorted(missing, key=lambda row: self._rank(board, row))

    def _least_copies(self, board: Board, row: SheetRow) -> int:
        count = max(1, board.state.domain_count)
        spread = -(-row.min_copies // count)
        return min(max(1, spread), max(1, len(board.open)))

    def _rank(self, board: Board, row: SheetRow) -> tuple:
        """Order of coverage: what is nowhere yet and urgent goes first."""
        key = get_row_key(row)
        covered = bool(board.copies.get(key)) or key in board.state.elsewhere
        return (
            covered,
            row.kind is ItemKind.ADAPTER,
            PRIORITY_RANKS[row.priority],
            -board.state.waiting.get(row.name, 0),
            -board.state.rates.get(row.name, 0.0),
            -row.memory_mb,
            row.name,
        )

    def _revive(self, board: Board, row: SheetRow) -> bool:
        key = get_row_key(row)
        for target in board.draining.get(key, ()):
            accelerator = board.accelerators[target]
            copy = accelerator.copies[key]
            if copy.unload_sent or target not in board.open_by_target:
                continue
            if board.free_mb[target] >= copy.item.memory_mb:
                board.free_mb[target] -= copy.item.memory_mb
                board.draining[key].remove(target)
                board.revive(target, key)
                return True
        return False

    def _place(self, board: Board, row: SheetRow) -> bool:
        urgency = (0, *self._rank(board, row))
        roomy = board.find_host_with_room(row)
        if roomy is not None:
            board.add_load(roomy, row, "no copy in the domain", urgency)
            return True
        hosts = board.find_hosts(row)
        for host in hosts:
            victims = self._find_surplus(board, host, row)
            if victims is not None:
                self._swap(board, host, row, victims, urgency)
                return True
        if row.kind is ItemKind.ADAPTER:
            return self._place_with_base(board, row, urgency)
        return self._displace(board, row, hosts, urgency)

    def _swap(
        self,
        board: Board,
        host: AcceleratorView,
        row: SheetRow,
        victims: list[str],
        urgency: tuple,
    ) -> None:
        for key in victims:
            board.add_unload(host.target, key, f"room for {row.name}")
        board.add_load(host, row, "no copy in the domain", urgency)

    def _place_with_base(
        self, board: Board, row: SheetRow, urgency: tuple
    ) -> bool:
        """Load a further copy of the base where the adapter fits too."""
        base = next((r for r in board.state.rows if r.name == row.base), None)
        if base is None:
            return False
        needed_mb = base.memory_mb + row.memory_mb
        for host in board.find_hosts(base):
            if board.free_mb[host.target] >= needed_mb:
                board.add_load(host, base, f"base of {row.name}", urgency)
                board.add_load(host, row, "no copy in the domain", urgency)
                return True
        return False

    def _displace(
        self,
        board: Board,
        row: SheetRow,
        hosts: list[AcceleratorView],
        urgency: tuple,
    ) -> bool:
        """Take the room of an item that other domains still serve.

        An item that no domain serves may also take the room of one with
        little demand that is nowhere else: where the sheet does not fit,
        as in a domain that is cut off, the memory goes to what callers
        ask for.
        """
        key = get_row_key(row)
        rate = board.rate(key)
        if key in board.state.elsewhere:
            served_elsewhere = rate
            served_here_only = 0.0
        else:
            served_elsewhere = float("inf")
            served_here_only = rate
        return self._displace_one(
            board, row, hosts, urgency, True, served_elsewhere
        ) or self._displace_one(
            board, row, hosts, urgency, False, served_here_only
        )

    def _displace_one(
        self,
        board: Board,
        row: SheetRow,
        hosts: list[AcceleratorView],
        urgency: tuple,
        elsewhere: bool,
        worth: float,
    ) -> bool:
        """Swap with an item that is, or is not, served elsewhere."""
        for host in hosts:
            victim = self._find_displaced(board, host, row, elsewhere, worth)
            if victim is not None:
                self._swap(board, host, row, [victim], urgency)
                return True
        return False

    def _find_displaced(
        self,
        board: Board,
        host: AcceleratorView,
        row: SheetRow,
        elsewhere: bool,
        worth: float,
    ) -> str | None:
        candidates = [
            (board.rate(key), key)
            for key, copy in host.copies.items()
            if (key in board.state.elsewhere) is elsewhere
            and (elsewhere or key in board.rows_by_key)
            and self._may_give_up(board, host, key)
            and board.free_mb[host.target] + copy.item.memory_mb
            >= row.memory_mb
        ]
        if not candidates:
            return None
        rate, key = min(candidates)
        return key if worth > SWAP_FACTOR * rate else None

    def _note_absent(self, board: Board, row: SheetRow) -> None:
        key = get_row_key(row)
        if board.copies.get(key):
            return
        reason = self._explain(board, row)
        if key in board.state.elsewhere:
            board.plan.absent[row.name] = reason
        else:
            board.plan.unreachable[row.name] = reason

    def _explain(self, board: Board, row: SheetRow) -> str:
        if not board.open:
            return "no accelerator of the domain takes loads"
        if row.kind is ItemKind.ADAPTER and not board.base_copies.get(
            row.base
        ):
            return f"its base {row.base} has no copy here"
        largest_mb = max(board.free_mb[a.target] for a in board.open)
        return (
            f"needs {row.memory_mb} MB; the most that an accelerator can "
            f"free is {largest_mb} MB"
        )

    # Further copies for items in demand.

    def _add_copies(self, board: Board) -> None:
        total = sum(board.load[a.target] for a in board.open)
        if not board.open or total <= 0:
            return
        even_share = total / len(board.open)
        gains = [
            (self._estimate_gain(board, row, even_share), row)
            for row in board.state.rows
            if self._may_get_copy(board, row)
        ]
        hot = sorted(
            ((gain, row) for gain, row in gains if gain > 0),
            key=lambda pair: (-pair[0], pair[1].name),
        )
        for _, row in hot[:EXTRA_COPIES_AT_ONCE]:
            self._add_copy(board, row, even_share)

    def _may_get_copy(self, board: Board, row: SheetRow) -> bool:
        key = get_row_key(row)
        copies = board.copies.get(key)
        if not copies or len(copies) >= len(board.open):
            return False
        return board.rate_per_copy(key) >= self._settings.copy_rate_per_s

    def _estimate_gain(
        self, board: Board, row: SheetRow, even_share: float
    ) -> float:
        """Return what a further copy relieves, in even shares.

        An item whose copies carry much demand gains by the demand that
        goes over; any item gains by what its accelerators carry above
        the even share.
        """
        copies = board.copies[get_row_key(row)]
        per_copy = board.rate_per_copy(get_row_key(row))
        shifted = per_copy / (len(copies) + 1)
        relief = sum(
            min(shifted, max(0.0, board.load[target] - even_share))
            for target in copies
        )
        limit = even_share * self._settings.copy_load_share
        spread = shifted if per_copy > limit else 0.0
        return max(relief, spread) / even_share

    def _add_copy(
        self, board: Board, row: SheetRow, even_share: float
    ) -> bool:
        key = get_row_key(row)
        count = len(board.copies[key])
        rate = board.rate(key)
        gain = self._estimate_gain(board, row, even_share)
        value = self._settings.attainment_weight * gain
        for host in board.find_hosts(row):
            victims = self._find_room(board, host, row)
            if victims is None:
                continue
            above = board.load[host.target] + rate / (count + 1) - even_share
            if max(0.0, above) / even_share >= gain:
                continue  # It would only move the load on.
            moves = 1 + len(victims)
            cost = self._settings.move_weight * MOVE_COST * moves
            lost = sum(self._worth(board, v) for v in victims) / even_share
            if value <= cost + self._settings.attainment_weight * lost:
                continue
            for victim in victims:
                board.add_unload(host.target, victim, f"room for {row.name}")
            board.add_load(
                host,
                row,
                f"demand of {rate / count:.1f} requests/s a copy",
                (1, PRIORITY_RANKS[row.priority], -gain),
            )
            return True
        return False

    def _find_room(
        self, board: Board, host: AcceleratorView, row: SheetRow
    ) -> list[str] | None:
        if board.free_mb[host.target] >= row.memory_mb:
            return []
        return self._find_surplus(board, host, row)

    def _worth(self, board: Board, key: str) -> float:
        """Return the demand that the other copies would have to carry."""
        count = len(board.copies.get(key, ()))
        if count < 2:
            return board.rate(key)
        return board.rate(key) / (count - 1) - board.rate(key) / count

    def _find_surplus(
        self, board: Board, host: AcceleratorView, row: SheetRow
    ) -> list[str] | None:
        """Return copies on the host to give up, or None if too few."""
        candidates = sorted(
            (
                key
                for key in host.copies
                if self._is_surplus(board, host, key, row)
                and host.copies[key].item.name != row.base
            ),
            key=lambda key: (
                board.rate_per_copy(key),
                -host.copies[key].item.memory_mb,
                key,
            ),
        )
        free_mb = board.free_mb[host.target]
        victims = []
        for key in candidates:
            if free_mb >= row.memory_mb:
                break
            victims.append(key)
            free_mb += host.copies[key].item.memory_mb
        return victims if free_mb >= row.memory_mb else None

    def _is_surplus(
        self, board: Board, host: AcceleratorView, key: str, wanted: SheetRow
    ) -> bool:
        """Whether a copy may make room for the wanted item."""
        if not self._may_give_up(board, host, key):
            return False
        row = board.rows_by_key.get(key)
        if row is None:
            # An old version, which only the new one may push out.
            return host.copies[key].item.name == wanted.name
        ready = sum(
            board.accelerators[t].copies[key].ready
            for t in board.copies.get(key, ())
            if t != host.target
        )
        return ready >= self._least_copies(board, row)

    def _may_give_up(
        self, board: Board, host: AcceleratorView, key: str
    ) -> bool:
        copy = host.copies[key]
        return (
            copy.ready
            and not copy.draining
            and copy.age_s >= self._settings.minimum_residence_s
            and not board.is_needed_by_adapters(host.target, key)
        )
