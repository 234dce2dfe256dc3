"""Stand-ins for the platform's store and workers, and callers, for the scripts of the second review.

One asyncio loop serves all of them on loopback addresses. The processes of the system are started
with the command of deploy/system.toml and with settings rendered from its template.

The store keeps keyed topics in memory. A worker checks fencing tokens, leases and the numbers of
runs, and starts whatever it is told to, as the pages say of a service whose `enforcesCapacity` is
false. It registers itself in the store when it starts, and again every 1.5 s.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "review.example"
PREFIX = "/queue/"
SERVICE = "dispatch"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STARTED = time.monotonic()


class Record:
    """The file record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, directory, append):
        self.file = open(os.path.join(directory, "record.txt"), "a" if append else "w",
                         encoding="utf-8")

    def add(self, text):
        self.file.write(f"{time.monotonic() - STARTED:9.3f} {text}\n")
        self.file.flush()


async def read_request(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


async def serve(ip, port, handler):
    """handler(method, path, query, headers, body) returns (status, bytes) or None to close."""
    writers = set()

    async def connected(reader, writer):
        writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                method, target, headers, body = request
                path, _, query = target.partition("?")
                answer = await handler(method, path, dict(urllib.parse.parse_qsl(query)), headers,
                                       body)
                if answer is None:
                    break
                status, data = answer
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connected, ip, port)
    server.writers = writers
    return server


def close_hard(server):
    """Closes the listener and resets all connections, as the death of a process does."""
    server.close()
    for writer in list(server.writers):
        writer.transport.abort()


class Store:
    def __init__(self):
        self.topics = {}  # Name: list of (key, value).
        self.changed = asyncio.Condition()

    async def start(self, ip, port):
        self.server = await serve(ip, port, self.handle)

    async def append(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, query, _headers, body):
        topic = query.get("topic", "")
        log = self.topics.setdefault(topic, [])
        if path == "/log-append":
            offset = len(log)
            while body:
                size = int.from_bytes(body[:4], "big")
                data, body = body[4:4 + size], body[4 + size:]
                key = data[1:1 + data[0]].decode()
                await self.append(topic, key, data[1 + data[0]:])
            return 200, json.dumps({"offset": offset, "end": len(log)}).encode()
        if path == "/log-read":
            first = int(query["from"])
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while len(log) <= first and time.monotonic() < until:
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(),
                                               max(0.001, until - time.monotonic()))
                except asyncio.TimeoutError:
                    break
            data = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in log[first:]:
                record = bytes([len(key)]) + key.encode() + value
                data += len(record).to_bytes(4, "big") + record
            return 200, data
        if path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(log):
                newest[key] = (value, offset)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in newest.items() if value]
            return 200, json.dumps({"items": items, "hasMore": False, "end": len(log)}).encode()
        return 404, b"{}"

    async def publish(self, version, routes):
        await self.append("keyed.op", "config", json.dumps(
            {"version": version, "limits": {}, "routes": routes,
             "services": [{"name": SERVICE, "enforcesCapacity": False}]}).encode())


def route(timeout_ms=60000, priority=1, attempts=3):
    return {"name": "queue", "host": HOST, "pathPrefix": PREFIX, "service": SERVICE,
            "timeoutMs": timeout_ms, "priority": priority, "attempts": attempts, "stretch": 1.6,
            "targetRuntimeMs": 60}


