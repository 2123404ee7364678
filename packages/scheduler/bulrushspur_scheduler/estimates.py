"""How long tasks take: declared estimates, corrected by what was seen.

For each queue the logarithm of the time taken is regressed on the logarithm of the
estimate. Where estimates are good the slope stays near 1; where they say nothing it
falls to 0 and the queue's mean time is expected. Tasks of a step are much alike, so
those that have ended tell most about the rest.
"""

import dataclasses
import math
import typing as t

if t.TYPE_CHECKING:
    from bulrushspur_scheduler.cell import Cell
    from bulrushspur_scheduler.jobs import Run, StepRun

SHORTEST_S: t.Final = 0.01
# Weight of what is assumed before anything was seen: estimates are fair.
ASSUMED_WEIGHT: t.Final = 6.0
ASSUMED_SPREAD: t.Final = 0.5
ASSUMED_ERROR: t.Final = 0.3
MEMORY: t.Final = 400.0
LEAST_ERROR: t.Final = 0.2
SIBLING_ERROR: t.Final = 0.3


@dataclasses.dataclass(slots=True)
class TimeModel:
    """Weighted moments of the logarithms of estimate and time taken."""

    weight: float
    estimate: float
    taken: float
    estimate_var: float
    taken_var: float
    covariance: float

    def note(self, estimate_s: float, taken_s: float) -> None:
        """Learn from a task that ended well."""
        x = math.log(max(estimate_s, SHORTEST_S))
        y = math.log(max(taken_s, SHORTEST_S))
        self.weight = min(self.weight + 1, MEMORY)
        gain = 1 / self.weight
        dx, dy = x - self.estimate, y - self.taken
        self.estimate += gain * dx
        self.taken += gain * dy
        keep = 1 - gain
        self.estimate_var = keep * (self.estimate_var + gain * dx * dx)
        self.taken_var = keep * (self.taken_var + gain * dy * dy)
        self.covariance = keep * (self.covariance + gain * dx * dy)

    def predict(self, estimate_s: float) -> tuple[float, float]:
        """Return the expected time in seconds, and the deviation of its logarithm."""
        slope = self.covariance / self.estimate_var if self.estimate_var > 1e-9 else 1.0
        slope = min(max(slope, 0.0), 1.0)
        x = math.log(max(estimate_s, SHORTEST_S))
        mean = self.taken + slope * (x - self.estimate)
        rest = self.taken_var - slope * self.covariance
        return math.exp(mean), max(math.sqrt(max(rest, 0.0)), LEAST_ERROR)


def make_time_model(estimate_s: float) -> TimeModel:
    """Make a model that trusts the first estimate that it meets."""
    x = math.log(max(estimate_s, SHORTEST_S))
    spread = ASSUMED_SPREAD**2
    return TimeModel(ASSUMED_WEIGHT, x, x, spread, spread + ASSUMED_ERROR**2, spread)


def note_time(cell: "Cell", run: "Run", taken_s: float) -> None:
    """Learn from the time that a run took."""
    step = run.task.step
    queue = step.job.queue
    model = cell.times.get(queue)
    if model is None:
        model = cell.times[queue] = make_time_model(step.spec.estimate_s)
    model.note(step.spec.estimate_s, taken_s)
    step.times_seen += 1
    step.times_log += math.log(max(taken_s, SHORTEST_S))


def predict(cell: "Cell", queue: str, estimate_s: float) -> tuple[float, float]:
    """Return the expected time of a task, and the deviation of its logarithm."""
    model = cell.times.get(queue)
    if model is None:
        return max(estimate_s, SHORTEST_S), ASSUMED_ERROR
    return model.predict(estimate_s)


def predict_step(cell: "Cell", step: "StepRun") -> tuple[float, float]:
    """Return the expected time of a step's tasks; those that ended tell most."""
    mean_s, error = predict(cell, step.job.queue, step.spec.estimate_s)
    if not step.times_seen:
        return mean_s, error
    seen = step.times_seen / (step.times_seen + (SIBLING_ERROR / error) ** 2)
    mean = (1 - seen) * math.log(mean_s) + seen * step.times_log / step.times_seen
    return math.exp(mean), min(error, SIBLING_ERROR)


def share_over(elapsed_s: float, mean_s: float, error: float) -> float:
    """Return the share of tasks that would have ended by now."""
    if elapsed_s <= 0:
        return 0.0
    deviations = math.log(elapsed_s / mean_s) / error
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))
