"""Decides what a stream has to go on at, from what VMs know of it."""

from collections.abc import Collection
from collections.abc import Iterable

import msgspec

from dotterelbridge.ids import ItemName
from dotterelbridge.resumption.instruments import LookupOutcome
from dotterelbridge.resumption.messages import ServiceHistory
from dotterelbridge.resumption.messages import StreamAnswer
from dotterelbridge.resumption.recorder import StreamOrigin


class Verdict(msgspec.Struct, frozen=True):
    """The origin of a stream, if it may go on, and how it was found."""

    origin: StreamOrigin | None
    outcome: LookupOutcome


def combine_answers(answers: Iterable[StreamAnswer]) -> StreamAnswer:
    """Return all that the VMs know together."""
    answers = list(answers)
    origins = {a.origin for a in answers if a.origin is not None}
    is_conflicting = len(origins) > 1 or any(
        answer.is_conflicting for answer in answers
    )
    histories: dict[ItemName, ServiceHistory] = {}
    for answer in answers:
        for history in answer.histories:
            known = histories.get(history.service)
            histories[history.service] = (
                history
                if known is None
                else _combine_histories(known, history)
            )
    origin = next(iter(origins)) if len(origins) == 1 else None
    return StreamAnswer(
        service=None if origin is None else origin.service,
        software=None if origin is None else origin.software,
        is_conflicting=is_conflicting,
        histories=tuple(histories.values()),
    )


def decide_origin(
    answer: StreamAnswer, services: Collection[ItemName]
) -> Verdict:
    """Return what a stream has to go on at.

    A record of an unknown version says only which service began the stream:
    it goes on if no target of the service has stated a version.

    :param services: the services of the route.
    """
    if answer.is_conflicting:
        return Verdict(None, LookupOutcome.CONFLICT)
    recorded = answer.origin
    if recorded is not None and recorded.software:
        return Verdict(recorded, LookupOutcome.PEER_RECORD)
    candidates = set(services) if recorded is None else {recorded.service}
    if len(candidates) != 1:
        return Verdict(None, LookupOutcome.UNKNOWN)
    sole = _find_sole_origin(answer, candidates.pop())
    if sole is None or recorded not in (None, sole):
        return Verdict(None, LookupOutcome.UNKNOWN)
    return Verdict(sole, LookupOutcome.SOLE_VERSION)


def _find_sole_origin(
    answer: StreamAnswer, service: ItemName
) -> StreamOrigin | None:
    """Return the only origin that streams of a service can have.

    A VM that is cut off takes a moment to notice. So what VMs have seen counts
    only together with the VM from which all others learn what is listed.
    """
    for history in answer.histories:
        if (
            history.service == service
            and history.is_complete
            and history.is_confirmed
            and len(history.versions) == 1
        ):
            return StreamOrigin(service, history.versions[0])
    return None


def _combine_histories(
    first: ServiceHistory, second: ServiceHistory
) -> ServiceHistory:
    """Return a history with all versions that either VM has seen.

    So two VMs that name different versions leave no sole one.
    """
    return ServiceHistory(
        first.service,
        tuple(sorted({*first.versions, *second.versions})),
        first.is_complete or second.is_complete,
        first.is_confirmed or second.is_confirmed,
    )
