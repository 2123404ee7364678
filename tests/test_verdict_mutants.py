"""Test that fuzzed histories find verdicts that were made without evidence.

Each mutant changes one rule by which a job fails for its attempts. With it the check of
the stored verdict, or of the cause, must fail; without it the same seeds break nothing.
"""

import contextlib
import unittest
import unittest.mock

from bulrushspur_scheduler.config import make_config
from bulrushspur_scheduler.failed_runs import FailedRun, add_failed_run
from bulrushspur_scheduler.job_specs import JobSpec, StepSpec
from bulrushspur_scheduler.job_states import RunOutcome
from bulrushspur_scheduler.resources import Resources
from fuzz.simulation import CONFIG, Simulation
from fuzz.terms import run_terms_history

# Beyond all run numbers.
OTHER_TERM = 2**40


def forget_promise(record, name, service):
    """Recover a job without what its queue promised."""


def allow_one_attempt(cell, job):
    """Take the attempts from the configuration of now, and one of an unknown queue."""
    queue = cell.config.queue_by_name.get(job.queue)
    return queue.max_attempts if queue else 1


def count_by_term(runs, run):
    """Count an end once for each term that hears of it."""
    known = runs.get(run.number)
    if known is None or known.term == run.term:
        return add_failed_run(runs, run)
    return runs.setdefault(run.number + OTHER_TERM, run) is run


def count_also(outcome):
    return frozenset({RunOutcome.FAILED, outcome})


def forget_incarnation(cell, worker, end):
    return FailedRun(end.number, worker.id, 0, cell.fencing_token)


OUTCOMES = "bulrushspur_scheduler.run_ends.COUNTED_OUTCOMES"

# By name: what is patched, and its replacement.
MUTANTS = {
    "a leader without the configuration allows one attempt": {
        "bulrushspur_scheduler.records.make_accepted_queue": forget_promise,
        "bulrushspur_scheduler.cell.Cell.max_attempts": allow_one_attempt,
    },
    "a stopped run counts": {OUTCOMES: count_also(RunOutcome.STOPPED)},
    "a lapsed run counts": {OUTCOMES: count_also(RunOutcome.LEASE_EXPIRED)},
    "an end counts once for each term": {
        "bulrushspur_scheduler.attempts.add_failed_run": count_by_term
    },
    "the final state is stored without what was counted": {
        "bulrushspur_scheduler.progress_records.make_verdict_record": lambda _: None
    },
    "the verdict names no incarnation": {
        "bulrushspur_scheduler.run_ends._make_failed_run": forget_incarnation
    },
}

# Of histories of ``fuzz.terms``, by mutant.
SEEDS = {
    "a leader without the configuration allows one attempt": (1, 2),
    "a stopped run counts": (12,),
    "a lapsed run counts": (46,),
    "an end counts once for each term": (4, 5),
    "the final state is stored without what was counted": (1,),
    "the verdict names no incarnation": (1,),
}
# Those of which the number of failed runs alone does not tell.
UNTOLD_MUTANTS = {
    "the final state is stored without what was counted",
    "the verdict names no incarnation",
}
JOB = JobSpec("j1", "p", (StepSpec(1, Resources(1000, 10), 0.5),))


class MutantTest(unittest.TestCase):
    def test_each_mutant_shows_jobs_as_failed_without_evidence(self):
        for name, replacements in MUTANTS.items():
            for seed in SEEDS[name]:
                with self.subTest(mutant=name, seed=seed):
                    self.assertEqual(run_terms_history(seed).oracle.violations, [])
                    with contextlib.ExitStack() as stack:
                        for target, replacement in replacements.items():
                            patch = unittest.mock.patch(target, replacement)
                            stack.enter_context(patch)
                        violations = run_terms_history(seed).oracle.violations
                    text = " ".join(violations)
                    self.assertIn("without evidence", text)
                    is_told = name not in UNTOLD_MUTANTS
                    self.assertEqual("without cause" in text, is_told)


class LeaderWithoutConfigurationTest(unittest.TestCase):
    """The incident: an outage of the store, and all processes killed during it."""

    def play(self):
        """Let a job fail once, kill the leader in an outage, and let another one lead.

        The next leader has no queue. Return the simulation.
        """
        simulation = Simulation(1)
        for worker in simulation.workers.values():
            worker.fails_after_s = 0.8
        simulation.advance(1.0)
        simulation.submit(JOB, "small")
        simulation.advance(0.3)
        simulation.make_store_unavailable(8.5)
        simulation.advance(1.0)
        (leader,) = simulation.leaders
        leader.ended = True
        simulation.leaders.clear()
        simulation.advance(8.0)
        simulation.config = make_config(0, accounts=CONFIG.accounts)
        simulation.take_over(False)
        simulation.advance(0.3)
        return simulation

    def test_leader_without_configuration_after_an_outage_fails_no_job(self):
        simulation = self.play()
        oracle = simulation.oracle
        (failed_runs,) = oracle.evidence.failed_runs.values()
        self.assertIn(len(failed_runs), (1, 2))
        self.assertEqual(oracle.published_final_states, {})
        # All its runs fail, so it is failed in the end, with cause.
        simulation.advance(60.0)
        self.assertEqual(oracle.published_final_states, {"j1": "failed"})
        self.assertEqual(simulation.judge().oracle.violations, [])

    def test_leader_that_allows_an_unknown_queue_one_attempt_is_found(self):
        mutant = MUTANTS["a leader without the configuration allows one attempt"]
        with contextlib.ExitStack() as stack:
            for target, replacement in mutant.items():
                stack.enter_context(unittest.mock.patch(target, replacement))
            simulation = self.play()
        (violation, *_) = simulation.oracle.violations
        self.assertIn("j1 is shown as failed", violation)


if __name__ == "__main__":
    unittest.main()
