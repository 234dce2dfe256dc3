"""Runs benchmark scenarios; prints each result as one line of JSON. See docs/design.md, section 1."""

import argparse
import json
import math
import os
import shutil
import signal
import subprocess
import sys
import threading
import time

from harness.cluster import Cluster, HarnessError, program_path, call, finish_load, note

VIRTUAL_SCENARIOS = ["steady", "long_mix", "burst", "faulty_workers", "leaving", "cancel", "teams",
                     "mixed_sizes"]
FAULT_SCENARIOS = ["kill", "pause", "cut", "log_down", "log_down_and_kill", "restart"]
CHANGES_PER_DAY = 3900
SECONDS_PER_DAY = 86400

# Bounds of docs/design.md, section 1: the name of a result's field with the suffix _min or _max.
BOUNDS = {
    "path": {"added_ms_p99_max": 2, "starts_per_second_per_core_min": 10000},
    "control": {"in_force_seconds_p99_max": 5, "core_fraction_max": 0.039,
                "rss_bytes_max": 128 * 1024 * 1024, "bytes_per_second_max": 28 * 1024},
}
FAULT_BOUNDS = {"duplicate_starts_max": 0, "wrong_verdicts_max": 0, "lost_answers_max": 0,
                "wrong_answers_max": 0}


def missed_bounds(result, bounds):
    """Returns the bounds that the result misses, as texts. An absent field misses its bound."""
    texts = []
    for name, bound in bounds.items():
        field, kind = name.rsplit("_", 1)
        value = result.get(field)
        if value is None or (kind == "max" and value > bound) or (kind == "min" and value < bound):
            texts.append(f"{field} {'<=' if kind == 'max' else '>='} {bound}")
    return texts


def emit(result, bounds):
    """Prints a result and returns the bounds that it misses."""
    result["missed_bounds"] = missed_bounds(result, bounds)
    print(json.dumps(result), flush=True)
    return result["missed_bounds"]


def percentile(values, ratio):
    values = sorted(values)
    return values[max(0, math.ceil(ratio * len(values)) - 1)] if values else None


def read_jobs(path):
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file]


class Trial:
    """Context manager that starts and stops a cluster; keeps its logs if the scenario fails."""

    def __init__(self, *args, **kwargs):
        self.cluster = Cluster(*args, **kwargs)

    def __enter__(self):
        try:
            self.cluster.start()
        except BaseException:
            self.cluster.stop()
            note(f"logs are in {self.cluster.directory}")
            raise
        return self.cluster

    def __exit__(self, kind, *_):
        codes = self.cluster.stop()
        unclean = {name: code for name, code in codes.items() if code not in (0, -signal.SIGKILL)}
        if unclean:
            note(f"exit codes of entries: {unclean}")
        if kind is None:
            if not self.cluster.keep_logs:
                shutil.rmtree(self.cluster.directory)
            else:
                note(f"logs are in {self.cluster.directory}")
        else:
            note(f"logs are in {self.cluster.directory}")


# Scenario path


def measure_added_latency(cluster, rounds, seconds):
    """Sends the same requests directly to the workers and through the entry, in several rounds.
    Returns the pair of runs with the lowest p99 of the direct run, which other load on the machine
    disturbed least, and all pairs."""
    workers = [f"{ip}:{port}" for _, ip, port in cluster.workers["north"]]
    pairs = []
    for n in range(rounds):
        flags = {"job_size": 1, "run_ms": 5, "rates": "0:100", "seconds": seconds, "seed": 3 + n,
                 "slots": cluster.total_slots()}
        direct = cluster.load(workers, direct=True, **flags)
        pairs.append((direct, cluster.load(cluster.entries, **flags)))
    return min(pairs, key=lambda it: it[0]["response_ms_p99"]), pairs


