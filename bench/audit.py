"""Figures of a replay, from the callers and from what the targets ran."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
import msgspec

from bench.callers import Outcome
from bench.callers import Reply
from bench.deployment import Deployment
from bench.trace import Call
from dotterelbridge.ids import Priority

MICROSECONDS = 1_000_000
LONGEST_US = 300 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)

Figures = dict[str, float]


def read_facts(deployment: Deployment) -> Iterator[dict]:
    """Yield what all targets recorded, also in lives that were killed."""
    for target in deployment.targets:
        path = deployment.truth_file(target)
        if path.exists():
            for line in path.read_bytes().splitlines():
                yield msgspec.json.decode(line)


def audit(deployment: Deployment, replies: list[Reply]) -> Figures:
    """Return all figures but those of sheets and processes."""
    facts = list(read_facts(deployment))
    runs = Counter(fact["run"] for fact in facts if "run" in fact)
    return {
        **audit_answers(replies, runs),
        **audit_targets(facts),
        **measure_attainment(replies, len(deployment.engines)),
        **measure_delays(replies),
    }


def audit_answers(replies: list[Reply], runs: Counter[str]) -> Figures:
    """Compare what callers were told with what the targets ran."""
    outcomes = Counter(reply.outcome for reply in replies)
    broken = [r for r in replies if r.outcome is Outcome.BROKEN]
    bookings = [r for r in replies if r.request.call is Call.SERVICE]
    refused = [r for r in replies if r.outcome is Outcome.REFUSED]
    return {
        "requests": len(replies),
        "broken_streams": sum(not r.entry_killed for r in broken),
        "broken_with_killed_vm": sum(r.entry_killed for r in broken),
        "wrong_answers": outcomes[Outcome.WRONG],
        "refused": len(refused),
        "failed": outcomes[Outcome.FAILED],
        "no_answer": outcomes[Outcome.LOST],
        "false_refusals": sum(
            runs[r.marker] > 0 for r in refused if r.sends == 1
        ),
        "double_runs": sum(runs[r.marker] > 1 for r in bookings),
        "bookings_lost": sum(
            r.outcome is Outcome.WHOLE and runs[r.marker] == 0
            for r in bookings
        ),
    }


def audit_targets(facts: list[dict]) -> Figures:
    """Return what the stand-ins saw go wrong, and the moves."""
    offers = [f.get("offer_after_leaving_s", 0.0) for f in facts]
    actions = Counter(f["action"] for f in facts if "action" in f)
    return {
        "over_commits": sum("over_commit" in f for f in facts),
        "streams_cut_by_unload": sum(
            f.get("streams_cut_by_unload", 0) for f in facts
        ),
        "latest_offer_after_leaving_s": max(offers, default=0.0),
        "loads": actions["load"],
        "unloads": actions["unload"],
        "moves": actions["load"] + actions["unload"],
    }


def measure_attainment(replies: list[Reply], engines: int) -> Figures:
    """Return the requests that met their deadline."""
    judged = [r for r in replies if r.outcome is not Outcome.HUNG_UP]
    figures = {
        "attained_per_accelerator": sum(r.met for r in judged) / engines,
        "attainment_percent": count_percent(judged),
    }
    for priority in Priority:
        share = [r for r in judged if r.request.priority is priority]
        figures[f"{priority.value}_percent"] = count_percent(share)
    return figures


def count_percent(replies: list[Reply]) -> float:
    """Return the share that met its deadline; 100 for none."""
    if not replies:
        return 100.0
    return 100.0 * sum(reply.met for reply in replies) / len(replies)


def measure_delays(replies: list[Reply]) -> Figures:
    """Return percentiles of first token and token gaps, in ms."""
    whole = [r for r in replies if r.outcome is Outcome.WHOLE]
    chats = [r for r in whole if r.request.call is Call.CHAT]
    calls = [r for r in whole if r.request.call is Call.SERVICE]
    gaps = (gap for reply in chats for gap in reply.gaps_s)
    figures = {
        **percentiles("service", [r.first_token_s for r in calls]),
        **percentiles("token_gap", gaps),
    }
    for priority in Priority:
        first = [
            r.first_token_s for r in chats if r.request.priority is priority
        ]
        figures |= percentiles(f"first_token_{priority.value}", first)
    return figures


def percentiles(name: str, values_s: Iterable[float]) -> Figures:
    """Return p50, p95 and p99 in milliseconds, for values in seconds."""
    histogram = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    for value in values_s:
        histogram.record_value(max(1, int(value * MICROSECONDS)))
    if not histogram.get_total_count():
        return {}
    return {
        f"{name}_p{p}_ms": histogram.get_value_at_percentile(p) / 1000
        for p in PERCENTILES
    }
