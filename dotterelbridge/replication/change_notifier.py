"""Wakes all tasks that wait for a state change."""

import anyio


class ChangeNotifier:
    """Wakes waiting tasks; each must check the state again itself."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait for the next notification."""
        await self._event.wait()
