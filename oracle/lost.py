"""Find requests that a stopping entry process did not answer: the rule LOST.

The users' rule excuses a request near any unplanned disruption. Here only those of
the process itself, its links or the store do, and a slow store is none.
"""

import typing as t

from oracle.calm import is_calm
from oracle.observations import Bounds, Observations, Violation
from oracle.shutdowns import EntryRequest

RULE: t.Final = "LOST"


def find_unanswered_requests(
    observations: Observations, bounds: Bounds
) -> list[Violation]:
    """Find requests to stopping processes whose connections end without an answer."""
    violations = []
    for request in observations.entry_requests:
        if not _is_unanswered(request, bounds):
            continue
        signaled_s = _find_signal_s(observations, request, bounds)
        if signaled_s is None or _is_excused(observations, request, bounds):
            continue
        sentence = (
            f"{request.description} to {request.entry} was sent "
            f"{request.sent_s - signaled_s:.2f} s after SIGTERM and got no answer "
            f"in {request.ended_s - request.sent_s:.2f} s"
        )
        violations.append(Violation(RULE, "unanswered", sentence))
    return violations


def _is_unanswered(request: EntryRequest, bounds: Bounds) -> bool:
    """Return whether a request was read, or should be, and not answered in its time."""
    return (
        request.status is None
        and request.ended_s < request.deadline_s
        and request.ended_s - request.sent_s > bounds.loss_slack_s
    )


def _find_signal_s(
    observations: Observations, request: EntryRequest, bounds: Bounds
) -> float | None:
    """Return when the process that got a request was told to stop, if it was."""
    for shutdown in observations.shutdowns:
        from_s = shutdown.signaled_s - bounds.contact_s
        is_same = shutdown.entry == request.entry
        if is_same and from_s <= request.sent_s <= shutdown.gone_s:
            return shutdown.signaled_s
    return None


def _is_excused(
    observations: Observations, request: EntryRequest, bounds: Bounds
) -> bool:
    disruptions = observations.entry_disruptions.get(request.entry, ())
    from_s = request.sent_s - bounds.contact_s
    return not is_calm(disruptions, from_s, request.ended_s)


def find_late_exits(observations: Observations, bounds: Bounds) -> list[Violation]:
    """Find processes that were not gone at the end of their grace period."""
    violations = []
    for shutdown in observations.shutdowns:
        until_s = min(shutdown.gone_s, observations.until_s)
        took_s = until_s - shutdown.signaled_s
        if took_s > bounds.grace_s:
            sentence = f"{shutdown.entry} was there {took_s:.2f} s after SIGTERM"
            violations.append(Violation(RULE, "late exit", sentence))
    return violations


CLAUSES: t.Final = {
    "unanswered": find_unanswered_requests,
    "late exit": find_late_exits,
}