class Worker:
    """One life of a worker. A restart is a new object with the same id, ip and port."""

    def __init__(self, record, store, wid, zone, ip, port, cpu, work_ms):
        self.record, self.store = record, store
        self.id, self.zone, self.ip, self.port, self.cpu = wid, zone, ip, port, cpu
        self.work_ms = work_ms  # work_ms(spec): how long a task of this spec works.
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.token = 0
        self.lease_end = 0
        self.runs = {}  # Task: [run, end of work on the clock, cpu, spec, its start].
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.seq = 0
        self.kind = "b" if cpu > 64000 else "a"
        self.draining = False
        self.alive = False
        self.waiting = asyncio.Condition()
        self.on_start = None  # on_start(worker, task, run, spec): called at each start.

    def clock(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    def used(self):
        return sum(it[2] for it in self.runs.values())

    def percent(self, run):
        """The share of the work that is done."""
        return min(100, 100 * (self.clock() - run[4]) // max(1, run[1] - run[4]))

    def entry(self):
        self.seq += 1
        return json.dumps(
            {"service": SERVICE, "address": f"{self.ip}:{self.port}", "zone": self.zone,
             "version": "1", "slots": 8, "state": "draining" if self.draining else "ready",
             "coldLeftMs": 0, "seq": self.seq, "born": self.born, "machine": "m-" + self.id,
             "capacity": {"cpu": self.cpu, "memMb": 131072, "gpu": 0},
             "labels": [self.kind, "r1-1"]}).encode()

    async def start(self):
        self.alive = True
        await self.store.append("keyed.servers", self.id, self.entry())
        self.record.add(f"worker {self.id} starts, born {self.born}, and registers cpu {self.cpu}")
        self.server = await serve(self.ip, self.port, self.handle)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]

    def kill(self):
        self.alive = False
        self.record.add(f"worker {self.id} is killed with {len(self.runs)} runs")
        for task in self.tasks:
            task.cancel()
        close_hard(self.server)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.store.append("keyed.servers", self.id, self.entry())

    async def tick(self):
        while True:
            await asyncio.sleep(0.003)
            await self.advance()

    async def end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run[0])
        self.last_end += 1
        self.ends.append([self.last_end, task, run[0], how, ""])
        self.record.add(f"worker {self.id} ends {task} run {run[0]}: {how}")
        async with self.waiting:
            self.waiting.notify_all()

    async def advance(self):
        now = self.clock()
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue
            if run[1] <= min(now, self.lease_end):
                await self.end(task, "done")
            elif self.lease_end <= now:
                await self.end(task, "lapsed")

    def answer(self, status, body=None):
        return status, json.dumps({**(body or {}), "clockMs": self.clock(),
                                   "born": self.born}).encode()

    def extend(self, deadline):
        if deadline:
            self.lease_end = max(self.lease_end, min(deadline, self.clock() + HOLD_MAX_MS))

    async def handle(self, _method, path, _query, headers, body):
        if not self.alive:
            return None
        expected = headers.get("x-pollenwall-expect-instance")
        if expected and expected != self.id:
            return self.answer(421)
        await self.advance()
        call = json.loads(body)
        if call.get("fencingToken", 0) < self.token:
            return self.answer(409, {"reason": "fence"})
        self.token = call.get("fencingToken", 0)
        if path == "/run-start":
            return self.run_start(call)
        if path == "/run-stop":
            task = call["task"]
            self.highest[task] = max(self.highest.get(task, 0), call["run"])
            if task in self.runs and self.runs[task][0] <= call["run"]:
                await self.end(task, "stopped")
            return self.answer(200)
        if path == "/hold":
            self.extend(call.get("deadlineMs"))
            self.ends = [it for it in self.ends if it[0] > call["lastSeen"]]
            until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
            while not self.ends and time.monotonic() < until and self.alive:
                try:
                    async with self.waiting:
                        await asyncio.wait_for(self.waiting.wait(),
                                               max(0.001, until - time.monotonic()))
                except asyncio.TimeoutError:
                    break
            if not self.alive:
                return None
            return self.answer(200, {
                "running": [[task, it[0], "", self.percent(it), it[2]]
                            for task, it in self.runs.items()],
                "finished": self.ends[:500]})
        return self.answer(400)

    def run_start(self, call):
        task, run = call["task"], call["run"]
        old = self.runs.get(task)
        if old and old[0] == run:
            self.extend(call["deadlineMs"])
            return self.answer(200)
        if run <= self.highest.get(task, 0) or (old and run <= old[0]):
            self.extend(call["deadlineMs"])
            return self.answer(409, {"reason": "old"})
        if call["deadlineMs"] <= self.clock():
            return self.answer(409, {"reason": "late"})
        self.extend(call["deadlineMs"])
        spec = call["spec"]
        cpu = int(spec.split()[1])
        now = self.clock()
        self.runs[task] = [run, now + self.work_ms(spec), cpu, spec, now]
        self.record.add(f"worker {self.id} starts {task} run {run}, token {call['fencingToken']}: "
                        f"{self.used()} of {self.cpu} cpu in use")
        if self.on_start:
            self.on_start(self, task, run, spec)
        return self.answer(200)


