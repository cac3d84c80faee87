"""Baseline policies, kept to compare the demand policy with."""

from dotterelbridge.ids import ItemKind
from dotterelbridge.placement.policy import AcceleratorView
from dotterelbridge.placement.policy import Board
from dotterelbridge.placement.policy import PlacementPolicy
from dotterelbridge.placement.policy import Plan
from dotterelbridge.placement.policy import PlanInput
from dotterelbridge.placement.policy import get_row_key
from dotterelbridge.sheet.rows import SheetRow

URGENCY = (0,)


class StaticPolicy(PlacementPolicy):
    """Spreads copies evenly until memory is full; ignores demand."""

    def plan(self, state: PlanInput) -> Plan:
        board = Board(state)
        _drop_off_sheet(board)
        rows = sorted(
            state.rows, key=lambda r: (r.kind is ItemKind.ADAPTER, r.name)
        )
        for copies in range(1, len(board.open) + 1):
            for row in rows:
                if len(board.copies.get(get_row_key(row), ())) < copies:
                    _load_where_free(board, row)
        _note_unreachable(board)
        return board.plan


class LruPolicy(PlacementPolicy):
    """Loads an item when requests wait for it; evicts the least used."""

    def plan(self, state: PlanInput) -> Plan:
        board = Board(state)
        _drop_off_sheet(board)
        wanted = sorted(
            (r for r in state.rows if state.waiting.get(r.name)),
            key=lambda r: (r.kind is ItemKind.ADAPTER, r.name),
        )
        for row in wanted:
            if board.copies.get(get_row_key(row)):
                continue
            if not _load_where_free(board, row):
                self._evict_for(board, row)
        _note_unreachable(board)
        return board.plan

    def _evict_for(self, board: Board, row: SheetRow) -> None:
        for host in board.find_hosts(row):
            victims = self._choose_victims(board, host, row)
            if victims is None:
                continue
            for key in victims:
                board.add_unload(host.target, key, "least recently used")
            board.add_load(host, row, "requests wait", URGENCY)
            return

    def _choose_victims(
        self, board: Board, host: AcceleratorView, row: SheetRow
    ) -> list[str] | None:
        candidates = sorted(
            (
                key
                for key, copy in host.copies.items()
                if copy.ready
                and not copy.draining
                and copy.item.name != row.base
                and not board.is_needed_by_adapters(host.target, key)
            ),
            key=lambda key: (board.rate(key), key),
        )
        free_mb = board.free_mb[host.target]
        victims = []
        for key in candidates:
            if free_mb >= row.memory_mb:
                break
            victims.append(key)
            free_mb += host.copies[key].item.memory_mb
        return victims if free_mb >= row.memory_mb else None


def _drop_off_sheet(board: Board) -> None:
    for accelerator in board.state.accelerators:
        for key, copy in list(accelerator.copies.items()):
            if key not in board.rows_by_key and not copy.draining:
                board.add_unload(accelerator.target, key, "not on the sheet")


def _load_where_free(board: Board, row: SheetRow) -> bool:
    key = get_row_key(row)
    hosts = [a for a in board.find_hosts(row) if key not in a.copies]
    hosts.sort(key=lambda a: -board.free_mb[a.target])
    for host in hosts:
        if board.free_mb[host.target] >= row.memory_mb:
            board.add_load(host, row, "spread", URGENCY)
            return True
    return False


def _note_unreachable(board: Board) -> None:
    for row in board.state.rows:
        key = get_row_key(row)
        if board.copies.get(key) or key in board.state.elsewhere:
            continue
        board.plan.unreachable[row.name] = "no copy and no room, or no demand"
