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
    from bulrushspur_scheduler.jobs import Run, Step

MIN_DURATION_S: t.Final = 0.01
# Weight of what is assumed before anything was seen: estimates are fair.
PRIOR_WEIGHT: t.Final = 6.0
PRIOR_SPREAD: t.Final = 0.5
PRIOR_ERROR: t.Final = 0.3
MAX_WEIGHT: t.Final = 400.0
MIN_ERROR: t.Final = 0.2
SIBLING_ERROR: t.Final = 0.3


@dataclasses.dataclass(slots=True)
class DurationModel:
    """Weighted moments of the logarithms of estimate and time taken."""

    weight: float
    mean_log_estimate: float
    mean_log_duration: float
    log_estimate_variance: float
    log_duration_variance: float
    covariance: float

    def observe(self, estimate_s: float, taken_s: float) -> None:
        """Learn from a task that ended well."""
        x = math.log(max(estimate_s, MIN_DURATION_S))
        y = math.log(max(taken_s, MIN_DURATION_S))
        self.weight = min(self.weight + 1, MAX_WEIGHT)
        gain = 1 / self.weight
        dx, dy = x - self.mean_log_estimate, y - self.mean_log_duration
        self.mean_log_estimate += gain * dx
        self.mean_log_duration += gain * dy
        keep = 1 - gain
        self.log_estimate_variance = keep * (
            self.log_estimate_variance + gain * dx * dx
        )
        self.log_duration_variance = keep * (
            self.log_duration_variance + gain * dy * dy
        )
        self.covariance = keep * (self.covariance + gain * dx * dy)

    def predict(self, estimate_s: float) -> tuple[float, float]:
        """Return the expected time in seconds, and the deviation of its logarithm."""
        slope = (
            self.covariance / self.log_estimate_variance
            if self.log_estimate_variance > 1e-9
            else 1.0
        )
        slope = min(max(slope, 0.0), 1.0)
        x = math.log(max(estimate_s, MIN_DURATION_S))
        mean = self.mean_log_duration + slope * (x - self.mean_log_estimate)
        rest = self.log_duration_variance - slope * self.covariance
        return math.exp(mean), max(math.sqrt(max(rest, 0.0)), MIN_ERROR)


def make_duration_model(estimate_s: float) -> DurationModel:
    """Make a model that trusts the first estimate that it meets."""
    x = math.log(max(estimate_s, MIN_DURATION_S))
    spread = PRIOR_SPREAD**2
    return DurationModel(PRIOR_WEIGHT, x, x, spread, spread + PRIOR_ERROR**2, spread)


def record_duration(cell: "Cell", run: "Run", taken_s: float) -> None:
    """Learn from the time that a run took."""
    step = run.task.step
    queue = step.job.queue
    model = cell.duration_models.get(queue)
    if model is None:
        model = cell.duration_models[queue] = make_duration_model(step.spec.estimate_s)
    model.observe(step.spec.estimate_s, taken_s)
    step.duration_count += 1
    step.log_duration_sum += math.log(max(taken_s, MIN_DURATION_S))


def predict_duration(
    cell: "Cell", queue: str, estimate_s: float
) -> tuple[float, float]:
    """Return the expected time of a task, and the deviation of its logarithm."""
    model = cell.duration_models.get(queue)
    if model is None:
        return max(estimate_s, MIN_DURATION_S), PRIOR_ERROR
    return model.predict(estimate_s)


def predict_step_duration(cell: "Cell", step: "Step") -> tuple[float, float]:
    """Return the expected time of a step's tasks; those that ended tell most."""
    mean_s, error = predict_duration(cell, step.job.queue, step.spec.estimate_s)
    if not step.duration_count:
        return mean_s, error
    seen = step.duration_count / (step.duration_count + (SIBLING_ERROR / error) ** 2)
    mean = (1 - seen) * math.log(
        mean_s
    ) + seen * step.log_duration_sum / step.duration_count
    return math.exp(mean), min(error, SIBLING_ERROR)


def completed_fraction(elapsed_s: float, mean_s: float, error: float) -> float:
    """Return the share of tasks that would have ended by now."""
    if elapsed_s <= 0:
        return 0.0
    deviations = math.log(elapsed_s / mean_s) / error
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))
