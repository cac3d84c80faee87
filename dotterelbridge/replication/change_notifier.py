"""A notice that wakes all tasks that wait for a change."""

import anyio


class ChangeNotifier:
    """Wakes waiters; they look at the state again by themselves."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait for the next notice."""
        await self._event.wait()
