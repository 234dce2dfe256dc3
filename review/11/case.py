"""A worker crashes, starts again under its id, gets a task and is cut off: the task runs twice."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
import deployment  # noqa: E402

DOWN_S = 0.15  # From the crash to the next life.
CUT_AFTER_S = 0.03  # From the start of a task to the cut.
CUT_S = 3.0
TASK_MS, CPU, COUNT = 1100, 27000, 5
ROUNDS = 8


class Worker(deployment.Worker):
    """Notes when runs begin and end, and can be cut off while its runs go on."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.begun = {}
        self.intervals = []  # (task, run, begin, end, how)
        self.polled_at = 0.0
        self.on_start = None

    async def handle(self, method, target, headers, body):
        if target == "/hold":
            self.polled_at = self.record.now()
        return await super().handle(method, target, headers, body)

    def start_run(self, order):
        before = len(self.starts)
        answer = super().start_run(order)
        if len(self.starts) > before:
            self.begun[order["task"]] = self.record.now()
            if self.on_start is not None:
                self.on_start()
        return answer

    def end(self, task, how):
        run = self.runs[task][0]
        self.intervals.append((task, run, self.begun.pop(task), self.record.now(), how))
        super().end(task, how)

    def crash(self):
        for task in self.runs:
            self.intervals.append((task, self.runs[task][0], self.begun.pop(task),
                                   self.record.now(), "crashed"))
        super().crash()

    async def cut_off(self, seconds):
        """Refuses connections, while what runs goes on under its lease."""
        self.record.write(f"worker {self.id} is cut off, runs on with {sorted(self.runs)}")
        self.server.stop()
        await asyncio.sleep(seconds)
        self.server = deployment.HttpServer(self.port, self.handle)
        await self.server.start()
        self.record.write(f"worker {self.id} is reachable again")


async def main():
    case = deployment.Deployment(HERE, ["north", "south"], 2, 4, 64000)
    case.workers = [Worker(case.store, case.record, it.id, it.zone, it.port, it.cpu)
                    for it in case.workers]
    rng = random.Random(1)
    played = 0
    try:
        await case.start()
        for number in range(ROUNDS):
            worker = case.workers[number % len(case.workers)]
            # Just after a poll, while it is idle: it is polled once a second then.
            seen = worker.polled_at
            while worker.polled_at == seen:
                await asyncio.sleep(0.005)
            cut = []

            def on_start(worker=worker, cut=cut):
                worker.on_start = None

                async def cut_soon():
                    await asyncio.sleep(CUT_AFTER_S)
                    await worker.cut_off(CUT_S)
                cut.append(asyncio.ensure_future(cut_soon()))

            if case.trouble:
                worker.crash()
                await asyncio.sleep(DOWN_S)
                await worker.start()
                worker.on_start = on_start
            await asyncio.sleep(0.1)
            jobs = [asyncio.ensure_future(case.submit(
                rng.choice(case.entries), f"{rng.getrandbits(64):016x}", COUNT, CPU, TASK_MS))
                for _ in range(2)]
            await asyncio.gather(*jobs)
            played += len(cut)
            worker.on_start = None
            if cut:
                await asyncio.gather(*cut)
            await asyncio.sleep(2.5)
        by_task = {}
        for worker in case.workers:
            for task, run, begin, end, how in worker.intervals:
                by_task.setdefault(task, []).append((begin, end, run, worker.id, how))
        broken = 0
        for task, runs in by_task.items():
            runs.sort()
            for one, other in zip(runs, runs[1:]):
                if other[0] < one[1] - 0.01:
                    broken += 1
                    case.record.write(
                        f"TWICE: {task} run {one[2]} on {one[3]} from {one[0]:.3f} to {one[1]:.3f} "
                        f"({one[4]}), run {other[2]} on {other[3]} from {other[0]:.3f} to "
                        f"{other[1]:.3f} ({other[4]})")
        case.record.write(f"{played} of {ROUNDS} rounds played, {broken} times two runs at a time")
        if case.trouble and not played:
            return 2
        return 1 if broken else 0
    finally:
        await case.stop()


if __name__ == "__main__":
    sys.exit(deployment.run(main))
