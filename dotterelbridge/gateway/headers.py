"""Names of the headers that callers, this program and targets exchange."""

import msgspec

from dotterelbridge.serving.response import HOP_BY_HOP_HEADERS


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Lower-case names; the defaults are the project's own."""

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"dotterelbridge-deadline"
    """Milliseconds that are left for an answer."""
    model: bytes = b"dotterelbridge-model"
    """MODEL or MODEL/ADAPTER."""
    tokens: bytes = b"dotterelbridge-tokens"
    """IN,OUT: tokens of the prompt, and at most of the answer."""
    prompt_parts: bytes = b"dotterelbridge-prompt-parts"
    """ID:TOKENS for each part of the prompt, in order."""
    last_event_id: bytes = b"last-event-id"
    """Goes on with a stream after the event of this id."""
    expected_target: bytes = b"dotterelbridge-expected-target"
    """Any other target refuses the request."""
    urgency: bytes = b"dotterelbridge-urgency"
    """0 goes first at the target, 9 last."""
    not_run: bytes = b"dotterelbridge-not-run"
    """In an answer: the target did not run the request."""
    signature: bytes | None = None
    """In an answer: proves that a target made it; None where none does."""
    internal_headers: frozenset[bytes] = frozenset()
    """Headers that only this program may set."""

    @property
    def dropped(self) -> frozenset[bytes]:
        """What is not passed on from a caller as it came."""
        return (
            HOP_BY_HOP_HEADERS
            | self.internal_headers
            | {
                b"host",
                b"expect",
                self.request_id,
                self.deadline_ms,
                self.expected_target,
                self.urgency,
                self.not_run,
            }
            | ({self.signature} if self.signature else set())
        )
