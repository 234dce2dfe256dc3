"""Seeded random soak test of real processes on one machine; see scripts/soak."""

import argparse
import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from harness.cluster import HarnessError, Process, program_path, note
from harness.forwarder import Link
from harness.judge import Job, Judge

DATA_CENTRES = ("north", "south")
MILLICORES = 8000  # Capacity of a worker.
DEADLY_JOBS = 0.004  # Fraction of the jobs whose task crashes each worker that starts it.
LONG_WORK_MS = 1100  # Outlasts the longest lease, `holdMaxMs`.
CANCELLED_JOBS = 0.05  # Fraction of the jobs that are cancelled; a copy of them is sent later.
# The names in backquotes are those of the platform's figures.
DEADLINE_S = 1.5  # Time that a caller waits for an answer.
RETRY_DELAY_S = 1.3  # `retryDelayMs`: callers without an answer submit the job again after this.
CONFIG_APPLY_S = 2.0  # `configApplyMs`: entries apply a published configuration within this.
CONTACT_S = 3.0  # `contactMs`: an entry counts as undisturbed this long after its last fault.
RECOVERY_S = 12.0  # `recoveryS`: jobs are served again this long after the last fault.
STOP_GRACE_S = 6.0  # `graceS`: from SIGTERM to SIGKILL.
EVACUATE_S = 5.0  # `evacuateMs`: nothing starts in a data centre later than this.
LEARN_S = 2.0  # An entry that reaches the store or a peer again knows of evacuations after this.
QUIET_S = 18.0  # Fault-free time at the end, longer than RECOVERY_S.
HOST = "soak.example"
TIMER_TOLERANCE_S = 0.01  # Timers of the event loop may fire early by this.
MAX_IDLE_CONNECTIONS = 30


class Worker:
    def __init__(self, name, data_centre, port):
        self.name, self.data_centre, self.port = name, data_centre, port
        self.control = port + 1
        self.process = None
        self.id = f"{name}-{port}"
        self.log_offset = 0
        self.faulted = False  # Its process is paused or stopped; other such faults skip it.


class Entry:
    def __init__(self, name, data_centre, port):
        self.name, self.data_centre = name, data_centre
        self.callers, self.operators, self.peers, self.ready_port = port, port + 1, port + 2, port + 3
        self.process = None
        self.links = {}  # Target address: Link.
        self.is_ready = False
        self.stopping = False
        self.disturbed_at = 0.0  # When a fault that affects it last began or ended.
        self.active_faults = 0


