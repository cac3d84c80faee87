"""Ends a request's work once its caller is gone."""

import anyio


async def run_until_disconnect(receive, run) -> None:
    """Run, or cancel the run once the caller's connection is gone."""
    failure: list[Exception] = []
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_hang_up, receive, group.cancel_scope)
        try:
            await run()
        except Exception as error:
            # Kept out of the group, which would wrap it.
            failure.append(error)
        group.cancel_scope.cancel()
    if failure:
        raise failure[0]


async def _watch_hang_up(receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
