"""Stand-in for a model replica, as a process of its own: `replica.py PORT ID RECORD [options]`.

Serves plain requests, streams of numbered events, its report and load orders. Appends a line of JSON to RECORD for each
run that begins, each event that it sends and each run that ends.
"""
import argparse
import json
import os
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import urlsplit

parser = argparse.ArgumentParser()
parser.add_argument("port", type=int)
parser.add_argument("id")
parser.add_argument("record")
parser.add_argument("--events", type=int, default=10)
parser.add_argument("--pause-ms", type=float, default=20)
parser.add_argument("--unframed", action="store_true", help="streams lack a length and end with their connection")
parser.add_argument("--slots", type=int, default=8)
parser.add_argument("--work-ms", type=float, default=20, help="time of a plain request")
parser.add_argument("--slow-file", help="while this file exists, work takes `--slow-factor` times as long")
parser.add_argument("--slow-factor", type=float, default=4)
parser.add_argument("--born", type=int, required=True)
options = parser.parse_args()

lock = threading.Lock()
record = open(options.record, "a", buffering=1)
state = {"version": 1, "orders": 0, "fence": 0, "running": 0}


def note(**fields):
    with lock:
        record.write(json.dumps({"at": round(time.time(), 3), "replica": options.id, **fields}) + "\n")


def event_text(request_id, number):
    return "piece %d of %s" % (number, request_id)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def send(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def own_headers(self):
        request_id = self.headers.get("Attempt-Id", "")
        load = "%d,0,%d" % (state["running"], options.slots)
        return [("Attempt-Id", request_id), ("Server-Seal", "seal-" + request_id), ("Replica-Load", load)]

    def do_GET(self):
        path = urlsplit(self.path).path
        if path == "/-/report":
            body = {"stage": "both", "models": [{"name": "model", "version": state["version"], "adapters": []}],
                    "num_busy": False, "seq": state["orders"], "num_waiting": 0, "num_running": state["running"],
                    "kv_used": 0, "kv_total": 1000000, "handles": 0, "born": options.born}
            return self.send(200, json.dumps(body).encode(), [("Content-Type", "application/json")])
        if path == "/health":
            return self.send(200, b"", [("Replica-Id", options.id)])
        return self.send(404)

    def do_POST(self):
        body = self.read_body()
        path = urlsplit(self.path).path
        expected = self.headers.get("Expect-Replica")
        if expected is not None and expected != options.id:
            return self.send(421, b"", [("Attempt-Id", self.headers.get("Attempt-Id", "")), ("Not-Executed", "1")])
        if path == "/-/order":
            order = json.loads(body)
            state["orders"] += 1
            state["version"] = order["version"]
            note(order=order)
            return self.send(202)
        request_id = self.headers.get("Attempt-Id")
        after = self.headers.get("Last-Event-Id")
        with lock:
            state["running"] += 1
        note(begins=request_id, path=self.path, after=after, bytes=len(body))
        try:
            if path.startswith("/stream/"):
                self.stream(request_id, 0 if after is None else int(after) + 1)
            else:
                is_slow = options.slow_file is not None and os.path.exists(options.slow_file)
                time.sleep(options.work_ms / 1000.0 * (options.slow_factor if is_slow else 1))
                self.send(200, ("answer to %s" % request_id).encode(), self.own_headers())
            note(ends=request_id)
        except OSError:
            note(abandoned=request_id)
            self.close_connection = True
        finally:
            with lock:
                state["running"] -= 1

    def read_body(self):
        if self.headers.get("Transfer-Encoding", "").lower() != "chunked":
            return self.rfile.read(int(self.headers.get("Content-Length") or 0))
        parts = []
        while size := int(self.rfile.readline().split(b";")[0], 16):
            parts.append(self.rfile.read(size))
            self.rfile.readline()
        self.rfile.readline()
        return b"".join(parts)

    def stream(self, request_id, first):
        self.send_response(200)
        for name, value in self.own_headers():
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Weight-Versions", str(state["version"]))
        if options.unframed:
            self.send_header("Connection", "close")
        else:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(first, options.events):
            time.sleep(options.pause_ms / 1000.0)
            event = ("id: %d\ndata: %s\n\n" % (number, event_text(request_id, number))).encode()
            if not options.unframed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            self.wfile.write(event)
            note(event=number, of=request_id)
        if not options.unframed:
            self.wfile.write(b"0\r\n\r\n")


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


Server(("127.0.0.1", options.port), Handler).serve_forever()
