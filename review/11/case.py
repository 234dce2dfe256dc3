"""A machine is cut off; a job that was cancelled there starts again on the other side."""

import asyncio
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
import deployment  # noqa: E402

CANCEL_S, STOP_S = 3.0, 0.05  # `cancel_ms` and `stopMs` of the sheet.
MAX_CUT_S = 12.0  # Of `node_cut` with `meet`.
JOBS = 8
ROUTES = [("jobs", "/jobs/", "dispatch")]


async def main():
    case = deployment.Deployment(HERE, ["north"], 6, 6, 64000)
    rng = random.Random(1)
    try:
        await case.add_proxies()
        await case.start()
        # One of the entries that hold no workers; any of them does.
        cut = None
        for entry in case.entries:
            _, text = await case.call(entry.own, "GET", "/dump")
            if not json.loads(text)["candidate"]:
                cut = entry
        if cut is None:
            return 2
        others = [it for it in case.entries if it is not cut]
        began = case.record.now()
        if case.trouble:
            case.cut_off(cut, True)
        await asyncio.sleep(2.0)
        case.publish(ROUTES)  # `meet`: the configuration changes during the cut, and at its end.
        await asyncio.sleep(2.0)
        cancelled = {}

        async def one():
            job = f"{rng.getrandbits(64):016x}"
            post = asyncio.ensure_future(case.submit(cut, job, 1, 8000, 900))
            await asyncio.sleep(0.3)
            status, text = await case.call(cut.front, "DELETE", "/jobs/" + job, limit=3.0)
            case.record.write(f"cancel of {job} at {cut.name}: {status} {text[:90]}")
            if status == 200:
                cancelled[job] = case.record.now()
            await post
            # The submission arrives once more, seconds later, at another entry.
            await asyncio.sleep(max(0.0, cancelled.get(job, 0) + CANCEL_S + 0.3 -
                                    case.record.now()))
            await case.submit(rng.choice(others), job, 1, 8000, 900)

        tasks = []
        for _ in range(JOBS):
            tasks.append(asyncio.ensure_future(one()))
            await asyncio.sleep(0.3)
        await asyncio.gather(*tasks)
        if case.trouble:
            case.cut_off(cut, False)
        case.publish(ROUTES)
        if case.record.now() - began > MAX_CUT_S:
            return 2
        late = []
        for worker in case.workers:
            for at, task, run, _, _, _ in worker.starts:
                acknowledged = cancelled.get(task.split(".")[0])
                if acknowledged is not None and at > acknowledged + CANCEL_S + STOP_S:
                    late.append((at, task, run, worker.id, acknowledged))
        for at, task, run, worker, acknowledged in late:
            case.record.write(f"UNASKED: {task} run {run} starts on {worker} at {at:.3f} s, its "
                              f"cancel was acknowledged at {acknowledged:.3f} s")
        case.record.write(f"{len(cancelled)} of {JOBS} cancels acknowledged, {len(late)} late starts")
        if not cancelled:
            return 2
        return 1 if late else 0
    finally:
        await case.stop()


if __name__ == "__main__":
    sys.exit(deployment.run(main))
