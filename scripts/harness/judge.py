"""Checks the promises of docs/platform.md from what callers and workers see. Times are seconds of the
steady clock, which all processes of the machine share."""

import json
from dataclasses import dataclass, field

# A run that ends in the same millisecond in which the next one starts does not overlap it.
CLOCK_STEP = 0.002
MOST_FAILURES = 2  # `attempts` of the routes.


@dataclass
class Run:
    worker: str
    number: int
    start: float
    end: float = None
    how: str = None


@dataclass
class Job:
    """A job as its caller knows it."""
    name: str
    spec: str
    count: int
    answers: list = field(default_factory=list)  # (time, status or None, state) of each attempt.
    gave_up: bool = False

    def final(self):
        return self.answers[-1] if self.answers else None


class Judge:
    def __init__(self, millicores):
        self.millicores = millicores
        self.jobs = {}
        self.runs = {}  # Task name: runs in the order in which they were reported.
        self.violations = []
        self.starts = 0

    def violation(self, rule, text):
        self.violations.append({"rule": rule, "text": text})

    # What workers report.

    def line(self, text):
        try:
            line = json.loads(text)
        except ValueError:
            self.violation("log", f"a line is not JSON: {text[:200]}")
            return
        if line.get("event") == "run_started":
            self._started(line)
        elif line.get("event") == "run_ended":
            self._ended(line)

    def _started(self, line):
        self.starts += 1
        job, _, _, index = line["task"].split(".")
        asked = self.jobs.get(job)
        if asked is None or int(index) >= asked.count:
            self.violation("unasked", f"{line['task']} was never submitted")
        elif asked.spec != line["spec"]:
            self.violation("unasked", f"{line['task']} started with another spec")
        if line["used_millicores"] > self.millicores:
            self.violation("room", f"{line['worker']} has {line['used_millicores']} in use after "
                                   f"{line['task']} run {line['run']}")
        self.runs.setdefault(line["task"], []).append(
            Run(line["worker"], line["run"], line["steady_ms"] / 1000))

    def _ended(self, line):
        for run in self.runs.get(line["task"], []):
            if run.worker == line["worker"] and run.number == line["run"] and run.end is None:
                run.end = line["steady_ms"] / 1000
                run.how = line["how"]
                return

    def worker_died(self, worker, when):
        """The runs of a killed worker are over."""
        for runs in self.runs.values():
            for run in runs:
                if run.worker == worker and run.end is None and run.start <= when:
                    run.end = when
                    run.how = "died"

    # Rules.

    def check_overlaps(self, tasks):
        for task in tasks:
            runs = sorted(self.runs[task], key=lambda it: it.start)
            for one, other in zip(runs, runs[1:]):
                if one.end is None or one.end - CLOCK_STEP > other.start:
                    self.violation("twice", f"{task}: run {one.number} on {one.worker} from "
                                            f"{one.start:.3f} to {one.end} ({one.how}) and run "
                                            f"{other.number} on {other.worker} from {other.start:.3f}")

    def check_ended(self, before):
        """Checks tasks all of whose runs ended before a time; returns how many. Each is checked
        once here and again at the end."""
        tasks = [task for task, runs in self.runs.items()
                 if all(it.end is not None and it.end < before for it in runs)]
        known = len(self.violations)
        self.check_overlaps(tasks)
        return len(self.violations) - known

    def check_all(self, reachable):
        """At the end. Reachable are the workers that live and could be reached all through the last
        calm seconds."""
        self.violations = [it for it in self.violations if it["rule"] != "twice"]
        self.check_overlaps(self.runs)
        by_job = {}
        for task, runs in self.runs.items():
            by_job.setdefault(task.split(".")[0], {})[int(task.split(".")[-1])] = runs
            for run in runs:
                if run.end is None and run.worker in reachable:
                    self.violation("left", f"{task} run {run.number} still runs on {run.worker}")
        for name, job in self.jobs.items():
            self._check_job(name, job, by_job.get(name, {}))

    def _check_job(self, name, job, tasks):
        if not job.answers:
            return
        _, status, state = job.final()
        if status == 200 and state == "completed":
            missing = [n for n in range(job.count)
                       if not any(it.how == "done" for it in tasks.get(n, []))]
            if missing:
                self.violation("false_answer", f"{name} is completed without tasks {missing}")
        elif status == 200 and state == "failed":
            if not any(sum(it.how == "failed" for it in runs) >= MOST_FAILURES
                       for runs in tasks.values()):
                self.violation("false_answer", f"{name} is failed without {MOST_FAILURES} failures")
        if tasks and all(it[1] in (429, 503) for it in job.answers) and not job.gave_up:
            self.violation("refused", f"{name} was refused as not run, and has run")
