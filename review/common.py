"""Common parts of the scripts of the review: processes, settings, configuration and HTTP calls.

All addresses are on 127.0.0.1. Ports are free ones; files are in a temporary folder. Times in the
record are seconds of the steady clock since the start of the script.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "review.example"
PREFIX = "/queue/"
SERVICE = "dispatch"
START = time.monotonic()


def now():
    return time.monotonic() - START


USED_PORTS = set()


def free_ports(count):
    """Ports below the range from which the kernel chooses ports of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        if port in USED_PORTS:
            continue
        USED_PORTS.add(port)
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


class Processes:
    """Processes that this script started; stop() ends all of them."""

    def __init__(self):
        self.directory = tempfile.mkdtemp(prefix="pollenwall-review-")
        self.running = []

    def start(self, name, arguments):
        out = open(os.path.join(self.directory, name + ".log"), "ab")
        process = subprocess.Popen(arguments, stdout=out, stderr=out, stdin=subprocess.DEVNULL)
        out.close()
        self.running.append(process)
        return process

    def log_path(self, name):
        return os.path.join(self.directory, name + ".log")

    def stop(self):
        for process in self.running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running:
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.directory, ignore_errors=True)


class Entry:
    """One process of the system, with settings as rendered from deploy/entry.yaml.in."""

    def __init__(self, processes, name, data_centre, data_centres, store, seeds=()):
        self.forwarders = {}  # Peer port: port of the proxy before it.
        self.processes, self.name, self.data_centre = processes, name, data_centre
        self.callers, self.operators, self.peers, self.ready = free_ports(4)
        self.data_centres, self.store, self.seeds = data_centres, store, list(seeds)
        self.process = None

    def start(self):
        forwarders = [f'"127.0.0.1:{peer}=127.0.0.1:{proxy}"'
                      for peer, proxy in self.forwarders.items()]
        text = (f"name: {self.name}\ndata_centre: {self.data_centre}\n"
                f"data_centres: [{', '.join(self.data_centres)}]\n"
                f"listen:\n  callers: 127.0.0.1:{self.callers}\n"
                f"  operators: 127.0.0.1:{self.operators}\n  peers: 127.0.0.1:{self.peers}\n"
                f"seeds: [{', '.join(f'127.0.0.1:{it}' for it in self.seeds)}]\n"
                f"trusted_network: true\ntls: off\n"
                f"forwarders: [{', '.join(forwarders)}]\n"
                f"platform:\n  readiness: 127.0.0.1:{self.ready}\n"
                f"  store: 127.0.0.1:{self.store}\n  machines: 127.0.0.1:{self.store}\n"
                f"  processor_share: 0.25\n  link_mbps: 1000\n"
                f"dispatch:\n  answer_retention_ms: 5000\n")
        path = os.path.join(self.processes.directory, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = self.processes.start(
            self.name, [os.path.join(ROOT, "target/bin/pollenwalld"), "--settings=" + path])


def call(port, method, path, body=None, headers=None, timeout=5.0):
    """One HTTP call over a connection of its own. Returns (status, body)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, {"Host": HOST, **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def append_keyed(store, topic, key, value):
    record = bytes([len(key)]) + key.encode() + json.dumps(value).encode()
    connection = http.client.HTTPConnection("127.0.0.1", store, timeout=5)
    try:
        connection.request("POST", f"/log-append?topic={topic}&part=0",
                           struct.pack(">I", len(record)) + record)
        return connection.getresponse().status
    finally:
        connection.close()


def publish(store, version, routes=True):
    """The operator's configuration: one queue, or none, and one service that does not guard its
    capacity."""
    status = append_keyed(store, "keyed.op", "config", {
        "version": version,
        "routes": [{"name": "queue", "host": HOST, "pathPrefix": PREFIX, "service": SERVICE,
                    "timeoutMs": 30000, "priority": 0, "attempts": 2, "stretch": 1.6,
                    "targetRuntimeMs": 60}] if routes else [],
        "services": [{"name": SERVICE, "enforcesCapacity": False}], "limits": {}})
    if status != 200:
        raise CannotRun(f"the store answered the configuration with {status}")


def wait_until(predicate, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if predicate():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise CannotRun(f"after {seconds} s: {what}")


def is_ready(entry):
    return call(entry.ready, "GET", "/readyz")[0] == 200


def metric(entry, prefix):
    """The sum of the entry's metrics whose names begin with the prefix."""
    text = call(entry.operators, "GET", "/metrics")[1].decode()
    return sum(float(it.rsplit(" ", 1)[1]) for it in text.splitlines() if it.startswith(prefix))


class Proxy:
    """Forwards a free port to another one. While it is cut, nothing passes in either direction and
    no connection is closed; new connections get no answer. Healing resets what was held up.
    cut_with_reset() resets the open connections instead, and new ones are refused."""

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.pairs = []
        self.port = free_ports(1)[0]
        self._listen()

    def _listen(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(512)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def cut(self):
        self.is_cut = True

    def cut_with_reset(self):
        listener, self.listener = self.listener, None
        listener.shutdown(socket.SHUT_RDWR)  # Wakes the thread in accept().
        listener.close()
        self.reset()

    def heal(self):
        self.is_cut = False
        self.reset()
        if self.listener is None:
            self._listen()

    def reset(self):
        held, self.pairs = self.pairs, []
        for pair in held:
            for it in pair:
                try:
                    it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    it.shutdown(socket.SHUT_RD)  # Wakes the thread in recv().
                    it.close()
                except OSError:
                    pass

    def _accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            if self.is_cut:
                self.pairs.append((near,))
                continue
            far = socket.socket()
            try:
                far.connect(("127.0.0.1", self.target))
            except OSError:
                near.close()
                continue
            for it in (near, far):
                it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.pairs.append((near, far))
            for a, b in ((near, far), (far, near)):
                threading.Thread(target=self._pump, args=(a, b), daemon=True).start()

    def _pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                while self.is_cut:
                    time.sleep(0.01)
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
        for it in (source, sink):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