def deployed_role():
    """The command and the template of the only role of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    command = re.search(r'^run = "(.*)"', text, re.MULTILINE)[1]
    with open(os.path.join(ROOT, re.search(r'^template = "(.*)"', text, re.MULTILINE)[1]),
              encoding="utf-8") as file:
        return command, file.read()


class Entry:
    """A process of the system, with settings as deploy/entry.yaml.in renders them."""

    def __init__(self, record, directory, name, zone, zones, ip, ports, seeds, store):
        self.record, self.name, self.ip, self.zone = record, name, ip, zone
        self.front, self.ready, self.control, self.operators = ports
        self.directory = directory
        self.child = None
        self.path = os.path.join(directory, name + ".yaml")
        fields = {"node": name, "zone": zone, "ip": ip, "seeds": ",".join(seeds),
                  "listen.front": f"{ip}:{self.front}", "listen.ready": f"{ip}:{self.ready}",
                  "listen.control": f"{ip}:{self.control}", "portRange.0": str(self.operators),
                  "platform.address": store, "cloud.address": store, "limits.cpuShare": "0.25",
                  "limits.linkMbps": "1000.0", "limits.memoryMb": "260",
                  "limits.maxFds": "4100"}
        command, template = deployed_role()
        text = template.replace("{{#zones}}{{@}}{{,}}{{/zones}}", ",".join(zones))
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda it: fields[it[1]], text)
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)
        self.command = [it.replace("/etc/pollenwall/boot.toml", self.path)
                        for it in command.split()]

    def add_setting(self, line):
        with open(self.path, "a", encoding="utf-8") as file:
            file.write(line + "\n")

    async def accepts(self):
        """Whether the process accepts connections of callers."""
        try:
            _, writer = await asyncio.open_connection(self.ip, self.front)
        except OSError:
            return False
        writer.close()
        return True

    async def start(self):
        log = open(os.path.join(self.directory, self.name + ".log"), "ab")
        self.child = await asyncio.create_subprocess_exec(
            *self.command, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=asyncio.subprocess.STDOUT, cwd=ROOT)
        log.close()
        self.record.add(f"entry {self.name} is started")

    def signal(self, number):
        self.record.add(f"entry {self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.child.wait()


async def request(ip, port, method, path, body=b"", headers=(), limit=3.0):
    """One call on a connection of its own. Returns (status, body); status is None without an
    answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Content-Type: application/json",
                 f"Content-Length: {len(body)}", *headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        size = 0
        while True:
            line = (await reader.readline()).strip().lower()
            if not line:
                break
            if line.startswith(b"content-length:"):
                size = int(line.split(b":")[1])
        return status, (await reader.readexactly(size)).decode()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None, ""
    finally:
        if writer is not None:
            writer.close()


