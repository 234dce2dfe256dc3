"""HTTP relay to a log service that drops the answer to the first append: it closes the connection
instead. Usage: lose_append_answer.py LOG_PORT; prints its own port."""

import socket
import sys

log_port = int(sys.argv[1])
server = socket.create_server(("127.0.0.1", 0))
print(server.getsockname()[1], flush=True)
lost = False


def read_message(stream):
    """Returns the head and body of one message; the head is empty at the end of the stream."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = stream.readline()
        if not line:
            return b"", b""
        head += line
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head, stream.read(length)


while True:
    client, _ = server.accept()
    with client, client.makefile("rb") as request:
        head, body = read_message(request)
        if not head:
            continue
        with socket.create_connection(("127.0.0.1", log_port)) as log, log.makefile("rb") as answer:
            log.sendall(head + body)
            reply = b"".join(read_message(answer))
        if head.startswith(b"POST") and not lost:
            lost = True
            continue
        client.sendall(reply)
