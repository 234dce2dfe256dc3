"""Checks the guarantees of docs/platform.md against the answers that callers got and the runs that
workers logged. Times are seconds of the steady clock, which all processes of the machine share."""

import json
import math
from dataclasses import dataclass, field

# Tolerance for clock steps: a run that ends in the same millisecond in which the next one starts
# does not overlap it.
CLOCK_STEP_S = 0.002
# A task may be given up after this many workers have died under it.
MIN_DEATHS = 2
# A task is not started again MAX_STARTS_AFTER_DEATHS + 1 times after DEATHS_TO_LIMIT workers have
# died under it.
DEATHS_TO_LIMIT = 3
MAX_STARTS_AFTER_DEATHS = 2
CANCEL_S = 3.0  # No task starts later than this after the acknowledgement of its job's cancel.
MAX_ATTEMPTS = 2  # `attempts` of the routes: failed runs after which a task fails its job.


@dataclass
class Run:
    worker: str
    number: int
    start: float
    end: float = None
    outcome: str = None


@dataclass
class Job:
    """A submitted job and the answers that its caller received."""
    name: str
    spec: str
    count: int
    answers: list = field(default_factory=list)  # (time, status or None, state) of each attempt.
    gave_up: bool = False
    cancelled_at: float = None  # When its cancel was acknowledged.

    def last_answer(self):
        return self.answers[-1] if self.answers else None


class Judge:
    def __init__(self, millicores):
        self.millicores = millicores
        self.jobs = {}
        self.runs = {}  # Task name: runs in the order in which they were reported.
        self.violations = []
        self.starts = 0

    def add_violation(self, rule, text):
        self.violations.append({"rule": rule, "text": text})

    # Worker log.

    def add_log_line(self, text):
        try:
            line = json.loads(text)
        except ValueError:
            self.add_violation("log", f"a line is not JSON: {text[:200]}")
            return
        if line.get("event") == "run_started":
            self._record_start(line)
        elif line.get("event") == "run_ended":
            self._record_end(line)
        elif line.get("event") == "worker_crashed":
            self.record_worker_death(line["worker"], line["steady_ms"] / 1000)

    def _record_start(self, line):
        self.starts += 1
        job, _, _, index = line["task"].split(".")
        submitted = self.jobs.get(job)
        if submitted is None or int(index) >= submitted.count:
            self.add_violation("unasked", f"{line['task']} was never submitted")
        elif submitted.spec != line["spec"]:
            self.add_violation("unasked", f"{line['task']} started with another spec")
        if line["used_millicores"] > self.millicores:
            self.add_violation("room", f"{line['worker']} has {line['used_millicores']} in use "
                                       f"after {line['task']} run {line['run']}")
        self.runs.setdefault(line["task"], []).append(
            Run(line["worker"], line["run"], line["steady_ms"] / 1000))

    def _record_end(self, line):
        for run in self.runs.get(line["task"], []):
            if run.worker == line["worker"] and run.number == line["run"] and run.end is None:
                run.end = line["steady_ms"] / 1000
                run.outcome = line["how"]
                return

    def record_worker_death(self, worker, when):
        """Records the end of all open runs of a worker whose process has exited."""
        for runs in self.runs.values():
            for run in runs:
                if run.worker == worker and run.end is None and run.start <= when:
                    run.end = when
                    run.outcome = "died"

    # Checks.

    def check_overlaps(self, tasks):
        for task in tasks:
            # A run may be stopped and start elsewhere within the step of the clock.
            runs = sorted(self.runs[task], key=lambda it: (it.start, it.end or math.inf))
            for earlier, later in zip(runs, runs[1:]):
                if earlier.end is None or earlier.end - CLOCK_STEP_S > later.start:
                    self.add_violation(
                        "twice", f"{task}: run {earlier.number} on {earlier.worker} from "
                                 f"{earlier.start:.3f} to {earlier.end} ({earlier.outcome}) and "
                                 f"run {later.number} on {later.worker} from {later.start:.3f}")

    def check_finished_tasks(self, before):
        """Checks the tasks all of whose runs ended before a time; returns the number of
        violations found. check_all replaces these violations at the end."""
        tasks = [task for task, runs in self.runs.items()
                 if all(it.end is not None and it.end < before for it in runs)]
        previous_count = len(self.violations)
        self.check_overlaps(tasks)
        return len(self.violations) - previous_count

    def check_all(self, reachable):
        """Runs all checks at the end. `reachable` are the workers that ran and could be reached
        during the whole fault-free period at the end."""
        self.violations = [it for it in self.violations if it["rule"] != "twice"]
        self.check_overlaps(self.runs)
        by_job = {}
        for task, runs in self.runs.items():
            by_job.setdefault(task.split(".")[0], {})[int(task.split(".")[-1])] = runs
            died = sorted(it.end for it in runs if it.outcome == "died")
            if len(died) >= DEATHS_TO_LIMIT:
                late = [it for it in runs if it.start > died[DEATHS_TO_LIMIT - 1]]
                if len(late) > MAX_STARTS_AFTER_DEATHS:
                    self.add_violation("budget", f"{task} was started {len(late)} times after "
                                                 f"{DEATHS_TO_LIMIT} workers had died under it")
            for run in runs:
                if run.end is None and run.worker in reachable:
                    self.add_violation(
                        "left", f"{task} run {run.number} still runs on {run.worker}")
        for name, job in self.jobs.items():
            self._check_job(name, job, by_job.get(name, {}))

    def _check_job(self, name, job, tasks):
        if job.cancelled_at:
            late = [it for runs in tasks.values() for it in runs
                    if it.start > job.cancelled_at + CANCEL_S]
            if late:
                self.add_violation(
                    "unasked", f"{name} starts {late[0].start - job.cancelled_at:.1f} s after its "
                               "cancel was acknowledged")
        if not job.answers:
            return
        _, status, state = job.last_answer()
        if status == 200 and state == "completed":
            missing = [n for n in range(job.count)
                       if not any(it.outcome == "done" for it in tasks.get(n, []))]
            if missing:
                self.add_violation("false_answer", f"{name} is completed without tasks {missing}")
        elif status == 200 and state == "failed":
            if not any(sum(it.outcome == "failed" for it in runs) >= MAX_ATTEMPTS or
                       sum(it.outcome == "died" for it in runs) >= MIN_DEATHS
                       for runs in tasks.values()):
                self.add_violation(
                    "false_answer", f"{name} is failed without {MAX_ATTEMPTS} failures or "
                                    f"{MIN_DEATHS} workers that died under a task")
        if tasks and all(it[1] in (429, 503) for it in job.answers) and not job.gave_up:
            self.add_violation("refused", f"{name} was refused as not run, and has run")