def run_path(quick):
    result = {"scenario": "path", "policy": "pollenwall"}
    with Trial([("north", 1, 50)]) as cluster:
        entry = cluster.entries[0]
        (direct, through), pairs = measure_added_latency(cluster, 2 if quick else 6, 4)
        result["tasks"] = through["tasks"]
        for name in ("load", "slowdown_p50", "slowdown_p99", "short_slowdown_p99", "goodput_ratio",
                     "late_answers", "wasted_messages_per_task", "response_ms_p50",
                     "response_ms_p99"):
            result[name] = through[name]
        result["direct_ms_p50"] = direct["response_ms_p50"]
        result["direct_ms_p99"] = direct["response_ms_p99"]
        result["incomplete"] = sum(it["jobs"] - it["complete"] for _, it in pairs)
        result["duplicate_starts"] = sum(it["duplicate_starts"] for _, it in pairs)
        result["wrong_verdicts"] = sum(it["wrong_verdicts"] for _, it in pairs)
        # Strict measure of the added latency: p99 through the entry minus p50 of the direct calls.
        result["added_ms_p50"] = round(through["response_ms_p50"] - direct["response_ms_p50"], 3)
        result["added_ms_p99"] = round(through["response_ms_p99"] - direct["response_ms_p50"], 3)
        result["added_ms_p99_of_each_round"] = [
            round(it["response_ms_p99"] - direct_run["response_ms_p50"], 3)
            for direct_run, it in pairs]
        result["direct_ms_p99_of_each_round"] = [it["response_ms_p99"] for it, _ in pairs]
        result["machine_load"] = os.getloadavg()[0]
        cpu = entry.process.cpu_seconds()
        started = time.monotonic()
        saturated = cluster.load(cluster.entries, run_ms=1, outstanding=80,
                                 seconds=4 if quick else 15, jobs=100000000, seed=99)
        used = entry.process.cpu_seconds() - cpu
        wall = time.monotonic() - started
        result["saturated_tasks"] = saturated["tasks"]
        result["saturated_complete_jobs"] = saturated["complete"]
        result["saturated_incomplete_jobs"] = saturated["jobs"] - saturated["complete"]
        result["saturated_codes"] = saturated["codes"]
        result["starts_per_second"] = saturated["tasks_per_second"]
        result["starts_per_second_per_core"] = round(saturated["starts"] / used) if used else None
        result["daemon_cores_used"] = round(used / wall, 3)
        result["duplicate_starts"] += saturated["duplicate_starts"]
        result["wrong_verdicts"] += saturated["wrong_verdicts"]
    emit(result, BOUNDS["path"])


# Scenarios faults.*


class FaultRun:
    """Load on each data centre from a load tool of its own while a fault is injected."""

    def __init__(self, cluster, seconds, tasks_per_second=100):
        self.cluster = cluster
        self.seconds = seconds
        self.children = {}
        self.started = {}
        run = int(time.time() * 1000)
        for n, (name, _, _) in enumerate(cluster.data_centres):
            argv = cluster.load_command(
                cluster.entries_of(name), rates=f"0:{tasks_per_second}", seconds=seconds, seed=11 + n,
                run=run + n, caller_ids=0.5, homes=name, resubmit_after_ms=1500,
                ready_poll_ms=200, deadline_ms=10000, answer_timeout_ms=20000, settle_ms=2000,
                slots=cluster.total_slots(), jobs_file=self.jobs_path(name), scenario="faults")
            self.children[name] = cluster.start_load(argv)
            self.started[name] = time.monotonic()

    def jobs_path(self, name):
        return os.path.join(self.cluster.directory, f"{name}.jobs")

    def finish(self):
        self.results = {name: finish_load(child) for name, child in self.children.items()}
        self.jobs = {name: read_jobs(self.jobs_path(name)) for name in self.children}

    def sum(self, field):
        return sum(it[field] for it in self.results.values())

    def served(self, data_centres, from_monotonic, to_monotonic):
        """Returns the number of jobs submitted to these data centres' entries within the time, the
        number of those answered complete, and the counts of the others by reason."""
        jobs = complete = 0
        reasons = {}
        self.last_unserved = None
        self.minted_unserved = 0  # Unserved jobs with an id that the entry generated.
        self.caller_ids = 0
        for name in data_centres:
            for job in self.jobs[name]:
                at = self.started[name] + job["at"]
                if not from_monotonic <= at <= to_monotonic:
                    continue
                jobs += 1
                self.caller_ids += 1 if job["id"] else 0
                if job["outcome"] == "complete":
                    complete += 1
                else:
                    self.last_unserved = max(self.last_unserved or at, at)
                    self.minted_unserved += 0 if job["id"] else 1
                    reason = job["outcome"] + (":" + job["code"] if job["code"] else "")
                    reasons[reason] = reasons.get(reason, 0) + 1
        return jobs, complete, reasons