def job_body(count, cpu, work, estimate_ms=200):
    """The spec names the work in ms and the cpu, which the worker's stand-in needs."""
    return json.dumps({"spec": f"{work} {cpu}", "bestEffort": True, "steps": [
        {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": estimate_ms}]}).encode()


def work_of(spec):
    return int(spec.split()[0])


async def submit(record, entry, job, body, deadline_ms=1500, label="POST"):
    record.add(f"caller sends {label} {job} to {entry.name}")
    status, answer = await request(
        entry.ip, entry.front, "POST", PREFIX + job, body,
        [f"X-Pollenwall-Deadline-Ms: {deadline_ms}"], deadline_ms / 1000 + 0.5)
    record.add(f"caller gets {status} {answer} for {label} {job} from {entry.name}")
    return status, answer


async def cancel(record, entry, job):
    record.add(f"caller sends DELETE {job} to {entry.name}")
    status, answer = await request(entry.ip, entry.front, "DELETE", PREFIX + job)
    record.add(f"caller gets {status} {answer} for DELETE {job} from {entry.name}")
    return status


async def until_ready(entries, seconds=20):
    until = time.monotonic() + seconds
    for entry in entries:
        while True:
            status, _ = await request(entry.ip, entry.ready, "GET", "/readyz", limit=1)
            if status == 200:
                break
            if time.monotonic() > until or entry.child.returncode is not None:
                raise RuntimeError(f"{entry.name} is not ready")
            await asyncio.sleep(0.1)


def free_port_base(ips, count):
    """A first port such that all of count ports are free on all addresses."""
    for base in range(20000 + os.getpid() % 400 * 20, 31000, 20):
        sockets = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    it = socket.socket()
                    sockets.append(it)
                    it.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for it in sockets:
                it.close()
    raise RuntimeError("no free ports")


class Deployment:
    """Zones with entries and workers, and the store."""

    def __init__(self, directory, zones, append=False):
        """zones: list of (zone, number of entries, list of the workers' cpu)."""
        self.record = Record(directory, append)
        self.temporary = tempfile.mkdtemp(prefix="pollenwall-review-")
        names = [it[0] for it in zones]
        plan = [(zone, n, f"127.0.{10 + z}.{10 + n}") for z, (zone, count, _) in enumerate(zones)
                for n in range(count)]
        worker_plan = [(zone, n, cpu, f"127.0.{10 + z}.{100 + n}")
                       for z, (zone, _, cpus) in enumerate(zones) for n, cpu in enumerate(cpus)]
        store_ip = "127.0.9.1"
        base = free_port_base([it[2] for it in plan] + [it[3] for it in worker_plan] + [store_ip],
                              8)
        self.store = Store()
        self.store_address = (store_ip, base)
        store = f"{store_ip}:{base}"
        seeds = [f"{it[2]}:{base + 3}" for it in plan[:3]]
        self.entries = [Entry(self.record, self.temporary, f"front-{zone}-{n + 1}", zone, names, ip,
                              (base + 1, base + 2, base + 3, base + 4), seeds, store)
                        for zone, n, ip in plan]
        self.workers = [Worker(self.record, self.store, f"w-{zone}-{n + 1}", zone, ip, base, cpu,
                               work_of)
                        for zone, n, cpu, ip in worker_plan]

    async def start(self):
        await self.store.start(*self.store_address)
        await self.store.publish(1, [route()])
        for worker in self.workers:
            await worker.start()
        for entry in self.entries:
            await entry.start()
        await until_ready(self.entries)
        await asyncio.sleep(3)

    async def stop(self):
        for entry in self.entries:
            if entry.child is not None and entry.child.returncode is None:
                entry.child.send_signal(signal.SIGCONT)
                entry.child.kill()
                await entry.child.wait()
        for worker in self.workers:
            if worker.alive:
                worker.kill()


def restarted(worker, cpu):
    """The next life of a killed worker, under the same id and address."""
    life = Worker(worker.record, worker.store, worker.id, worker.zone, worker.ip, worker.port, cpu,
                  worker.work_ms)
    life.on_start = worker.on_start
    return life


def run_script(test, directory):
    """Runs test(directory, trouble), which returns a list of breaches. Ends the process."""
    async def main():
        return await asyncio.wait_for(test(directory, os.environ.get("TROUBLE", "1") != "0"), 110)

    try:
        breaches = asyncio.run(main())
    except Exception as error:  # pylint: disable=broad-except
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    for it in breaches:
        print(it)
    print("the rule was broken" if breaches else "the rule held")
    sys.exit(1 if breaches else 0)
