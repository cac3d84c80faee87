"""Names of the HTTP headers between callers, the gateway and targets."""

import msgspec

from dotterelbridge.serving.response import HOP_BY_HOP_HEADERS


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Header names in lower case; the defaults are the project's own."""

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"dotterelbridge-deadline"
    """Milliseconds left until the response must be complete."""
    model: bytes = b"dotterelbridge-model"
    """Requested item, as MODEL or MODEL/ADAPTER."""
    tokens: bytes = b"dotterelbridge-tokens"
    """IN,OUT: tokens of the prompt, and the most tokens of the response."""
    length_hint: bytes = b"dotterelbridge-length-hint"
    """Expected tokens of the response, as the caller guesses them."""
    prompt_parts: bytes = b"dotterelbridge-prompt-parts"
    """ID:TOKENS for each part of the prompt, in order."""
    last_event_id: bytes = b"last-event-id"
    """Resumes a stream after the event with this ID."""
    resumes: bytes = b"dotterelbridge-resumes"
    """Beside the last event's ID: ID of the caller's request that got the
    stream's first event. Both are also forwarded to targets."""
    expected_target: bytes = b"dotterelbridge-expected-target"
    """ID of the intended target; any other target refuses the request."""
    urgency: bytes = b"dotterelbridge-urgency"
    """Priority at the target, from 0 (most urgent) to 9."""
    team: bytes = b"dotterelbridge-team"
    """Name of the team whose key the caller sent."""
    not_run: bytes = b"dotterelbridge-not-run"
    """In a response: the target did not run the request."""
    signature: bytes | None = None
    """In a response: proves that a target sent it; None if unused."""
    internal_headers: frozenset[bytes] = frozenset()
    """Headers that callers may not set; they are removed."""

    @property
    def not_forwarded(self) -> frozenset[bytes]:
        """Headers of a caller's request that are not forwarded as received."""
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