def restart_in_turn(cluster, entries):
    """Stops each entry gracefully and restarts it after it has exited. Returns the exit codes."""
    codes = []
    for entry in entries:
        entry.process.signal(signal.SIGTERM)
        codes.append(entry.process.child.wait(timeout=40))
        cluster.processes.remove(entry.process)
        cluster.start_entry(entry)
        cluster.await_http(entry.callers, "/healthz")
        deadline = time.monotonic() + 10
        while not cluster.is_settled(entry):
            if time.monotonic() > deadline:
                raise HarnessError(f"{entry.name} did not become ready again")
            time.sleep(0.05)
        # The load tool's balancer polls readiness every 200 ms (ready_poll_ms).
        time.sleep(0.5)
    return codes


def run_fault(name, quick):
    fault_seconds = 4 if quick else 12
    if name == "restart":
        fault_seconds = 14
    before, after = (2, 3) if quick else (4, 6)
    data_centres = [("north", 2, 8), ("south", 2, 8), ("west", 2, 8)]
    names = [it[0] for it in data_centres]
    with Trial(data_centres, network=True) as cluster:
        # A rolling restart must lose nothing at 70% load; the faults run at about 45%.
        run = FaultRun(cluster, before + fault_seconds + after, 159 if name == "restart" else 100)
        faulted_entry = cluster.entries_of("north")[0]
        killed = set()
        time.sleep(before)
        begin = time.monotonic()
        if name in ("log_down", "log_down_and_kill"):
            cluster.log_fault({"kind": "outage"})
        if name in ("kill", "log_down_and_kill"):
            # The log goes down first, so that the surviving entry cannot take over the ranges.
            time.sleep(0.5 if name == "log_down_and_kill" else 0)
            faulted_entry.process.signal(signal.SIGKILL)
            killed.add(faulted_entry.callers)
            begin = time.monotonic()
        if name == "pause":
            faulted_entry.process.signal(signal.SIGSTOP)
        if name == "cut":
            cluster.cut("north", True)
        exit_codes = []
        if name == "restart":
            exit_codes = restart_in_turn(cluster, cluster.entries_of("north"))
        time.sleep(max(0, begin + fault_seconds - time.monotonic()))
        end = time.monotonic()
        if name == "pause":
            faulted_entry.process.signal(signal.SIGCONT)
        if name == "cut":
            cluster.cut("north", False)
        if name.startswith("log_down"):
            cluster.log_fault({"kind": "none"})
        run.finish()
        lost = run.sum("lost_answers")
        for jobs in run.jobs.values():
            # Broken connections count as lost answers unless their entry was killed.
            lost += sum(1 for it in jobs if it["outcome"] == "broken" and it["entry"] not in killed)
        grace = 0 if name in ("log_down", "cut", "restart") else 1
        # Jobs submitted in the last second of the fault count, although they may end after it.
        jobs, complete, reasons = run.served(names, begin + grace, end)
        result = {
            "scenario": f"faults.{name}", "policy": "pollenwall", "tasks": run.sum("tasks"),
            "load": round(run.sum("load"), 4),
            "slowdown_p50": max(it["slowdown_p50"] for it in run.results.values()),
            "slowdown_p99": max(it["slowdown_p99"] for it in run.results.values()),
            "short_slowdown_p99": max(it["short_slowdown_p99"] for it in run.results.values()),
            "goodput_ratio": min(it["goodput_ratio"] for it in run.results.values()),
            "late_answers": run.sum("late_answers"),
            # Each load tool reads the workers' counts, which cover the load of all tools, so the
            # largest difference is the total.
            "duplicate_starts": max(it["duplicate_starts"] for it in run.results.values()),
            "wrong_verdicts": run.sum("wrong_verdicts"), "lost_answers": lost,
            "wrong_answers": run.sum("wrong_answers"),
            "wasted_messages_per_task": round(max(it["refusals"] for it in run.results.values()) /
                                              run.sum("tasks"), 5),
            "fault_seconds": fault_seconds, "jobs_in_fault": jobs,
            "served_ratio": round(complete / jobs, 5) if jobs else None, "unserved": reasons,
            "resubmissions": run.sum("resubmissions")}
        if run.last_unserved is not None:
            # Time from the start of the fault to the submission of the last unserved job.
            result["last_unserved_seconds"] = round(run.last_unserved - begin, 3)
        result["minted_unserved"] = run.minted_unserved
        if exit_codes:
            result["exit_codes"] = exit_codes
        for dc in names:
            own, own_complete, own_reasons = run.served([dc], begin + grace, end)
            result[f"served_ratio_{dc}"] = round(own_complete / own, 5) if own else None
            result[f"unserved_{dc}"] = own_reasons
        recovered = run.served(names, end + 1.5, end + 100)
        result["unserved_after"] = recovered[2]
        result["served_ratio_after"] = round(recovered[1] / recovered[0], 5) if recovered[0] else None
        bounds = dict(FAULT_BOUNDS)
        if name == "log_down_and_kill":
            # The killed entry owned half of north's caller-chosen ids. A hash selects these ids, so
            # the bound allows three standard deviations for it; all other jobs must be served.
            run.served(["north"], begin + grace, end)
            lost_ids = run.caller_ids / 2 + 3 * math.sqrt(run.caller_ids) / 2
            bounds["served_ratio_min"] = round(1 - lost_ids / jobs, 5)
            bounds["served_ratio_south_min"] = bounds["served_ratio_west_min"] = 1.0
            bounds["minted_unserved_max"] = 0
        elif name != "pause":
            bounds["served_ratio_min"] = 1.0
        # Keeps the logs of a run that missed a bound, for diagnosis.
        cluster.keep_logs = bool(emit(result, bounds))


