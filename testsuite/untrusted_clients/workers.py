"""Workers that answer every call with a body that never ends."""

import contextlib
import http.client
import json
import selectors
import socket
import threading
import time

FIRST_PORT = 29600
HEADER = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
SENT_BYTES = 990_000
BORN_MS = 1796400000000


class Workers:
    """Listens on a port for each worker, in a thread of its own."""

    def __init__(self, count):
        self.selector = selectors.DefaultSelector()
        self.left = {}
        self.stopped = False
        for n in range(count):
            listener = socket.create_server(("127.0.0.1", FIRST_PORT + n))
            listener.setblocking(False)
            self.selector.register(listener, selectors.EVENT_READ)
        self.thread = threading.Thread(target=self.serve)
        self.thread.start()

    def serve(self):
        while not self.stopped:
            for key, events in self.selector.select(0.05):
                with contextlib.suppress(BlockingIOError):
                    self.handle(key.fileobj, events)
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()

    def handle(self, it, events):
        if it not in self.left and it.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            connection, _ = it.accept()
            connection.setblocking(False)
            self.left[connection] = b""
            self.selector.register(connection, selectors.EVENT_READ)
            return
        try:
            if events & selectors.EVENT_READ:
                if not it.recv(65536):
                    raise ConnectionResetError
                self.left[it] = self.left[it] or HEADER + b"b" * SENT_BYTES
                self.selector.modify(it, selectors.EVENT_READ | selectors.EVENT_WRITE)
            if events & selectors.EVENT_WRITE:
                self.left[it] = self.left[it][it.send(self.left[it][:65536]):]
                if not self.left[it]:
                    self.selector.modify(it, selectors.EVENT_READ)
        except ConnectionError:
            self.selector.unregister(it)
            it.close()
            del self.left[it]

    def stop(self):
        self.stopped = True
        self.thread.join()


def register(store_port, number, sequence):
    """Writes the worker's entry to the store, as workers do all the time."""
    value = json.dumps({
        "service": "dispatch", "address": f"127.0.0.1:{FIRST_PORT + number}", "zone": "north",
        "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": sequence,
        "born": BORN_MS, "capacity": {"cpu": 8000, "memMb": 16384, "gpu": 0},
        "labels": ["kind", "rack"]}).encode()
    name = f"endless-{number}".encode()
    record = bytes([len(name)]) + name + value
    connection = http.client.HTTPConnection("127.0.0.1", store_port, timeout=5.0)
    connection.request("POST", "/log-append?topic=keyed.servers&part=0",
                       len(record).to_bytes(4, "big") + record)
    connection.getresponse().read()
    connection.close()


def endless_workers(ports, check):
    """Sixty such workers beside the ordinary one."""
    count = 60
    workers = Workers(count)
    try:
        for sequence in range(1, 5):
            for n in range(count):
                register(ports.store, n, sequence)
            time.sleep(1.0)
            check()
    finally:
        workers.stop()
