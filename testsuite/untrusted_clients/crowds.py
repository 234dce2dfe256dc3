"""The kinds of hostile input. Each kind uses a fixed number of connections and bytes."""

import contextlib
import dataclasses
import errno
import json
import select
import socket
import ssl
import threading
import time
import typing

from workers import endless_workers

MIB = 1 << 20
HOST = "untrusted.example"
HEADER = f"POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: {HOST}\r\n".encode()
CHUNKED = HEADER + b"Transfer-Encoding: chunked\r\n\r\n"
# Longest time that a kind sends. A server that does not read ends the sending, which is no failure.
SEND_LIMIT_S = 8.0
# Time for the server to read what the kernel has accepted.
SETTLE_S = 1.5


def connect(port, count):
    """Opens connections in turn. A refused or reset connection counts as closed by the server."""
    sockets = []
    for _ in range(count):
        try:
            sockets.append(socket.create_connection(("127.0.0.1", port), timeout=2.0))
        except OSError:
            continue
        sockets[-1].setblocking(False)
    return sockets


def send_all(sockets, contents, pause=0.0, limit=SEND_LIMIT_S):
    """Sends contents[i] on sockets[i] in turn without reading, until all is sent, the server has
    closed the connection, or the limit has passed. With a pause, sends one byte at a time."""
    until = time.monotonic() + limit
    rest = {it: memoryview(content) for it, content in zip(sockets, contents)}
    while rest and time.monotonic() < until:
        _, writable, _ = select.select([], list(rest), [], 0.2)
        for it in writable:
            try:
                sent = it.send(rest[it][:1] if pause else rest[it][:65536])
                rest[it] = rest[it][sent:]
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno not in (errno.EPIPE, errno.ECONNRESET):
                    raise
                rest[it] = rest[it][:0]
            if not rest[it]:
                del rest[it]
        if pause:
            time.sleep(pause)


@contextlib.contextmanager
def crowd(port, count):
    sockets = connect(port, count)
    try:
        yield sockets
    finally:
        for it in sockets:
            it.close()


def send_same(port, count, content, check):
    """Sends the same bytes on each connection and keeps the connections open for the check."""
    with crowd(port, count) as sockets:
        send_all(sockets, [content] * len(sockets))
        time.sleep(SETTLE_S)
        check()


