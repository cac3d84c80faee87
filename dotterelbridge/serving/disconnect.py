"""Cancels the work on a request when its caller disconnects."""

import anyio


async def run_until_disconnect(receive, run) -> None:
    """Run a coroutine; cancel it if the caller disconnects."""
    failure: list[Exception] = []
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
        try:
            await run()
        except Exception as error:
            # Kept out of the task group, which would wrap it.
            failure.append(error)
        group.cancel_scope.cancel()
    if failure:
        raise failure[0]


async def _cancel_on_disconnect(receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
