"""Log events of the gateway."""

import logging

from dotterelbridge.events import Event


class GatewayEvent(Event):
    """Events 8500 to 8999."""

    REQUEST_ANSWERED = (
        8501,
        logging.INFO,
        "A request got a target's response; the line names the target and its "
        "software version, the number of attempts and the latencies. For a "
        "stream that may be resumed, 'origin' is the version that began it; "
        "'resumes' and 'last_event_id' are what its caller named.",
    )
    REQUEST_REFUSED = (
        8502,
        logging.WARNING,
        "A request was refused and certainly has not run; the line gives "
        "the reason.",
    )
    REQUEST_UNKNOWN = (
        8503,
        logging.WARNING,
        "The gateway answered a request with an error; whether the request "
        "ran at a target is not known.",
    )
    REQUEST_CUT = (
        8504,
        logging.WARNING,
        "A stream broke after it had started and could not be completed; "
        "the caller's connection was closed.",
    )
    CALLER_GONE = (
        8505,
        logging.INFO,
        "The caller disconnected before the response was complete; the "
        "connection to the target was closed, which cancels the request.",
    )
    REQUEST_WAITS = (
        8506,
        logging.INFO,
        "A request waits for an item to be loaded or for a free slot; the "
        "line gives the details.",
    )
    ATTEMPT_FAILED = (
        8507,
        logging.WARNING,
        "An attempt at a target failed; the line says whether the request "
        "may have run there and whether another attempt follows.",
    )
    STREAM_RESUMED = (
        8508,
        logging.INFO,
        "A stream of which the caller already had a part goes on at a target. "
        "'software' and 'origin' are the versions there and where it began.",
    )
    TARGET_EJECTED = (
        8509,
        logging.WARNING,
        "A target reached the limit of consecutive failures. It is probed "
        "after the time that the line names; until then it gets requests "
        "only if no other target can take them.",
    )
    RETRY_BUDGET_SPENT = (
        8510,
        logging.WARNING,
        "A request was not retried because this VM's share of the retry "
        "budget of its service is used up.",
    )
    TARGET_SLOW = (
        8511,
        logging.WARNING,
        "The streams of a target advance more slowly than is usual for its "
        "service; it counts as that many times more loaded.",
    )
    TARGET_NOT_SLOW = (
        8512,
        logging.INFO,
        "The streams of a slow target advance at the usual speed again.",
    )
    KEY_REFUSED = (
        8514,
        logging.WARNING,
        "A request to a route that is not public had no valid key, or this "
        "VM does not know which keys are valid; it has not run. The line "
        "gives the reason, never the key.",
    )
    QUOTA_REFUSED = (
        8515,
        logging.INFO,
        "A request was refused because its team has used its quota, or "
        "because no leader could be asked; it has not run.",
    )
    COST_ACCURACY = (
        8520,
        logging.INFO,
        "What was seen of a service's complete streams as a multiple of what "
        "was predicted: the 10th, 50th and 90th percentile of the time to "
        "the first event, the number of events and the whole time. Written "
        "at most every 10 s for a service.",
    )
