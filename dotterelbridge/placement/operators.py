"""HTTP routes for operators: models, targets, drains and moves."""

from collections.abc import Iterable

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import TargetId
from dotterelbridge.membership.service import Membership
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.membership.view import TargetView
from dotterelbridge.placement.messages import PlacementState
from dotterelbridge.placement.messages import TargetState
from dotterelbridge.placement.service import Placement
from dotterelbridge.sheet.rows import SheetRow

PREFIX = "/operators/v1"


class ModelLine(msgspec.Struct, kw_only=True):
    """One line of ``dotterelbridge models``."""

    name: str
    version: str
    business: str
    kind: str
    reachable: bool
    ready_at: list[TargetId]
    reason: str = ""
    """Why no copy is ready, or why a failure domain has none."""


class TargetLine(msgspec.Struct, kw_only=True):
    """One line of ``dotterelbridge targets``."""

    target: TargetId
    kind: str
    failure_domain: str
    state: str
    running: int
    waiting: int
    items: list[str]
    memory_mb: int | None = None
    """This and the fields below are None while the domain's lease holder
    cannot be reached."""
    committed_mb: int | None = None
    ordered: list[str] | None = None
    fencing: str | None = None
    fencing_number: int | None = None
    overfull: bool = False


class PlacementRoutes:
    """Handlers of the operators' routes."""

    def __init__(self, placement: Placement, membership: Membership) -> None:
        self._placement = placement
        self._membership = membership

    def create_routes(self) -> list[Route]:
        """Return the Starlette routes."""
        drain = f"{PREFIX}/drain/{{name}}"
        return [
            Route(f"{PREFIX}/models", self._list_models),
            Route(f"{PREFIX}/targets", self._list_targets),
            Route(f"{PREFIX}/moves", self._show_moves),
            Route(f"{PREFIX}/moves/pause", self._pause, methods=["POST"]),
            Route(f"{PREFIX}/moves/resume", self._resume, methods=["POST"]),
            Route(drain, self._begin_drain, methods=["POST"]),
            Route(drain, self._end_drain, methods=["DELETE"]),
        ]

    async def _list_models(self, request: Request) -> Response:
        states = await self._placement.fetch_states()
        views = self._membership.get_targets().values()
        ready_at = _index_ready_targets(views)
        rows = self._placement.sheet.rows
        return _create_response(
            [
                _create_model_line(row, ready_at, states)
                for row in rows
                if row.kind is not ItemKind.SERVICE
            ]
        )

    async def _list_targets(self, request: Request) -> Response:
        states = await self._placement.fetch_states()
        target_states = {
            t.target: t for state in states for t in state.targets
        }
        views = self._membership.get_targets()
        return _create_response(
            [
                _create_target_line(view, target_states.get(name))
                for name, view in sorted(views.items())
            ]
        )

    async def _show_moves(self, request: Request) -> Response:
        states = await self._placement.fetch_states()
        return _create_response(
            [
                {
                    "failure_domain": state.domain,
                    "holder": state.holder,
                    "paused": state.paused,
                    "last_move": state.last_move,
                }
                for state in states
            ]
        )

    async def _pause(self, request: Request) -> Response:
        self._placement.set_paused(True)
        return _create_response({"moves": "paused"})

    async def _resume(self, request: Request) -> Response:
        self._placement.set_paused(False)
        return _create_response({"moves": "running"})

    async def _begin_drain(self, request: Request) -> Response:
        return self._change_drain(request, leaving=True)

    async def _end_drain(self, request: Request) -> Response:
        return self._change_drain(request, leaving=False)

    def _change_drain(self, request: Request, *, leaving: bool) -> Response:
        name = request.path_params["name"]
        try:
            if leaving:
                self._membership.mark_leaving(name)
            else:
                self._membership.clear_leaving(name)
        except DotterelbridgeError as error:
            body = {
                "error": {"message": error.problem, "remedy": error.remedy}
            }
            return JSONResponse(body, status_code=404)
        return _create_response({"name": name, "leaving": leaving})


def _index_ready_targets(
    views: Iterable[TargetView],
) -> dict[str, list[TargetId]]:
    ready_at: dict[str, list[TargetId]] = {}
    for view in views:
        if not view.takes_new_work:
            continue
        for key in view.ready_items:
            ready_at.setdefault(key, []).append(view.info.target)
    return ready_at


def _create_model_line(
    row: SheetRow,
    ready_at: dict[str, list[TargetId]],
    states: list[PlacementState],
) -> ModelLine:
    targets = sorted(ready_at.get(f"{row.name}@{row.version}", []))
    return ModelLine(
        name=row.name,
        version=row.version,
        business=row.business,
        kind=row.kind.value,
        reachable=bool(targets),
        ready_at=targets,
        reason=_find_reason(row, bool(targets), states),
    )


def _find_reason(
    row: SheetRow, reachable: bool, states: list[PlacementState]
) -> str:
    reasons = [
        f"{state.domain}: {found[row.name]}"
        for state in states
        for found in (state.unreachable, state.absent)
        if row.name in found
    ]
    if reasons or reachable:
        return "; ".join(reasons)
    if all(state.holder is None for state in states):
        return "no failure domain has a placement lease holder now"
    return "its load is planned or in progress"


def _create_target_line(
    view: TargetView, target_state: TargetState | None
) -> TargetLine:
    line = TargetLine(
        target=view.info.target,
        kind=view.info.kind.value,
        failure_domain=view.info.failure_domain,
        state=view.state.value,
        running=view.running,
        waiting=view.waiting,
        items=sorted(view.ready_items),
    )
    if target_state is None or view.info.kind is TargetKind.SERVICE:
        return line
    return msgspec.structs.replace(
        line,
        memory_mb=target_state.memory_mb,
        committed_mb=target_state.committed_mb,
        ordered=list(target_state.ordered),
        fencing=target_state.fencing,
        fencing_number=target_state.fencing_number,
        overfull=target_state.overfull,
    )


def _create_response(content) -> Response:
    return JSONResponse(msgspec.to_builtins(content))


def create_placement_routes(
    placement: Placement, membership: Membership
) -> list[Route]:
    """Return the routes for the operators' listener."""
    return PlacementRoutes(placement, membership).create_routes()