class Soak:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        # Apart from the other draws, so that the regression seeds repeat their faults.
        self.deadly_random = random.Random(options.seed + 1)
        self.evacuation_random = random.Random(options.seed + 2)
        self.evacuations = []  # Data centre, times of the acknowledgement and of the revocation.
        self.blind = []  # Times in which entries may reach neither the store nor each other.
        self.cancel_random = random.Random(options.seed + 3)
        self.restart_random = random.Random(options.seed + 4)
        self.directory = tempfile.mkdtemp(prefix=f"pollenwall-soak-{options.seed}-")
        self.base = options.base
        # Runs copies of the programs, so that a build meanwhile does not replace them.
        self.programs = {it: shutil.copy(program_path(it), self.directory)
                         for it in ("platform-store", "platform-worker", "pollenwalld")}
        self.judge = Judge(MILLICORES)
        self.store_port = self.base
        self.store = None
        self.store_disturbed_at = 0.0
        self.store_active_faults = 0
        self.entries = []
        self.workers = []
        self.worker_starts = 0  # Each has a log of its own.
        self.routes = {}  # Path prefix: [time published or None, time removed or None].
        self.version = 0
        self.fault_log = []
        self.served_after_recovery = [0, 0]  # Jobs served, jobs sent.
        self.faults_ended_at = None
        self.closing = False
        self.idle_connections = []  # Callers' open connections, for reuse.
        for index, name in enumerate(DATA_CENTRES):
            for n in range(options.entries):
                self.entries.append(Entry(f"{name}-e{n}", name,
                                          self.base + 100 + 10 * len(self.entries)))
            for n in range(options.workers):
                self.workers.append(Worker(f"{name}-w{n}", name,
                                           self.base + 500 + 10 * len(self.workers)))

    # Processes.

    def start_store(self):
        self.store = Process("store", [self.programs["platform-store"], f"--port={self.store_port}"],
                             self.directory)

    def start_worker(self, worker):
        self.worker_starts += 1
        name = f"{worker.name}-{self.worker_starts}"
        worker.process = Process(name, [
            self.programs["platform-worker"], f"--name={worker.name}",
            f"--ports={worker.port}-{worker.port}", f"--control_port={worker.control}",
            f"--store=127.0.0.1:{self.store_port}", f"--data_centre={worker.data_centre}",
            f"--millicores={MILLICORES}"], self.directory)
        worker.faulted = False
        worker.log_offset = 0

    async def start_links(self, entry):
        targets = [self.store_port]
        targets += [it.peers for it in self.entries if it is not entry]
        targets += [it.port for it in self.workers]
        for port in targets:
            link = Link()
            link.port = await link.forward(("127.0.0.1", port))
            entry.links[port] = link

    def start_entry(self, entry):
        forwarders = ", ".join(f'"127.0.0.1:{port}=127.0.0.1:{link.port}"'
                               for port, link in entry.links.items() if port != self.store_port)
        text = (f"name: {entry.name}\ndata_centre: {entry.data_centre}\n"
                f"data_centres: [{', '.join(DATA_CENTRES)}]\n"
                f"listen:\n  callers: 127.0.0.1:{entry.callers}\n"
                f"  operators: 127.0.0.1:{entry.operators}\n  peers: 127.0.0.1:{entry.peers}\n"
                f"seeds: [127.0.0.1:{self.entries[0].peers}]\ntls: off\n"
                f"forwarders: [{forwarders}]\n"
                f"platform:\n  readiness: 127.0.0.1:{entry.ready_port}\n"
                f"  store: 127.0.0.1:{entry.links[self.store_port].port}\n"
                f"  machines: 127.0.0.1:{self.store_port}\n")
        path = os.path.join(self.directory, entry.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        offset = self.random.choice((0, 0, 0, -2000, 2000))
        entry.stopping = False
        entry.process = Process(f"{entry.name}-{len(self.fault_log)}", [
            self.programs["pollenwalld"], f"--settings={path}", f"--clock_offset_ms={offset}"],
            self.directory)

    # Configuration.

    async def publish(self):
        self.version += self.random.randint(1, 5)
        now = time.monotonic()
        new_prefix = f"/route{self.version}/"
        for times in self.routes.values():
            if times[1] is None and len(self.routes) > 1 and self.random.random() < 0.3:
                times[1] = now
        prefixes = [prefix for prefix, times in self.routes.items()
                    if times[1] is None] + [new_prefix]
        self.routes[new_prefix] = [None, None]
        routes = [{"name": prefix.strip("/"), "host": HOST, "pathPrefix": prefix,
                   "service": "dispatch", "timeoutMs": int(DEADLINE_S * 1000), "priority": n % 3,
                   "attempts": 2, "stretch": 1.6, "targetRuntimeMs": 60}
                  for n, prefix in enumerate(prefixes)]
        value = json.dumps({"version": self.version, "routes": routes, "limits": {},
                            "services": [{"name": "dispatch", "enforcesCapacity": False}]}).encode()
        record = bytes([6]) + b"config" + value
        status, _ = await http_call(self.store_port, "POST", "/log-append?topic=keyed.op&part=0",
                                    len(record).to_bytes(4, "big") + record)
        acknowledged = time.monotonic()
        if status == 200:
            self.routes[new_prefix][0] = acknowledged
            for times in self.routes.values():
                if times[1] == now:
                    times[1] = acknowledged
        else:  # The new configuration may or may not be in force; stop checking these routes.
            self.routes = {prefix: times for prefix, times in self.routes.items()
                           if prefix != new_prefix and times[1] != now}

    # Callers.

    def is_undisturbed(self, entry, since):
        disturbed_at = max(entry.disturbed_at, self.store_disturbed_at)
        return (disturbed_at + CONTACT_S < since and not entry.stopping and
                not entry.active_faults and not self.store_active_faults)

    async def run_caller(self, prefix, job, disconnect_after):
        body = json.dumps({"spec": job.spec, "bestEffort": True, "steps": [
            {"count": job.count, "cpu": 2000, "memMb": 64, "estimateMs": 100}]}).encode()
        sent = time.monotonic()
        while True:
            entry = self.pick_entry()
            if entry is None:
                await asyncio.sleep(0.2)
                if time.monotonic() > sent + DEADLINE_S:
                    return
                continue
            began = time.monotonic()
            limit = disconnect_after if disconnect_after else DEADLINE_S + 4
            connection = self.acquire_connection(entry)
            entry = connection.entry
            status, answer = await connection.call(
                "POST", prefix + job.name, body, limit,
                {"X-Pollenwall-Deadline-Ms": int(DEADLINE_S * 1000)})
            if connection.writer and len(self.idle_connections) < MAX_IDLE_CONNECTIONS:
                self.idle_connections.append(connection)
            ended = time.monotonic()
            state = answer.get("state") if isinstance(answer, dict) else None
            job.answers.append((ended, status, state))
            if status is None and disconnect_after and \
                    ended - began >= disconnect_after - TIMER_TOLERANCE_S:
                job.gave_up = True
                return
            self.check_answer(entry, prefix, job, status, answer, began, ended)
            if status == 200:
                break
            if status not in (None, 502, 504) or ended > sent + 3 * DEADLINE_S:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        if self.faults_ended_at and sent > self.faults_ended_at + RECOVERY_S:
            self.served_after_recovery[0] += status == 200
            self.served_after_recovery[1] += 1

    async def cancel_and_copy(self, prefix, job):
        """Cancels a job, and sends a copy of its submission seconds after the acknowledgement."""
        await asyncio.sleep(self.cancel_random.uniform(0.0, 0.3))
        ready = [it for it in self.entries if it.is_ready] or self.entries
        entry = self.cancel_random.choice(ready)
        status, _ = await http_call(entry.callers, "DELETE", prefix + job.name)
        if status != 200:
            return
        job.cancelled_at = time.monotonic()
        await asyncio.sleep(self.cancel_random.uniform(4.0, 8.0))
        body = json.dumps({"spec": job.spec, "bestEffort": True, "steps": [
            {"count": job.count, "cpu": 2000, "memMb": 64, "estimateMs": 100}]}).encode()
        entry = self.cancel_random.choice([it for it in self.entries if it.is_ready] or self.entries)
        await http_call(entry.callers, "POST", prefix + job.name, body)

    def acquire_connection(self, entry):
        """Returns a connection: in half of the calls an idle open one, if there is any, even to an
        entry that is no longer ready; otherwise a new one to `entry`."""
        self.idle_connections = [it for it in self.idle_connections if not it.reader.at_eof()]
        if self.idle_connections and self.random.random() < 0.5:
            return self.idle_connections.pop(self.random.randrange(len(self.idle_connections)))
        return Connection(entry.callers, entry)

    def check_answer(self, entry, prefix, job, status, problem, began, ended):
        published, removed = self.routes.get(prefix, [None, None])
        if status == 404 and published and removed is None and began > published + CONFIG_APPLY_S \
                and self.is_undisturbed(entry, began):
            self.judge.add_violation(
                "config", f"{entry.name} answered 404 for {prefix}, acknowledged "
                          f"{began - published:.1f} s before")
        if status not in (404, None) and removed and began > removed + CONFIG_APPLY_S \
                and self.is_undisturbed(entry, began):
            self.judge.add_violation(
                "config", f"{entry.name} answered {status} for {prefix}, removed "
                          f"{began - removed:.1f} s before")
        if ended - began > DEADLINE_S + 2 and self.is_undisturbed(entry, began) and \
                entry.disturbed_at < began:
            self.judge.add_violation(
                "held", f"{entry.name} held {job.name} for {ended - began:.1f} s")
        if status is None and entry.disturbed_at + CONTACT_S < began and not entry.stopping:
            self.judge.add_violation("lost", f"{entry.name} broke off {job.name} after "
                                             f"{ended - began:.3f} s: {problem}")

    def pick_entry(self):
        ready = [it for it in self.entries if it.is_ready]
        return self.random.choice(ready or self.entries)

    async def submit_jobs(self, until):
        tasks = set()
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(self.options.rate))
            prefixes = list(self.routes)
            if not prefixes:
                continue
            if self.random.random() < 0.9:  # The other calls also use routes that were removed.
                prefixes = [it for it in prefixes if self.routes[it][1] is None] or prefixes
            prefix = self.random.choice(prefixes[-4:])
            job = Job(f"{self.random.getrandbits(64):016x}", "", self.random.randint(1, 4))
            job.spec = json.dumps({"work_ms": self.random.choice((20, 50, 50, 150, 400)),
                                   "millicores": 2000, "fails": self.random.random() < 0.01})
            if self.deadly_random.random() < DEADLY_JOBS:
                job.count = 1
                job.spec = json.dumps({"work_ms": 50, "millicores": 2000, "crashes": True})
            self.judge.jobs[job.name] = job
            disconnect_after = self.random.uniform(
                0.02, 0.5) if self.random.random() < 0.05 else None
            started = [self.run_caller(prefix, job, disconnect_after)]
            if self.cancel_random.random() < CANCELLED_JOBS and "crashes" not in job.spec:
                started.append(self.cancel_and_copy(prefix, job))
            for task in map(asyncio.ensure_future, started):
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=3 * DEADLINE_S + 5)

    def submit_long_job(self):
        current = [it for it, (_, removed) in self.routes.items() if removed is None]
        if not current:
            return
        job = Job(f"{self.restart_random.getrandbits(64):016x}", "", len(self.workers))
        job.spec = json.dumps({"work_ms": LONG_WORK_MS, "millicores": 2000})
        self.judge.jobs[job.name] = job
        asyncio.ensure_future(self.run_caller(current[-1], job, None))

    async def balancer(self):
        async def poll_readiness(entry):
            misses = 0
            while not self.closing:
                status, _ = await http_call(entry.ready_port, "GET", "/readyz", limit=1.0)
                misses = 0 if status == 200 else misses + 1
                entry.is_ready = misses < 2 if entry.is_ready else status == 200
                await asyncio.sleep(1.0)
        await asyncio.gather(*(poll_readiness(it) for it in self.entries))

    # Worker logs and processes that exit unexpectedly.

    def read_worker_logs(self):
        for worker in self.workers:
            with open(worker.process.log_path, "rb") as file:
                file.seek(worker.log_offset)
                data = file.read()
            complete_length = data.rfind(b"\n") + 1
            worker.log_offset += complete_length
            for line in data[:complete_length].splitlines():
                self.judge.add_log_line(line.decode("utf-8", "replace"))

    async def watch(self):
        while not self.closing:
            await asyncio.sleep(0.5)
            self.read_worker_logs()
            faulted = any(it.faulted for it in self.workers)
            if not faulted and self.judge.check_finished_tasks(time.monotonic() - 2) and \
                    not self.closing:
                note("a task ran twice; the soak continues")
            for worker in self.workers:
                if not worker.faulted and not worker.process.running():  # Crashed by a task.
                    worker.faulted = True
                    asyncio.ensure_future(self.restart_worker(worker))
            for entry in self.entries:
                if entry.process and not entry.process.running() and not entry.stopping:
                    self.judge.add_violation("ended", f"{entry.name} ended by itself with "
                                                      f"{entry.process.child.returncode}")
                    self.start_entry(entry)

    # Faults. Each coroutine returns when the effect of the fault has ended. Their names are written to
    # faults.json.

    def mark_disturbed(self, entries):
        for entry in entries:
            entry.disturbed_at = time.monotonic()

    @contextlib.contextmanager
    def active_fault(self, entries):
        """Counts the entries as disturbed during the with block and CONTACT_S longer."""
        for entry in entries:
            entry.active_faults += 1
        self.mark_disturbed(entries)
        yield
        for entry in entries:
            entry.active_faults -= 1
        self.mark_disturbed(entries)

    async def kill_entry(self, seconds):
        entry = self.random.choice(self.entries)
        if entry.stopping:
            return
        entry.stopping = True
        self.mark_disturbed([entry])
        entry.process.signal(signal.SIGKILL)
        entry.process.child.wait()
        await asyncio.sleep(min(seconds, 3))
        self.start_entry(entry)
        self.mark_disturbed([entry])

    async def kill_all(self, _):
        entries = [it for it in self.entries if not it.stopping]
        for entry in entries:
            entry.stopping = True
            entry.process.signal(signal.SIGKILL)
        self.mark_disturbed(self.entries)
        await asyncio.sleep(0.5)
        for entry in entries:
            entry.process.child.wait()
            self.start_entry(entry)
        self.mark_disturbed(self.entries)

    async def pause_entry(self, seconds):
        entry = self.random.choice(self.entries)
        if entry.stopping:
            return
        with self.active_fault([entry]):
            entry.process.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            entry.process.signal(signal.SIGCONT)

    async def stop_entry(self, _):
        entry = self.random.choice(self.entries)
        if entry.stopping:
            return
        entry.stopping = True
        entry.process.signal(signal.SIGTERM)
        self.mark_disturbed([entry])
        until = time.monotonic() + STOP_GRACE_S
        while entry.process.running() and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if entry.process.running():
            self.judge.add_violation("drain", f"{entry.name} did not stop within {STOP_GRACE_S} s")
            entry.process.signal(signal.SIGKILL)
        entry.process.child.wait()
        self.start_entry(entry)
        self.mark_disturbed([entry])

    async def hang_up(self, _):
        entry = self.random.choice(self.entries)
        if not entry.stopping:
            entry.process.signal(signal.SIGHUP)

    async def kill_worker(self, seconds):
        worker = self.random.choice(self.workers)
        if not worker.faulted and worker.process.running():
            await self.kill_and_start(worker, seconds)

    async def kill_and_start(self, worker, seconds):
        """Starts the worker again under its id after the given time."""
        worker.faulted = True
        worker.process.signal(signal.SIGKILL)
        worker.process.child.wait()
        died = time.monotonic()
        self.read_worker_logs()
        self.judge.record_worker_death(worker.id, died)
        await asyncio.sleep(seconds)
        self.start_worker(worker)

    async def cut_restarted_workers(self, until):
        """Kills workers, and cuts all links to them soon after they have started again."""
        while time.monotonic() + 3 < until:
            await asyncio.sleep(self.restart_random.uniform(0.5, 3))
            worker = self.restart_random.choice(self.workers)
            if worker.faulted or not worker.process.running():
                continue
            await self.kill_and_start(worker, self.restart_random.uniform(0.02, 0.4))
            worker.faulted = True
            await asyncio.sleep(self.restart_random.uniform(0.0, 0.3))
            self.submit_long_job()
            await asyncio.sleep(self.restart_random.uniform(0.02, 0.3))
            change = self.restart_random.choice((Link.refuse, Link.refuse, Link.silence, Link.cut))
            await self.change_links(lambda _, port: port == worker.port, change, 2.0)
            worker.faulted = False

    async def restart_worker(self, worker):
        await asyncio.sleep(self.deadly_random.uniform(0.5, 3.0))
        self.read_worker_logs()
        self.start_worker(worker)

    async def pause_worker(self, seconds):
        worker = self.random.choice(self.workers)
        if worker.faulted or not worker.process.running():
            return
        worker.faulted = True
        worker.process.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        worker.process.signal(signal.SIGCONT)
        await asyncio.sleep(0.2)
        worker.faulted = False

    async def retire_worker(self, _):
        worker = self.random.choice(self.workers)
        if worker.faulted or not worker.process.running():
            return
        worker.faulted = True
        worker.process.signal(signal.SIGTERM)
        while worker.process.running():
            await asyncio.sleep(0.05)
        self.read_worker_logs()
        self.judge.record_worker_death(worker.id, time.monotonic())
        await asyncio.sleep(1.0)
        self.start_worker(worker)

    async def misbehave(self, seconds):
        worker = self.random.choice(self.workers)
        fault = self.random.choice(({"slowness": 6.5}, {"hangs": True}, {"fails_all": True}))
        await http_call(worker.control, "POST", "/behaviour", json.dumps(fault).encode())
        await asyncio.sleep(seconds)
        await http_call(worker.control, "POST", "/behaviour", b"{}")

    async def disturb_worker_calls(self, seconds):
        worker = self.random.choice(self.workers)
        kind = self.random.choice(("lose_answer", "late", "delay", "drop"))
        ms = self.random.randint(500, 4000)
        await self.apply_fault(worker.port, kind, ms, seconds, self.random.randint(3, 60))

    async def disturb_store(self, seconds):
        kind = self.random.choice(("outage", "delay", "lose_answer", "refuse", "stall"))
        self.store_active_faults += 1
        ms = self.random.randint(100, 1500) if kind == "delay" else 0
        with self.blinded():
            await self.apply_fault(self.store_port, kind, ms, seconds)
        self.store_active_faults -= 1
        self.store_disturbed_at = time.monotonic()

    async def apply_fault(self, port, kind, ms, seconds, count=0):
        for body in ({"kind": kind, "ms": ms, "count": count}, {"kind": "none"}):
            await http_call(port, "POST", "/fault", json.dumps(body).encode())
            if body["kind"] != "none":
                await asyncio.sleep(seconds)

    async def change_links(self, selects, change, seconds):
        links = [(entry, link) for entry in self.entries for port, link in entry.links.items()
                 if selects(entry, port)]
        for _, link in links:
            change(link)
        await asyncio.sleep(seconds)
        for _, link in links:
            link.heal()

    async def harm_links(self, seconds):
        """Delays, resets, cuts one way or silences the links of one entry or of a data centre."""
        change = self.random.choice((
            lambda it: setattr(it, "delay", 0.05), lambda it: setattr(it, "delay", 0.4),
            Link.reset, Link.silence, lambda it: it.cut(["up"]), lambda it: it.cut(["down"]),
            lambda it: it.cut(["up", "down"])))
        chosen_entry = self.random.choice(self.entries)
        chosen_data_centre = self.random.choice(DATA_CENTRES)
        data_centre_of_port = {it.peers: it.data_centre for it in self.entries}
        data_centre_of_port.update({it.port: it.data_centre for it in self.workers})
        selects = self.random.choice((
            lambda entry, port: entry is chosen_entry,
            lambda entry, port: entry is chosen_entry and port == self.store_port,
            lambda entry, port: entry is chosen_entry and port >= self.base + 500,
            lambda entry, port: entry is chosen_entry and self.base + 100 <= port < self.base + 500,
            lambda entry, port: data_centre_of_port.get(port, None) != entry.data_centre and
            chosen_data_centre in (entry.data_centre, data_centre_of_port.get(port))))
        # A cut between an entry and its peers affects both sides.
        with self.active_fault(self.entries), self.blinded():
            await self.change_links(selects, change, seconds)

    # Evacuations.

    async def write_evacuation(self, data_centre, value):
        key = f"evacuate/{data_centre}".encode()
        record = bytes([len(key)]) + key + value
        while True:
            status, _ = await http_call(self.store_port, "POST", "/log-append?topic=keyed.op&part=0",
                                        len(record).to_bytes(4, "big") + record)
            if status == 200:
                return time.monotonic()
            await asyncio.sleep(0.2)

    async def evacuate_at_random(self, until):
        """Evacuates a data centre for some seconds, again and again."""
        while time.monotonic() + 12 < until:
            await asyncio.sleep(self.evacuation_random.uniform(2, 8))
            data_centre = self.evacuation_random.choice(DATA_CENTRES)
            acknowledged = await self.write_evacuation(data_centre, b"{}")
            await asyncio.sleep(self.evacuation_random.uniform(1, 12))
            revoked = time.monotonic()
            await self.write_evacuation(data_centre, b"")
            self.evacuations.append((data_centre, acknowledged, revoked))

    def check_evacuations(self):
        for data_centre, acknowledged, revoked in self.evacuations:
            for task, runs in self.judge.runs.items():
                for run in runs:
                    if run.worker.startswith(f"{data_centre}-") and \
                            acknowledged + EVACUATE_S < run.start < revoked and \
                            not any(began < run.start and run.start - LEARN_S < ended
                                    for began, ended in self.blind):
                        self.judge.add_violation(
                            "evacuated", f"{task} started on {run.worker} "
                                         f"{run.start - acknowledged:.1f} s after the evacuation")

    @contextlib.contextmanager
    def blinded(self):
        began = time.monotonic()
        yield
        self.blind.append((began, time.monotonic()))

    async def change_configuration(self, _):
        await self.publish()

    def report_failed_fault(self, task):
        if task.exception() is not None:
            self.judge.add_violation("harness", f"a fault ended with {task.exception()!r}")

    async def inject_faults(self, until):
        kinds = (self.kill_entry, self.kill_entry, self.kill_all, self.pause_entry, self.pause_entry,
                 self.stop_entry, self.stop_entry, self.hang_up, self.kill_worker, self.pause_worker,
                 self.retire_worker, self.misbehave, self.misbehave, self.disturb_worker_calls,
                 self.disturb_worker_calls, self.disturb_store, self.harm_links, self.harm_links,
                 self.harm_links, self.change_configuration, self.change_configuration)
        running = set()
        while time.monotonic() < until:
            kind = self.random.choice(kinds)
            seconds = min(self.random.uniform(0.3, 6.0), max(0.3, until - time.monotonic()))
            self.fault_log.append((round(time.monotonic(), 3), kind.__name__, round(seconds, 2)))
            task = asyncio.ensure_future(kind(seconds))
            running.add(task)
            task.add_done_callback(running.discard)
            task.add_done_callback(self.report_failed_fault)
            await asyncio.sleep(self.random.uniform(0.3, 3.0))
        if running:
            await asyncio.gather(*running)

    # Sequence of a soak.

    async def run(self):
        self.start_store()
        await self.await_http(self.store_port, "/log-newest?topic=keyed.op&part=0")
        for worker in self.workers:
            self.start_worker(worker)
        await self.publish()
        for entry in self.entries:
            await self.start_links(entry)
        for entry in self.entries:
            self.start_entry(entry)
        self.mark_disturbed(self.entries)
        self.store_disturbed_at = time.monotonic()
        background_tasks = [asyncio.ensure_future(self.balancer()),
                            asyncio.ensure_future(self.watch())]
        until = time.monotonic() + 10
        while not all(it.is_ready for it in self.entries):
            if time.monotonic() > until:
                raise HarnessError("not all entries became ready within 10 s")
            await asyncio.sleep(0.1)
        end = time.monotonic() + self.options.minutes * 60
        traffic = asyncio.ensure_future(self.submit_jobs(end + QUIET_S))
        others = [asyncio.ensure_future(self.evacuate_at_random(end)),
                  asyncio.ensure_future(self.cut_restarted_workers(end))]
        await self.inject_faults(end)
        await asyncio.gather(*others)
        self.faults_ended_at = time.monotonic()
        note(f"{len(self.fault_log)} faults have ended; {QUIET_S} s without faults follow")
        await traffic
        await asyncio.sleep(2.0)
        self.closing = True
        await asyncio.gather(*background_tasks)
        self.read_worker_logs()
        self.judge.check_all({it.id for it in self.workers})
        self.check_evacuations()
        served, sent = self.served_after_recovery
        if sent == 0 or served < sent / 4:
            self.judge.add_violation(
                "recover", f"{served} of {sent} jobs served after {RECOVERY_S} s")
        for connection in self.idle_connections:
            connection.close()
        for entry in self.entries:
            for link in entry.links.values():
                link.close()
        await asyncio.sleep(0.1)

    @staticmethod
    async def await_http(port, path):
        for _ in range(100):
            if (await http_call(port, "GET", path, limit=1.0))[0] is not None:
                return
            await asyncio.sleep(0.05)
        raise HarnessError(f"port {port} does not answer")

    def stop(self):
        processes = [it.process for it in self.entries + self.workers if it.process]
        for process in processes + [self.store]:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in processes + [self.store]:
            process.child.wait()


