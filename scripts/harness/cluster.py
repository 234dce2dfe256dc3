"""Starts and stops the stand-in services and entry daemons of a test cluster on this machine."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

from harness.forwarder import Network

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.path.join(ROOT, os.environ.get("BUILD_DIR", "build"))
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# An id is refused if it was created before its range settled, or up to max_ahead (250 ms) plus
# max_clock_skew (200 ms) later, because an earlier owner of the range may have started it.
ID_ACCEPTANCE_DELAY_S = 0.5


class HarnessError(Exception):
    """The harness could not run a scenario."""


def note(text):
    print(text, file=sys.stderr, flush=True)


def program_path(name):
    path = os.path.join(BUILD, "bin", name)
    if not os.access(path, os.X_OK):
        raise HarnessError(f"{path} is not built; run scripts/build")
    return path


def call(address, method, path, body=None, timeout=5.0):
    """Makes one HTTP call to "IP:PORT"; returns the status and the body, parsed if it is JSON."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        data = answer.read()
        try:
            return answer.status, json.loads(data)
        except ValueError:
            return answer.status, data.decode("utf-8", "replace")
    finally:
        connection.close()


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, name, argv, directory, environment=None):
        self.name = name
        self.log_path = os.path.join(directory, name + ".log")
        with open(self.log_path, "wb") as log:
            self.child = subprocess.Popen(
                argv, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT,
                cwd=directory, env={**os.environ, **(environment or {})}, start_new_session=True)

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.running():
            os.kill(self.pid, number)

    def cpu_seconds(self):
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def rss_bytes(self):
        with open(f"/proc/{self.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def log_tail(self, lines=20):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return "".join(file.readlines()[-lines:])


class Entry:
    def __init__(self, name, data_centre, port):
        self.name = name
        self.data_centre = data_centre
        self.callers = f"127.0.0.1:{port}"
        self.operators = f"127.0.0.1:{port + 1}"
        self.peers = f"127.0.0.1:{port + 2}"
        self.process = None
        self.network = None
        self.forwarders = {}  # Address: address of the forwarder that leads to it.

    def socket_bytes(self):
        """Bytes that the forwarders passed from and to this entry: its traffic with other entries,
        the log, the VM list and the workers of other data centres."""
        return self.network.bytes_of(self.name)


class Cluster:
    """A test cluster: a worker stand-in for each data centre, the log, the VM list and the entries.

    data_centres is a list of (name, number of entries, number of workers). Ports count up from the
    base. Each data centre reaches the log and the VM list under an address of its own, so that a
    fault of one address cuts off one data centre. With network=True, connections between data
    centres, between entries and to the log and the VM list go through forwarders.
    """

    def __init__(self, data_centres, slots=8, connections=60, base=None, network=False,
                 teams=None, services=None, extra_settings="", vm_lag_ms=1000, log_flags=()):
        self.base = int(base or os.environ.get("POLLENWALL_BASE_PORT", "21000"))
        self.directory = tempfile.mkdtemp(prefix="pollenwall-trial-")
        self.data_centres = data_centres
        self.slots = slots
        self.connections = connections
        self.teams = teams or ["team"]
        self.services = services or ["dispatch"]
        self.extra_settings = extra_settings
        self.vm_lag_ms = vm_lag_ms
        self.log_flags = list(log_flags)
        self.use_network = network
        self.network = None
        self.processes = []
        self.loads = []
        self.keep_logs = False
        self.log_port = self.base
        self.vm_port = self.base + 1
        self.entries = []
        self.workers = {}  # Data centre: list of (name, IP number, port).
        self.controls = {}  # Data centre: "IP:PORT" of the worker stand-in's control port.
        self.worker_weight = 1
        entry_port = self.base + 100
        worker_port = self.base + 1000
        for index, (name, entries, workers) in enumerate(data_centres):
            for n in range(entries):
                self.entries.append(Entry(f"{name}-{n + 1}", name, entry_port))
                entry_port += 10
            self.controls[name] = f"127.0.0.1:{self.base + 10 + index}"
            first = (127 << 24) + ((index + 1) << 16) + 256
            self.workers[name] = [
                (f"{name}-{n + 1:04}", format_ip(first + n), worker_port + n)
                for n in range(workers)]
            worker_port += workers

    # Addresses.

    def log_address(self, data_centre):
        index = [it[0] for it in self.data_centres].index(data_centre)
        return f"127.0.{index + 2}.1"

    def entries_of(self, data_centre):
        return [it for it in self.entries if it.data_centre == data_centre]

    def total_slots(self):
        return self.slots * sum(len(it) for it in self.workers.values())

    # Start.

    def _start(self, name, argv, environment=None):
        process = Process(name, argv, self.directory, environment)
        self.processes.append(process)
        return process

    def start_standins(self):
        addresses = ",".join(["127.0.0.1"] + [self.log_address(it[0]) for it in self.data_centres])
        self._start("log", [program_path("standin-log"), f"--addresses={addresses}",
                            f"--port={self.log_port}", *self.log_flags])
        self._start("vmlist", [program_path("standin-vmlist"), f"--addresses={addresses}",
                               f"--port={self.vm_port}", f"--lag_ms={self.vm_lag_ms}"])
        for name, workers in self.workers.items():
            if not workers:
                continue
            _, address, port = workers[0]
            self._start(f"workers-{name}", [
                program_path("standin-worker"), f"--address={address}", "--address_per_port",
                f"--ports={port}-{port + len(workers) - 1}", f"--slots={self.slots}",
                f"--connections={self.connections}",
                f"--control_port={self.controls[name].rsplit(':', 1)[1]}"])
        # The control port listens on the first worker's address.
        for name, workers in self.workers.items():
            if workers:
                self.controls[name] = f"{workers[0][1]}:{self.controls[name].rsplit(':', 1)[1]}"
                self.await_http(self.controls[name], "/v1/counts")
        self.await_http(f"127.0.0.1:{self.vm_port}", "/v1/vms")
        self.await_http(f"127.0.0.1:{self.log_port}",
                         "/v1/streams/configuration/records?from=0&max=1&wait_ms=0")
        call(f"127.0.0.1:{self.vm_port}", "POST", "/v1/vms",
             {"vms": self.vm_entries(), "at_once": True})

    def vm_entries(self):
        vms = [{"address": it.peers, "data_centre": it.data_centre, "role": "entry",
                "state": "live"} for it in self.entries]
        for name, workers in self.workers.items():
            vms += [{"address": ip, "data_centre": name, "role": "worker", "state": "live"}
                    for _, ip, _ in workers]
        return vms

    def await_http(self, address, path, seconds=10.0):
        until = time.monotonic() + seconds
        while True:
            try:
                return call(address, "GET", path, timeout=2)
            except OSError as error:
                if time.monotonic() > until:
                    raise HarnessError(f"{address}{path} does not answer: {error}") from error
                self.check_running()
                time.sleep(0.05)

    def check_running(self):
        for process in self.processes:
            if not process.running():
                raise HarnessError(f"{process.name} ended with {process.child.returncode}:\n"
                              f"{process.log_tail()}")

    def settings(self, entry):
        seeds = [it.peers for it in self.entries if it is not entry]
        names = [it[0] for it in self.data_centres]
        platform = self.log_address(entry.data_centre)
        log = entry.forwarders.get(f"{platform}:{self.log_port}", f"{platform}:{self.log_port}")
        vms = entry.forwarders.get(f"{platform}:{self.vm_port}", f"{platform}:{self.vm_port}")
        forwarders = ", ".join(f'"{it}={to}"' for it, to in entry.forwarders.items())
        return (f"name: {entry.name}\ndata_centre: {entry.data_centre}\n"
                f"data_centres: [{', '.join(names)}]\n"
                f"listen:\n  callers: {entry.callers}\n  operators: {entry.operators}\n"
                f"  peers: {entry.peers}\nseeds: [{', '.join(seeds)}]\n"
                f"log_service: {log}\nvm_list: {vms}\nforwarders: [{forwarders}]\n"
                f"tls: off\n{self.extra_settings}")

    def start_entries(self):
        if self.use_network:
            self._start_network()
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            self.await_http(entry.callers, "/healthz")

    def start_entry(self, entry):
        path = os.path.join(self.directory, entry.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(entry))
        entry.process = self._start(entry.name, [program_path("pollenwalld"), f"--settings={path}"])

    def _start_network(self):
        """Starts each entry's forwarders to the other entries, to the workers of other data centres
        and to the log and the VM list."""
        self.network = Network()
        for entry in self.entries:
            entry.network = self.network
            entry.forwarders = {}
            targets = [(it.data_centre, it.peers, it.name) for it in self.entries
                       if it is not entry]
            targets += [(name, f"{ip}:{port}", None) for name, workers in self.workers.items()
                        if name != entry.data_centre for _, ip, port in workers]
            platform = self.log_address(entry.data_centre)
            targets += [(None, f"{platform}:{port}", None) for port in (self.log_port, self.vm_port)]
            for data_centre, address, name in targets:
                host, number = address.rsplit(":", 1)
                port = self.network.forward(entry.data_centre, data_centre, (host, int(number)),
                                            [entry.name] + ([name] if name else []))
                entry.forwarders[address] = f"127.0.0.1:{port}"

    def cut(self, data_centre, stalled):
        """Cuts off (stalled=True) or reconnects a data centre: its links to the others, to the log
        and to the VM list."""
        self.network.cut(data_centre, stalled)
        fault = {"kind": "outage" if stalled else "none", "address": self.log_address(data_centre)}
        for port in (self.log_port, self.vm_port):
            call(f"127.0.0.1:{port}", "POST", "/fault", fault)

    def log_fault(self, fault):
        call(f"127.0.0.1:{self.log_port}", "POST", "/fault", fault)

    # Configuration.

    def configuration(self, weight=1):
        lines = ["data_centres:"]
        lines += [f"  - {{name: {it[0]}, region: trial, one_way_latency_us: 500}}"
                  for it in self.data_centres]
        lines.append("workers:")
        for name, workers in self.workers.items():
            lines += [f"  - {{name: {worker}, data_centre: {name}, rack: {name}-r{n // 6 + 1:02}, "
                      f"address: \"{ip}\", cores: 64, memory_bytes: 128000000000, accelerators: 0}}"
                      for n, (worker, ip, _) in enumerate(workers)]
        lines.append("services:")
        lines += [f"  - {{name: {it}, kinds: [], max_deadline_ms: 60000, expected_run_ms: 300, "
                  "long_after_ms: 2000, long_share: 0.5}" for it in self.services]
        lines.append("upstreams:")
        all_workers = [it for workers in self.workers.values() for it in workers]
        for n, (worker, _, port) in enumerate(all_workers):
            service = self.services[n % len(self.services)]
            lines.append(f"  - {{service: {service}, worker: {worker}, port: {port}, "
                         f"slots: {self.slots}, connections: {self.connections}}}")
        lines.append("teams:")
        lines += [f"  - {{name: {it}, weight: {weight if n == 0 else 1}, "
                  "starts_per_second: 1000000, burst_starts: 1000000}"
                  for n, it in enumerate(self.teams)]
        return "\n".join(lines) + "\n"

    def publish(self, weight=1, wait=True, timeout="20s"):
        """Publishes the configuration of this cluster; returns the tool's output."""
        path = os.path.join(self.directory, "configuration.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.configuration(weight))
        return self.publish_file(path, wait, timeout)

    def publish_file(self, path, wait=True, timeout="20s"):
        """Publishes a file; returns the tool's output."""
        argv = [program_path("pollenwall"), "publish", path, f"--log=127.0.0.1:{self.log_port}",
                f"--timeout={timeout}"]
        if wait:
            entries = ",".join(it.operators for it in self.entries if it.process.running())
            argv += ["--wait", f"--entries={entries}"]
        done = subprocess.run(argv, capture_output=True, text=True, check=False)
        if done.returncode != 0:
            raise HarnessError(f"publish ended with {done.returncode}: {done.stdout}{done.stderr}")
        return done.stdout.strip()

    def is_settled(self, entry):
        """Whether the entry's view has all entries of its data centre as members and the entry owns
        its ranges."""
        status, body = call(entry.operators, "GET", "/v1/status")
        view = body.get("view", {}) if status == 200 else {}
        return (bool(view.get("member")) and bool(view.get("settled")) and
                len(view.get("members", [])) == len(self.entries_of(entry.data_centre)) and
                bool(body.get("lease", {}).get("held")))

    def await_ready(self, seconds=15.0):
        """Waits until all entries are ready and own their ranges, and until they accept new ids.
        Entries refuse caller-chosen ids until their ranges have settled; for a time afterwards they
        still refuse ids that were created before that."""
        until = time.monotonic() + seconds
        for entry in self.entries:
            while call(entry.callers, "GET", "/readyz")[0] != 200 or not self.is_settled(entry):
                if time.monotonic() > until:
                    raise HarnessError(f"{entry.name} is not ready:\n{entry.process.log_tail()}")
                time.sleep(0.05)
        time.sleep(ID_ACCEPTANCE_DELAY_S)

    def start(self):
        self.start_standins()
        self.start_entries()
        self.publish()
        self.await_ready()

    # Load.

    def load_command(self, entries, **flags):
        """Returns the load tool's command line; entries may also be addresses "IP:PORT"."""
        addresses = [it if isinstance(it, str) else it.callers for it in entries]
        argv = [program_path("pollenwall-load"), "--entries=" + ",".join(addresses),
                "--workers=" + ",".join(it for name, it in self.controls.items()
                                        if self.workers[name]),
                f"--service={self.services[0]}", f"--teams={','.join(self.teams)}"]
        for name, value in flags.items():
            if isinstance(value, bool):
                value = "true" if value else "false"
            argv.append(f"--{name}={value}")
        return argv

    def load(self, entries, **flags):
        """Runs the load tool until it exits and returns its result."""
        return finish_load(self.start_load(self.load_command(entries, **flags)))

    def start_load(self, argv):
        child = subprocess.Popen(argv, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        self.loads.append(child)
        return child

    # Stop.

    def stop(self, limit=15.0):
        """Stops all processes, entries first and gracefully. Returns the entries' exit codes."""
        # A second signal would interrupt this function and leave processes running.
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.SIG_IGN)
        for child in self.loads:
            if child.poll() is None:
                child.kill()
                child.wait()
        entry_processes = [it.process for it in self.entries if it.process is not None]
        for process in entry_processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        self._wait(entry_processes, limit)
        codes = {it.name: it.child.returncode for it in entry_processes}
        others = [it for it in self.processes if it not in entry_processes]
        for process in others:
            process.signal(signal.SIGTERM)
        self._wait(others, 5)
        for process in self.processes:
            if process.running():
                note(f"{process.name} did not stop in time and is killed")
                process.signal(signal.SIGKILL)
                process.child.wait()
        if self.network is not None:
            self.network.close()
        signal.signal(signal.SIGINT, signal.default_int_handler)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        return codes

    @staticmethod
    def _wait(processes, limit):
        until = time.monotonic() + limit
        for process in processes:
            try:
                process.child.wait(max(0.01, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                pass


def format_ip(number):
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


def finish_load(child):
    out, err = child.communicate()
    lines = out.strip().splitlines()
    if not lines:
        raise HarnessError(f"pollenwall-load ended with {child.returncode}: {err}")
    return json.loads(lines[-1])
