"""Runs jobs on two data centres with two entries each; see scripts/quickstart."""

import os
import shutil
import signal
import sys
import time

from harness.cluster import Cluster, HarnessError, note

SECONDS = 5


def report(result, cluster):
    print(f"jobs            {result['jobs']} with {result['tasks']} tasks, "
          f"{result['complete']} complete, {result['failed']} failed, {result['refused']} refused")
    print(f"response time   p50 {result['response_ms_p50']:.1f} ms, "
          f"p99 {result['response_ms_p99']:.1f} ms, p99.9 {result['response_ms_p999']:.1f} ms")
    print(f"slowdown        p50 {result['slowdown_p50']:.3f}, p99 {result['slowdown_p99']:.3f}")
    verdicts = ", ".join(f"{name} {n}" for name, n in result["verdicts"].items())
    codes = ", ".join(f"{name} {n}" for name, n in result["codes"].items())
    print(f"verdicts        {verdicts}; codes: {codes or 'none'}")
    print(f"checks          lost answers {result['lost_answers']}, "
          f"wrong answers {result['wrong_answers']}, "
          f"duplicate starts {result['duplicate_starts']}, "
          f"wrong verdicts {result['wrong_verdicts']}")
    starts = result["starts_per_worker"]
    at = 0
    for name, workers in cluster.workers.items():
        own = starts[at:at + len(workers)]
        at += len(workers)
        print(f"starts          {name}: {' '.join(str(n) for n in own)}")


def publish_examples(cluster):
    """Publishes the two example deployments at full size, one after the other."""
    examples = os.path.join(os.path.dirname(__file__), "..", "..", "examples")
    for name in ("pressed-and-collected.yaml", "ngata-whitcombe.yaml"):
        note(f"publishing examples/{name}")
        print(cluster.publish_file(os.path.join(examples, name)))


def make_cluster():
    return Cluster([("north", 2, 6), ("south", 2, 6)], teams=["pickups", "quotes", "routing"])


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    stay = sys.argv[1:] == ["--stay"]
    if sys.argv[1:] and not stay:
        note("Usage: scripts/quickstart [--stay]")
        return 2
    cluster = make_cluster()
    passed = False
    try:
        note(f"starting the stand-ins and 4 entries on ports from {cluster.base}")
        cluster.start_standins()
        cluster.start_entries()
        note("publishing the configuration")
        print(cluster.publish())
        cluster.await_ready()
        note(f"submitting jobs for {SECONDS} s through 4 entries")
        result = cluster.load(cluster.entries, rates="0:120", seconds=SECONDS,
                              slots=cluster.total_slots(), caller_ids=0.5, homes="north,south",
                              scenario="quickstart")
        report(result, cluster)
        if not stay:
            publish_examples(cluster)
        passed = result["jobs"] > 0 and result["complete"] == result["jobs"] and not any(
            result[it] for it in ("lost_answers", "wrong_answers", "duplicate_starts",
                                  "wrong_verdicts"))
        if stay:
            note("callers' ports: " + " ".join(f"{it.name} {it.callers}" for it in cluster.entries))
            note("press Ctrl-C to stop everything")
            while True:
                time.sleep(1)
    except KeyboardInterrupt:
        note("stopping")
    except HarnessError as failure:
        note(f"quickstart: {failure}")
    finally:
        codes = cluster.stop()
    unclean = {name: code for name, code in codes.items() if code != 0}
    if unclean:
        note(f"quickstart: entries with an exit code other than 0: {unclean}")
        passed = False
    if passed:
        shutil.rmtree(cluster.directory)
        print("all jobs were answered right")
    else:
        note(f"quickstart: failed; logs are in {cluster.directory}")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