# Scenario control


def configuration_versions(cluster):
    """Returns the configuration version of each entry; 0 for an entry that does not answer."""
    found = {}
    for entry in cluster.entries:
        try:
            status, body = call(entry.operators, "GET", "/v1/status", timeout=1)
            found[entry.name] = body["configuration_version"] if status == 200 else 0
        except (OSError, KeyError, TypeError):
            found[entry.name] = 0
    return found


def publish_and_time(cluster, weight):
    """Publishes one change. Returns the seconds from the start of the tool until all entries report
    the new version."""
    before = max(configuration_versions(cluster).values())
    started = time.monotonic()
    child = {}

    def publish():
        try:
            child["out"] = cluster.publish(weight, wait=False, timeout="30s")
        except HarnessError as failure:
            child["failure"] = failure

    thread = threading.Thread(target=publish)
    thread.start()
    while True:
        if min(configuration_versions(cluster).values()) > before:
            break
        if "failure" in child or time.monotonic() - started > 40:
            thread.join()
            raise HarnessError(
                f"a change is not in force: {child}; {configuration_versions(cluster)}")
        time.sleep(0.01)
    seconds = time.monotonic() - started
    thread.join()
    return seconds


def measure_usage(cluster, seconds, action=None):
    """Measures CPU time and socket bytes per second while the action runs, and returns the highest
    value of any entry."""
    cpu = [it.process.cpu_seconds() for it in cluster.entries]
    sent = [it.socket_bytes() for it in cluster.entries]
    started = time.monotonic()
    done = action() if action else None
    remaining = seconds - (time.monotonic() - started)
    if remaining > 0:
        time.sleep(remaining)
    wall = time.monotonic() - started
    return {
        "wall": wall, "done": done,
        "core_fraction": max((it.process.cpu_seconds() - start_value) / wall
                             for it, start_value in zip(cluster.entries, cpu)),
        "bytes_per_second": max((it.socket_bytes() - start_value) / wall
                                for it, start_value in zip(cluster.entries, sent))}


