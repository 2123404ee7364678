"""Predict how long tasks take: declared estimates, corrected by observed durations.

For each queue the logarithm of the duration is regressed on the logarithm of the
estimate. Where estimates are accurate the slope stays near 1; where they say nothing it
falls to 0, and the mean log duration of the queue is predicted. The tasks of a step
are much alike, so the durations of those that have ended weigh most for the others.

Durations are taken to be log-normal. A prediction is therefore a pair: the median
duration in seconds, and the standard deviation of the logarithm of the duration.
"""

import dataclasses
import math
import typing as t

if t.TYPE_CHECKING:
    from bulrushspur_scheduler.cell import Cell
    from bulrushspur_scheduler.jobs import Run, Step

# Shorter estimates and durations are raised to this, because their log is taken.
MIN_DURATION_S: t.Final = 0.01
# Weight of the prior, in observations. The prior assumes unbiased estimates (slope 1).
PRIOR_WEIGHT: t.Final = 6.0
# Standard deviation of the log estimates in the prior.
PRIOR_ESTIMATE_LOG_STDDEV: t.Final = 0.5
# Standard deviation of the log durations around the log estimates in the prior.
PRIOR_LOG_STDDEV: t.Final = 0.3
# Limit of the weight, in observations. At the limit past observations decay
# exponentially, so that new ones always count.
MAX_WEIGHT: t.Final = 400.0
# No prediction has a smaller standard deviation of the log duration.
MIN_LOG_STDDEV: t.Final = 0.2
# Standard deviation of the log durations within a step.
SIBLING_LOG_STDDEV: t.Final = 0.3


@dataclasses.dataclass(slots=True)
class DurationModel:
    """Weighted moments of the logarithms of estimate and duration, in seconds."""

    weight: float
    mean_log_estimate: float
    mean_log_duration: float
    log_estimate_variance: float
    log_duration_variance: float
    covariance: float

    def observe(self, estimate_s: float, duration_s: float) -> None:
        """Add the estimate and the duration of a task that succeeded."""
        log_estimate = math.log(max(estimate_s, MIN_DURATION_S))
        log_duration = math.log(max(duration_s, MIN_DURATION_S))
        self.weight = min(self.weight + 1, MAX_WEIGHT)
        # Update the weighted means, variances and covariance incrementally.
        gain = 1 / self.weight
        estimate_delta, duration_delta = (
            log_estimate - self.mean_log_estimate,
            log_duration - self.mean_log_duration,
        )
        self.mean_log_estimate += gain * estimate_delta
        self.mean_log_duration += gain * duration_delta
        decay = 1 - gain
        self.log_estimate_variance = decay * (
            self.log_estimate_variance + gain * estimate_delta * estimate_delta
        )
        self.log_duration_variance = decay * (
            self.log_duration_variance + gain * duration_delta * duration_delta
        )
        self.covariance = decay * (
            self.covariance + gain * estimate_delta * duration_delta
        )

    def predict(self, estimate_s: float) -> tuple[float, float]:
        """Return the median duration, and the standard deviation of its logarithm."""
        # Estimates that hardly vary say nothing about the slope.
        slope = (
            self.covariance / self.log_estimate_variance
            if self.log_estimate_variance > 1e-9
            else 1.0
        )
        slope = min(max(slope, 0.0), 1.0)
        log_estimate = math.log(max(estimate_s, MIN_DURATION_S))
        log_median = self.mean_log_duration + slope * (
            log_estimate - self.mean_log_estimate
        )
        # Exact unless the slope was limited to 1: then this is an upper bound.
        residual_variance = self.log_duration_variance - slope * self.covariance
        return (
            math.exp(log_median),
            max(math.sqrt(max(residual_variance, 0.0)), MIN_LOG_STDDEV),
        )


def make_duration_model(estimate_s: float) -> DurationModel:
    """Make a model from the prior alone, centred on the first estimate."""
    log_estimate = math.log(max(estimate_s, MIN_DURATION_S))
    variance = PRIOR_ESTIMATE_LOG_STDDEV**2
    return DurationModel(
        PRIOR_WEIGHT,
        log_estimate,
        log_estimate,
        variance,
        variance + PRIOR_LOG_STDDEV**2,
        variance,
    )


def record_duration(cell: "Cell", run: "Run", duration_s: float) -> None:
    """Add the duration of a run to the model of its queue and to its step.

    The run must have succeeded, and have done all the work of its task.
    """
    step = run.task.step
    queue = step.job.queue
    model = cell.duration_models.get(queue)
    if model is None:
        model = cell.duration_models[queue] = make_duration_model(step.spec.estimate_s)
    model.observe(step.spec.estimate_s, duration_s)
    step.duration_count += 1
    step.log_duration_sum += math.log(max(duration_s, MIN_DURATION_S))


def predict_duration(
    cell: "Cell", queue: str, estimate_s: float
) -> tuple[float, float]:
    """Return the median duration of a task, and the standard deviation of its log.

    Before the first observation of a queue these are the estimate and the deviation of
    the prior.
    """
    model = cell.duration_models.get(queue)
    if model is None:
        return max(estimate_s, MIN_DURATION_S), PRIOR_LOG_STDDEV
    return model.predict(estimate_s)


def predict_step_duration(cell: "Cell", step: "Step") -> tuple[float, float]:
    """Return the median duration of a step's tasks, and the deviation of its log.

    With the number of tasks that have ended the prediction moves to the mean of their
    log durations. The deviation is that of one more task, so it does not shrink with
    their number.
    """
    median_s, log_stddev = predict_duration(cell, step.job.queue, step.spec.estimate_s)
    if not step.duration_count:
        return median_s, log_stddev
    # Each prediction is weighted by the inverse of its variance; that of the mean of n
    # siblings is SIBLING_LOG_STDDEV**2 / n.
    sibling_weight = step.duration_count / (
        step.duration_count + (SIBLING_LOG_STDDEV / log_stddev) ** 2
    )
    log_median = (1 - sibling_weight) * math.log(
        median_s
    ) + sibling_weight * step.log_duration_sum / step.duration_count
    return math.exp(log_median), min(log_stddev, SIBLING_LOG_STDDEV)


def completed_fraction(elapsed_s: float, median_s: float, log_stddev: float) -> float:
    """Return the fraction of tasks that end within ``elapsed_s`` seconds.

    Durations are log-normal with the median ``median_s``; ``log_stddev`` is the
    standard deviation of their logarithm.
    """
    if elapsed_s <= 0:
        return 0.0
    deviations = math.log(elapsed_s / median_s) / log_stddev
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))
