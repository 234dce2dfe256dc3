"""Serves the operators' calls of an entry with a given configuration version.
Usage: entry_stub.py READY VERSION [SNAPSHOT_FILE]; prints its own port. $PEERS is the list of peers
in its status. With $TLS_FOLDER set it uses TLS with the files entry.pem, entry.key and ca.pem there,
and requires a client certificate."""

import http.server
import json
import os
import ssl
import sys

ready = sys.argv[1] == "ready"
version = int(sys.argv[2])
peers = json.loads(os.environ.get("PEERS", "[]"))
snapshot = open(sys.argv[3], "rb").read() if len(sys.argv) > 3 else None


class Handler(http.server.BaseHTTPRequestHandler):
    def answer(self, code, body):
        self.send_response(code)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        status = {"ready": ready, "configuration_version": version}
        if peers:
            status["peers"] = peers
        if self.path == "/v1/status":
            self.answer(200, json.dumps(status).encode())
        elif self.path == "/dump":
            self.answer(200, json.dumps({"status": status}).encode())
        elif self.path == "/v1/configuration" and snapshot:
            self.answer(200, snapshot)
        else:
            self.answer(404, b'{"verdict":"not_run","code":"bad_request","message":"no such path"}')

    def do_POST(self):
        self.answer(202, b'{"draining":true}')
        self.server.draining = True

    def log_message(self, *arguments):
        pass


server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
server.draining = False
if "TLS_FOLDER" in os.environ:
    folder = os.environ["TLS_FOLDER"]
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(folder + "/entry.pem", folder + "/entry.key")
    context.load_verify_locations(folder + "/ca.pem")
    context.verify_mode = ssl.CERT_REQUIRED
    server.socket = context.wrap_socket(server.socket, server_side=True)
print(server.server_address[1], flush=True)
while not server.draining:
    try:
        server.handle_request()
    except OSError:
        pass  # The client has no valid certificate.