def trailers(ports, check):
    line = b"X-Trailer: " + b"t" * 100 + b"\r\n"
    send_same(ports.callers, 8, CHUNKED + b"0\r\n" + line * (8 * MIB // len(line)), check)


def long_trailer(ports, check):
    send_same(ports.callers, 8, CHUNKED + b"0\r\nX-Trailer: " + b"t" * (8 * MIB), check)


def chunk_extensions(ports, check):
    send_same(ports.callers, 8, CHUNKED + b"5;name=" + b"e" * (8 * MIB), check)


def bodies_with_length(ports, check):
    send_same(ports.callers, 320,
              HEADER + b"Content-Length: 262144\r\n\r\n" + b"b" * 200_000, check)


def bodies_in_chunks(ports, check):
    chunk = b"1000\r\n" + b"b" * 4096 + b"\r\n"
    send_same(ports.callers, 320, CHUNKED + chunk * 49, check)


def many_connections(ports, check):
    send_same(ports.callers, 900, b"P", check)


def unread_responses(ports, check):
    request = f"GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    send_same(ports.callers, 64, request * (MIB // len(request)), check)


def slow_senders(ports, check):
    """Half of the connections send a header a byte at a time, half a body. The read timeout in the
    settings is 2,000 ms, so that after 8 s none of them is served any more."""
    with crowd(ports.callers, 300) as sockets:
        half = len(sockets) // 2
        send_all(sockets[half:], [HEADER + b"Content-Length: 262144\r\n\r\n"] * (len(sockets) - half))
        contents = [HEADER + b"X-Slow: " + b"s" * 1000] * half + [b"b" * 1000] * (len(sockets) - half)
        send_all(sockets, contents, pause=0.05)
        check()


def json_expands(ports, check):
    """Bodies within the limit that take much more memory when parsed: an array of integers, one of
    empty objects, an object of many keys and a deeply nested array."""
    count = 80_000
    keys = ",".join(f'"{n:x}":0' for n in range(24_000))
    bodies = [b"[" + b"0," * count + b"0]", b"[" + b"{}," * count + b"{}]",
              b"{" + keys.encode() + b"}", b"[" * 200_000]
    with crowd(ports.callers, 16) as sockets:
        contents = [b"".join(HEADER + f"Content-Length: {len(it)}\r\n\r\n".encode() + it
                             for it in bodies) * 4] * len(sockets)
        send_all(sockets, contents)
        time.sleep(SETTLE_S)
        check()


def json_many_tasks(ports, check):
    """Jobs of 190 tasks whose text of 4,000 bytes is written once in the body. They wait, because the
    worker has room for one task at a time."""
    spec = json.dumps({"work_ms": 1000, "millicores": 8000, "padding": "p" * 3900})
    body = json.dumps({"spec": spec, "bestEffort": True, "steps": [
        {"count": 190, "cpu": 8000, "memMb": 64, "estimateMs": 1000}]}).encode()
    head = "POST /jobs/{:016x} HTTP/1.1\r\nHost: {}\r\nX-Pollenwall-Deadline-Ms: 5000\r\n" \
           "Content-Length: {}\r\n\r\n"
    with crowd(ports.callers, 180) as sockets:
        send_all(sockets, [head.format((1 << 32) + n, HOST, len(body)).encode() + body
                           for n in range(len(sockets))])
        time.sleep(SETTLE_S)
        check()


def bad_frames(ports, check):
    """Unfinished frames below the limit of 4 MiB in the settings, frames above the limit, and
    complete frames that announce more elements than they have."""
    unfinished = (4 * MIB - 1).to_bytes(4, "big") + b"\xc1" * (4 * MIB - 65536)
    elements = b"\xdd\x00\x20\x00\x00"
    contents = [unfinished] * 16
    contents += [b"\xff\xff\xff\xff" + b"f" * MIB, b"\x00\x00\x00\x00"] * 4
    contents += [len(elements).to_bytes(4, "big") + elements] * 8
    with crowd(ports.peers, len(contents)) as sockets:
        send_all(sockets, contents)
        time.sleep(SETTLE_S)
        check()


def job_request(number, steps, fields=b"", deadline_ms=10000, chunked_trailers=None):
    """A submission of a job of one step, with additional header fields or with trailers."""
    body = json.dumps({"spec": json.dumps({"work_ms": 20}), "bestEffort": True,
                       "steps": [steps]}).encode()
    head = (f"POST /jobs/{number:016x} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Pollenwall-Deadline-Ms: {deadline_ms}\r\n").encode() + fields
    if chunked_trailers is None:
        return head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    return (head + b"Transfer-Encoding: chunked\r\n\r\n" +
            f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n" + chunked_trailers + b"\r\n")


@contextlib.contextmanager
def full_memory(ports, seconds):
    """Occupies the worker's memory but for 384 MiB, so that jobs which need more wait."""
    steps = {"count": 1, "cpu": 1000, "memMb": ports.worker_memory_mb - 384,
             "estimateMs": seconds * 1000}
    body = json.dumps({"spec": json.dumps({"work_ms": seconds * 1000, "millicores": 1000}),
                       "bestEffort": True, "steps": [steps]}).encode()
    head = (f"POST /jobs/00000000000b1057 HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Pollenwall-Deadline-Ms: 50000\r\nContent-Length: {len(body)}\r\n\r\n").encode()
    with socket.create_connection(("127.0.0.1", ports.callers), timeout=2.0) as holder:
        holder.sendall(head + body)
        time.sleep(SETTLE_S)
        yield


# Fields of three bytes and a line end, so that a message within the limit of 16 KiB has as many of
# them as possible.
SHORT_FIELDS = b"a:\r\n" * 3800
# A task that waits for memory.
WAITING_STEP = {"count": 1, "cpu": 1, "memMb": 512, "estimateMs": 3000}


def send_waiting_jobs(ports, check, **parts):
    with full_memory(ports, 12), crowd(ports.callers, 300) as sockets:
        send_all(sockets, [job_request((2 << 32) + n, WAITING_STEP, **parts)
                           for n in range(len(sockets))])
        time.sleep(SETTLE_S)
        check()


def fields_of_waiting_jobs(ports, check):
    send_waiting_jobs(ports, check, fields=SHORT_FIELDS)


def trailers_of_waiting_jobs(ports, check):
    send_waiting_jobs(ports, check, chunked_trailers=SHORT_FIELDS)


def unread_input(ports, check):
    """Jobs that wait, on connections that go on sending."""
    with full_memory(ports, 16), crowd(ports.callers, 300) as sockets:
        send_all(sockets, [job_request((6 << 32) + n, WAITING_STEP) + b"P" * MIB
                           for n in range(len(sockets))], limit=4.0)
        time.sleep(SETTLE_S)
        check()


def read_and_drop(sockets, count, limit):
    """Reads until each connection has had that many responses, or the limit has passed."""
    until = time.monotonic() + limit
    left = {it: count for it in sockets}
    while left and time.monotonic() < until:
        readable, _, _ = select.select(list(left), [], [], 0.2)
        for it in readable:
            try:
                data = it.recv(65536)
            except OSError:
                data = b""
            left[it] -= data.count(b"HTTP/1.1 ")
            if not data or left[it] <= 0:
                del left[it]


def send_and_read(sockets, contents, count, limit):
    """Sends as send_all does while reading that many responses of each connection."""
    sender = threading.Thread(target=send_all, args=(sockets, contents, 0.0, limit))
    sender.start()
    read_and_drop(sockets, count, limit)
    sender.join()


def ended_jobs(ports, check):
    """Jobs of 190 tasks that wait for memory until they are refused."""
    steps = {"count": 190, "cpu": 1, "memMb": 512, "estimateMs": 1}
    count = 24
    with full_memory(ports, 25), crowd(ports.callers, 300) as sockets:
        contents = [b"".join(job_request(((3 << 32) + n * count + m), steps) for m in range(count))
                    for n in range(len(sockets))]
        send_and_read(sockets, contents, count, 20.0)
        check()


def ended_jobs_of_peers(ports, check):
    """The same at two entries, so that one of them runs jobs for the other."""
    steps = {"count": 190, "cpu": 1, "memMb": 512, "estimateMs": 1}
    count = 24
    with full_memory(ports, 25), crowd(ports.callers, 250) as first, \
            crowd(ports.second_callers, 250) as second:
        sockets = first + second
        contents = [b"".join(job_request(((4 << 32) + n * count + m), steps) for m in range(count))
                    for n in range(len(sockets))]
        send_and_read(sockets, contents, count, 20.0)
        check()


def many_needs(ports, check):
    """Jobs of which no two need the same cores and memory."""
    count = 2500
    with full_memory(ports, 45), crowd(ports.callers, 40) as sockets:
        contents = []
        for n in range(len(sockets)):
            needs = [divmod(n * count + m, 4000) for m in range(count)]
            contents.append(b"".join(
                job_request((5 << 32) + n * count + m,
                            {"count": 1, "cpu": 250 * (cores + 1), "memMb": 256 * (memory + 2),
                             "estimateMs": 1}, deadline_ms=21)
                for m, (cores, memory) in enumerate(needs)))
        send_and_read(sockets, contents, count, 40.0)
        check()


def several_kinds(ports, check):
    """Waiting jobs on connections that go on sending, unfinished bodies, unread responses and ended
    jobs of 190 tasks at the same time, on as many connections as are allowed."""
    many_tasks = {"count": 190, "cpu": 1, "memMb": 512, "estimateMs": 1}
    lookup = f"GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    with full_memory(ports, 25), crowd(ports.callers, 100) as ending, \
            crowd(ports.callers, 100) as waiting, crowd(ports.callers, 60) as unread, \
            crowd(ports.callers, 139) as unfinished:
        contents = [b"".join(job_request((7 << 32) + n * 40 + m, many_tasks) for m in range(40))
                    for n in range(len(ending))]
        send_and_read(ending, contents, 40, 15.0)
        send_all(waiting + unread + unfinished,
                 [job_request((8 << 32) + n, WAITING_STEP) + b"P" * MIB
                  for n in range(len(waiting))] +
                 [lookup * 2000] * len(unread) +
                 [HEADER + b"Content-Length: 262144\r\n\r\n" + b"b" * 200_000] * len(unfinished),
                 limit=1.5)
        check()


def busy_connections(ports, check):
    """As many connections as are allowed send requests all the time and don't read the responses.
    They stay open during the check."""
    request = f"GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    sockets = []
    for _ in range(400):
        it = socket.socket()
        it.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        it.settimeout(2.0)
        it.connect(("127.0.0.1", ports.callers))
        it.setblocking(False)
        sockets.append(it)
    try:
        send_all(sockets, [request * 4000] * len(sockets), limit=3.0)
        time.sleep(SETTLE_S)
        check()
    finally:
        for it in sockets:
            it.close()


def stalled_readers(ports, check):
    """As many connections as are allowed to operators request without reading the responses."""
    request = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
    with crowd(ports.operators, 16) as sockets:
        send_all(sockets, [request * 4000] * len(sockets), limit=3.0)
        time.sleep(SETTLE_S)
        check()


def node_submission(payload, run_ms, **others):
    """A submission to an entry without the platform. Its caller does not wait for the answer."""
    body = json.dumps({"service": "dispatch", "team": "team", "kind": "k", "idempotent": False,
                       "deadline_ms": 20000, "wait": False, "tasks": [
                           {"payload": payload, "declared_run_ms": run_ms}], **others}).encode()
    return (f"POST /v1/jobs HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def queued_payloads(ports, check):
    """Jobs of 1 MiB that wait for the two slots."""
    with crowd(ports.callers, 4) as sockets:
        blocker = node_submission(json.dumps({"run_ms": 10000, "key": "k"}), 10000)
        send_all(sockets[:2], [blocker] * 2)
        time.sleep(SETTLE_S)
        for _ in range(16):
            send_all(sockets, [node_submission("p" * MIB, 10)] * len(sockets))
            read_and_drop(sockets, 1, 2.0)
        check()


def large_results(ports, check):
    """Jobs whose results of 1 MiB are kept for their callers."""
    with crowd(ports.callers, 4) as sockets:
        for n in range(16):
            key = str(n) + "r" * MIB
            send_all(sockets, [node_submission(json.dumps({"run_ms": 1, "key": key}), 1)] *
                     len(sockets))
            read_and_drop(sockets, 1, 2.0)
        time.sleep(SETTLE_S)
        check()


def small_jobs(ports, check):
    """Many short jobs, whose answers are kept for their callers."""
    count = 2000
    content = node_submission(json.dumps({"run_ms": 0, "key": "k"}), 1, wait=True) * count
    with crowd(ports.callers, 40) as sockets:
        send_and_read(sockets, [content] * len(sockets), count, 40.0)
        check()


def refused_ids(ports, check):
    """Jobs with ids chosen by the caller that are refused, because the service is not known."""
    born = int(time.time() * 1000)
    count = 2500
    with crowd(ports.callers, 40) as sockets:
        contents = [b"".join(
            node_submission("p", 1, service="unknown", born_ms=born, wait=True,
                            id=f"north:{n:010}{'i' * 100}{m:010}") for m in range(count))
            for n in range(len(sockets))]
        send_and_read(sockets, contents, count, 40.0)
        check()


def several_kinds_node(ports, check):
    """What outlives a request, one kind after the other within the time for which answers are kept,
    and unfinished bodies."""
    for kind in (large_results, refused_ids, small_jobs):
        kind(ports, lambda: None)
    blocker = node_submission(json.dumps({"run_ms": 10000, "key": "k"}), 10000)
    body = f"POST /v1/jobs HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 262144\r\n\r\n".encode()
    with crowd(ports.callers, 4) as queueing, crowd(ports.callers, 300) as unfinished:
        send_all(queueing, [blocker * 16] * len(queueing))
        time.sleep(SETTLE_S)
        for _ in range(4):
            send_all(queueing, [node_submission("p" * MIB, 10)] * len(queueing))
            read_and_drop(queueing, 1, 2.0)
        send_all(unfinished, [body + b"b" * 200_000] * len(unfinished))
        time.sleep(SETTLE_S)
        check()


def client_hello():
    """The first message of a TLS handshake."""
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    sent = ssl.MemoryBIO()
    try:
        context.wrap_bio(ssl.MemoryBIO(), sent).do_handshake()
    except ssl.SSLWantReadError:
        pass
    return sent.read()


def tls_handshakes(ports, check):
    """Handshakes that stop after the first message and the start of another one, at both ports
    with TLS."""
    content = client_hello() + b"\x17\x03\x03\x40\x00" + b"x" * 16000
    with crowd(ports.peers, 450) as first, crowd(ports.operators, 450) as second:
        sockets = first + second
        send_all(sockets, [content] * len(sockets), limit=3.0)
        time.sleep(SETTLE_S)
        check()


@dataclasses.dataclass(frozen=True)
class Kind:
    send: typing.Callable
    # Bound of the open descriptors. Without a crowd an entry of the test has about 20, and max_fds
    # of the settings allows 400 connections of callers.
    max_descriptors: int = 600
    # With "node", the entry runs without the platform.
    role: str = "platform"
    slots: int = 2  # Of the worker, without the platform.
    tls: bool = False  # Of an entry without the platform.
    settings: str = ""
    entries: int = 1 # On the platform.
    worker_millicores: int = 8000
    worker_memory_mb: int = 16384
    # Whether the ordinary job and a call of the operators are made while the crowd is connected.
    serves_beside: bool = False


KINDS = {
    "trailers": Kind(trailers),
    "long_trailer": Kind(long_trailer),
    "chunk_extensions": Kind(chunk_extensions),
    "bodies_with_length": Kind(bodies_with_length),
    "bodies_in_chunks": Kind(bodies_in_chunks),
    "many_connections": Kind(many_connections),
    "unread_responses": Kind(unread_responses),
    "slow_senders": Kind(slow_senders, max_descriptors=100),
    "json_expands": Kind(json_expands),
    "json_many_tasks": Kind(json_many_tasks),
    "bad_frames": Kind(bad_frames),
    "fields_of_waiting_jobs": Kind(fields_of_waiting_jobs, serves_beside=True),
    "trailers_of_waiting_jobs": Kind(trailers_of_waiting_jobs, serves_beside=True),
    "unread_input": Kind(unread_input),
    "several_kinds": Kind(several_kinds,
                          settings="dispatch:\n  answer_retention_ms: 60000\n"),
    "ended_jobs": Kind(ended_jobs, settings="dispatch:\n  answer_retention_ms: 60000\n"),
    "ended_jobs_of_peers": Kind(ended_jobs_of_peers, entries=2,
                                settings="dispatch:\n  answer_retention_ms: 100\n"),
    "many_needs": Kind(many_needs, settings="dispatch:\n  look_ahead: true\n",
                       worker_millicores=64000, worker_memory_mb=1048576),
    "busy_connections": Kind(busy_connections, serves_beside=True),
    "stalled_readers": Kind(stalled_readers, serves_beside=True),
    "queued_payloads": Kind(queued_payloads, role="node"),
    "large_results": Kind(large_results, role="node"),
    "small_jobs": Kind(small_jobs, role="node", slots=64),
    "refused_ids": Kind(refused_ids, role="node"),
    "endless_workers": Kind(endless_workers),
    "several_kinds_node": Kind(several_kinds_node, role="node", slots=64),
    "tls_handshakes": Kind(tls_handshakes, role="node", tls=True),
}