class Connection:
    """An HTTP/1.1 keep-alive connection for one call at a time."""

    def __init__(self, port, entry=None):
        self.port, self.entry = port, entry
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, body=b"", limit=5.0, headers=None):
        """Returns the status and the body. The status is None if no answer arrived within the
        limit or the connection broke."""
        try:
            return await asyncio.wait_for(self._exchange(method, path, body, headers or {}), limit)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.close()
            return None, {"problem": repr(error)}

    async def _exchange(self, method, path, body, headers):
        if not self.writer:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(it.split(": ", 1) for it in head.strip().split("\r\n")[1:])
        data = await self.reader.readexactly(int(fields.get("content-length", "0")))
        if fields.get("connection") == "close":
            self.close()
        status = int(head.split(" ", 2)[1])
        try:
            return status, json.loads(data)
        except ValueError:
            return status, data


async def http_call(port, method, path, body=b"", limit=5.0):
    """Makes one call on a new connection and closes it."""
    connection = Connection(port)
    try:
        return await connection.call(method, path, body, limit)
    finally:
        connection.close()


def main():
    parser = argparse.ArgumentParser(prog="scripts/soak")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=1.0, help="of faults; calm seconds follow")
    parser.add_argument("--entries", type=int, default=3, help="of each data centre")
    parser.add_argument("--workers", type=int, default=4, help="of each data centre")
    parser.add_argument("--rate", type=float, default=40.0, help="jobs a second")
    parser.add_argument("--base", type=int,
                        default=int(os.environ.get("POLLENWALL_BASE_PORT", "20000")))
    parser.add_argument("--keep", action="store_true", help="keep the logs of a run that passes")
    options = parser.parse_args()
    soak = Soak(options)
    try:
        asyncio.run(soak.run())
    except HarnessError as failure:
        soak.judge.add_violation("harness", str(failure))
    finally:
        soak.stop()
    judge = soak.judge
    statuses = {}
    for job in judge.jobs.values():
        last = job.last_answer()
        name = "gave_up" if job.gave_up else str(last[2] or last[1]) if last else "none"
        statuses[name] = statuses.get(name, 0) + 1
    print(json.dumps({"seed": options.seed, "faults": len(soak.fault_log),
                      "evacuations": len(soak.evacuations), "jobs": len(judge.jobs),
                      "starts": judge.starts, "answers": statuses,
                      "cancelled": sum(it.cancelled_at is not None for it in judge.jobs.values()),
                      "served_after_recovery": soak.served_after_recovery,
                      "violations": judge.violations[:20], "violation_count": len(judge.violations),
                      "logs": soak.directory}))
    with open(os.path.join(soak.directory, "faults.json"), "w", encoding="utf-8") as file:
        json.dump(soak.fault_log, file)
    if not judge.violations and not options.keep:
        shutil.rmtree(soak.directory)
    return 1 if judge.violations else 0


if __name__ == "__main__":
    sys.exit(main())
