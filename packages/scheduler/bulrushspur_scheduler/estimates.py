"""Predict how long tasks take: declared estimates, corrected by observed durations.

For each queue the logarithm of the duration is regressed on the logarithm of the
estimate. Where estimates are accurate the slope stays near 1; where they say nothing it
falls to 0, and the mean of the queue is predicted. The tasks of a step are much alike,
so the durations of those that have ended weigh most for the others.
"""

import dataclasses
import math
import typing as t

if t.TYPE_CHECKING:
    from bulrushspur_scheduler.cell import Cell
    from bulrushspur_scheduler.jobs import Run, Step

# Shorter times are raised to this, as they are used on a logarithmic scale.
MIN_DURATION_S: t.Final = 0.01
# Weight of the prior, in observations. The prior assumes unbiased estimates (slope 1).
PRIOR_WEIGHT: t.Final = 6.0
# Standard deviations of the prior: of log estimates, and of log durations around them.
PRIOR_SPREAD: t.Final = 0.5
PRIOR_ERROR: t.Final = 0.3
# Limit of the weight of past observations, so that new ones always count.
MAX_WEIGHT: t.Final = 400.0
# Least standard deviation of the log duration that is predicted.
MIN_ERROR: t.Final = 0.2
# Standard deviation of the log durations within a step.
SIBLING_ERROR: t.Final = 0.3


@dataclasses.dataclass(slots=True)
class DurationModel:
    """Weighted moments of the logarithms of estimate and duration, in seconds."""

    weight: float
    mean_log_estimate: float
    mean_log_duration: float
    log_estimate_variance: float
    log_duration_variance: float
    covariance: float

    def observe(self, estimate_s: float, taken_s: float) -> None:
        """Add the estimate and the duration of a task that succeeded."""
        log_estimate = math.log(max(estimate_s, MIN_DURATION_S))
        log_duration = math.log(max(taken_s, MIN_DURATION_S))
        self.weight = min(self.weight + 1, MAX_WEIGHT)
        gain = 1 / self.weight
        dx, dy = (
            log_estimate - self.mean_log_estimate,
            log_duration - self.mean_log_duration,
        )
        self.mean_log_estimate += gain * dx
        self.mean_log_duration += gain * dy
        decay = 1 - gain
        self.log_estimate_variance = decay * (
            self.log_estimate_variance + gain * dx * dx
        )
        self.log_duration_variance = decay * (
            self.log_duration_variance + gain * dy * dy
        )
        self.covariance = decay * (self.covariance + gain * dx * dy)

    def predict(self, estimate_s: float) -> tuple[float, float]:
        """Return the predicted seconds, and the standard deviation of their log."""
        slope = (
            self.covariance / self.log_estimate_variance
            if self.log_estimate_variance > 1e-9
            else 1.0
        )
        slope = min(max(slope, 0.0), 1.0)
        log_estimate = math.log(max(estimate_s, MIN_DURATION_S))
        log_mean = self.mean_log_duration + slope * (
            log_estimate - self.mean_log_estimate
        )
        residual_variance = self.log_duration_variance - slope * self.covariance
        return (
            math.exp(log_mean),
            max(math.sqrt(max(residual_variance, 0.0)), MIN_ERROR),
        )


def make_duration_model(estimate_s: float) -> DurationModel:
    """Make a model from the prior alone, centred on the first estimate."""
    x = math.log(max(estimate_s, MIN_DURATION_S))
    variance = PRIOR_SPREAD**2
    return DurationModel(
        PRIOR_WEIGHT, x, x, variance, variance + PRIOR_ERROR**2, variance
    )


def record_duration(cell: "Cell", run: "Run", taken_s: float) -> None:
    """Add the duration of a run to the model of its queue and to its step."""
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
    """Return the predicted seconds of a task, and the standard deviation of their log.

    Before the first observation of a queue the estimate is returned.
    """
    model = cell.duration_models.get(queue)
    if model is None:
        return max(estimate_s, MIN_DURATION_S), PRIOR_ERROR
    return model.predict(estimate_s)


def predict_step_duration(cell: "Cell", step: "Step") -> tuple[float, float]:
    """Return the predicted seconds of a step's tasks, and the deviation of their log.

    The prediction moves to the mean of the tasks that have ended as their number grows.
    """
    mean_s, error = predict_duration(cell, step.job.queue, step.spec.estimate_s)
    if not step.duration_count:
        return mean_s, error
    sibling_weight = step.duration_count / (
        step.duration_count + (SIBLING_ERROR / error) ** 2
    )
    log_mean = (1 - sibling_weight) * math.log(
        mean_s
    ) + sibling_weight * step.log_duration_sum / step.duration_count
    return math.exp(log_mean), min(error, SIBLING_ERROR)


def completed_fraction(elapsed_s: float, mean_s: float, error: float) -> float:
    """Return the fraction of such tasks that end within ``elapsed_s`` seconds.

    Durations are log-normal; ``error`` is the standard deviation of their logarithm.
    """
    if elapsed_s <= 0:
        return 0.0
    deviations = math.log(elapsed_s / mean_s) / error
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))
