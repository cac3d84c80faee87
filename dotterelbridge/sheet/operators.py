"""The operators' routes for the sheet."""

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from dotterelbridge.ids import SheetNumber
from dotterelbridge.sheet.faults import SheetInvalid
from dotterelbridge.sheet.parser import format_sheet
from dotterelbridge.sheet.state_machine import SubmitOutcome
from dotterelbridge.sheet.state_machine import SubmitState
from dotterelbridge.sheet.store import SheetStore
from dotterelbridge.sheet.submission import SheetNotAccepted
from dotterelbridge.sheet.submission import SheetOutcomeUnknown

PREFIX = "/operators/v1/sheet"
CSV_TYPE = "text/csv; charset=utf-8"
HIGHEST_NUMBER = 2**62
RETRY_AFTER_S = "2"


class SheetRoutes:
    """Submits and shows the sheet by way of one VM's store."""

    def __init__(self, store: SheetStore) -> None:
        self._store = store

    def routes(self) -> list[Route]:
        """Return the Starlette routes."""
        return [
            Route(PREFIX, self._submit, methods=["PUT"]),
            Route(PREFIX, self._show, methods=["GET"]),
            Route(f"{PREFIX}/status", self._show_status, methods=["GET"]),
        ]

    async def _submit(self, request: Request) -> Response:
        number = _read_number(request)
        if number is None:
            return _create_error(
                400,
                "the sheet has no number",
                "add ?number=N with the number that the planners gave it",
            )
        content = await request.body()
        try:
            outcome = await self._store.submit(number, content)
        except SheetInvalid as error:
            faults = msgspec.to_builtins(error.faults)
            return _create_error(
                422, error.problem, error.remedy, faults=faults
            )
        except SheetNotAccepted as error:
            answer = _create_error(503, error.problem, error.remedy)
            answer.headers["Retry-After"] = RETRY_AFTER_S
            return answer
        except SheetOutcomeUnknown as error:
            return _create_error(504, error.problem, error.remedy)
        return _create_outcome(number, outcome)

    async def _show(self, request: Request) -> Response:
        sheet = self._store.get_active_sheet()
        if request.query_params.get("format") == "csv":
            return Response(format_sheet(sheet.rows), media_type=CSV_TYPE)
        return JSONResponse(msgspec.to_builtins(sheet))

    async def _show_status(self, request: Request) -> Response:
        return JSONResponse(msgspec.to_builtins(await self._store.status()))


def create_sheet_routes(store: SheetStore) -> list[Route]:
    """Return the routes for the operators' listener."""
    return SheetRoutes(store).routes()


def _read_number(request: Request) -> SheetNumber | None:
    text = request.query_params.get("number", "")
    if not (text.isascii() and text.isdigit()):
        return None
    number = int(text)
    return SheetNumber(number) if 0 < number <= HIGHEST_NUMBER else None


def _create_outcome(
    number: SheetNumber, outcome: SubmitOutcome
) -> JSONResponse:
    record = msgspec.to_builtins(outcome)
    if outcome.state is SubmitState.ACCEPTED:
        return JSONResponse(record)
    if outcome.state is SubmitState.CONFLICT:
        return _create_error(
            409,
            f"number {number} is held by another sheet, with SHA-256 "
            f"{outcome.digest}, accepted as revision {outcome.revision}",
            "look at it with 'dotterelbridge sheet show'; submit yours "
            "under a higher number if it is to replace that one",
            outcome=record,
        )
    return _create_error(
        409,
        f"number {number} is stale: number {outcome.number} was accepted "
        f"as revision {outcome.revision}",
        "export the sheet anew and submit it under a higher number",
        outcome=record,
    )


def _create_error(
    status: int, problem: str, remedy: str, **detail: object
) -> JSONResponse:
    error = {"message": problem, "remedy": remedy, **detail}
    return JSONResponse({"error": error}, status_code=status)