def run_control_size(workers, services, teams, quick):
    data_centres = [("north", 3, workers // 3), ("south", 2, workers // 3),
                    ("west", 2, workers - 2 * (workers // 3))]
    result = {"scenario": "control", "policy": "pollenwall", "tasks": 0, "load": 0,
              "workers": workers, "services": services, "teams": teams, "entries": 7}
    with Trial(data_centres, network=True, services=[f"service-{n}" for n in range(services)],
               teams=[f"team-{n}" for n in range(teams)]) as cluster:
        time.sleep(2)
        window = 5 if quick else 20
        idle = measure_usage(cluster, window)
        result["idle_core_fraction"] = round(idle["core_fraction"], 5)
        result["idle_bytes_per_second"] = round(idle["bytes_per_second"])
        weight = 1

        def changes():
            nonlocal weight
            count = 0
            until = time.monotonic() + window
            while time.monotonic() < until:
                weight = weight % 1000 + 1
                cluster.publish(weight, wait=False)
                count += 1
                time.sleep(0.4)
            return count

        busy = measure_usage(cluster, window, changes)
        # The accelerated sample gives the cost of one change; the cost of 3,900 changes a day is
        # added to the idle use.
        changes_per_second = busy["done"] / busy["wall"]
        rate_ratio = CHANGES_PER_DAY / SECONDS_PER_DAY / changes_per_second
        for field in ("core_fraction", "bytes_per_second"):
            extra = max(0.0, busy[field] - idle[field])
            result[field] = round(idle[field] + extra * rate_ratio, 5)
        result["accelerated_changes_per_second"] = round(changes_per_second, 2)
        result["accelerated_core_fraction"] = round(busy["core_fraction"], 5)
        result["accelerated_bytes_per_second"] = round(busy["bytes_per_second"])
        result["rss_bytes"] = max(it.process.rss_bytes() for it in cluster.entries)
        times = []
        for n in range(5 if quick else 25):
            times.append(publish_and_time(cluster, 2000 + n))
        result["in_force_seconds_p50"] = round(percentile(times, 0.5), 3)
        result["in_force_seconds_p99"] = round(percentile(times, 0.99), 3)
        faulty = []
        for n, fault in enumerate(({"kind": "late", "ms": 300}, {"kind": "lose_answer", "count": 3},
                                   {"kind": "drop", "count": 10}, {"kind": "refuse", "count": 10})):
            cluster.log_fault(fault)
            faulty.append(publish_and_time(cluster, 3000 + n))
            cluster.log_fault({"kind": "none"})
        result["in_force_seconds_with_faults"] = [round(it, 3) for it in faulty]
        result["in_force_seconds_p99_with_faults"] = round(max(faulty), 3)
        bounds = dict(BOUNDS["control"])
        bounds["in_force_seconds_p99_with_faults_max"] = 5
        emit(result, bounds)
    return result


def slope(results, field, size):
    """Returns the least-squares slope of a field over a size, for example the number of workers."""
    xs = [it[size] for it in results]
    ys = [it[field] for it in results]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    if spread == 0:
        return None
    return sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread


def run_control(quick):
    sizes = [(30, 1, 10), (120, 4, 40)] if quick else [
        (30, 1, 10), (120, 4, 40), (480, 8, 100), (1500, 8, 150)]
    results = [run_control_size(*size, quick) for size in sizes]
    line = {"scenario": "control.slopes", "policy": "pollenwall", "tasks": 0, "load": 0}
    for field in ("core_fraction", "bytes_per_second", "rss_bytes", "in_force_seconds_p99"):
        value = slope(results, field, "workers")
        line[f"{field}_per_1000_workers"] = None if value is None else float(f"{1000 * value:.4g}")
    line["sizes"] = [list(size) for size in sizes]
    emit(line, {})


# Scenarios in virtual time


def run_virtual(name, quick):
    argv = [program_path("pollenwall-bench"), "--scenario", name] + (["--quick"] if quick else [])
    done = subprocess.run(argv, stdout=subprocess.PIPE, text=True, check=False)
    for line in done.stdout.splitlines():
        print(line, flush=True)
    if done.returncode != 0:
        raise HarnessError(f"{' '.join(argv)} ended with {done.returncode}")


def main():
    scenarios = {"path": run_path}
    for name in VIRTUAL_SCENARIOS:
        scenarios[name] = lambda quick, name=name: run_virtual(name, quick)
    for name in FAULT_SCENARIOS:
        scenarios[f"faults.{name}"] = lambda quick, name=name: run_fault(name, quick)
    scenarios["control"] = run_control
    parser = argparse.ArgumentParser(
        prog="scripts/bench", description="Runs benchmark scenarios; one JSON object a line.",
        epilog="scenarios: " + ", ".join(scenarios) + "; 'faults' runs all faults")
    parser.add_argument("--quick", action="store_true", help="shorter runs, for a first look")
    parser.add_argument("scenario", nargs="*", help="all when none is named")
    arguments = parser.parse_args()
    names = []
    for name in arguments.scenario or list(scenarios):
        names += [f"faults.{it}" for it in FAULT_SCENARIOS] if name == "faults" else [name]
    unknown = [it for it in names if it not in scenarios]
    if unknown:
        parser.error(f"unknown scenarios: {', '.join(unknown)}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = []
    for name in names:
        note(f"running {name}")
        try:
            scenarios[name](arguments.quick)
        except (HarnessError, OSError, subprocess.SubprocessError) as failure:
            note(f"{name} could not run: {failure}")
            failed.append(name)
    if failed:
        note(f"could not run: {', '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
