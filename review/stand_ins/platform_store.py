"""Stand-in for the platform's metadata store: objects by kind and name, lists, watches and conditional writes.

Runs inside the test's process. Every answer is linearizable and nothing that was acknowledged is lost.
"""
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500
MAX_WATCH_S = 30.0


class MetadataStore:
    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 0
        self.objects = {}
        self.events = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def handle_any(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else None
                status, answer = store.answer(self.command, self.path, body)
                self.reply(status, answer)

            do_GET = do_POST = do_PUT = do_DELETE = handle_any

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass  # A caller that is gone.

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()

    def put(self, kind, name, spec):
        """Creates or replaces an object, as the operator, a replica or a trainer does."""
        with self.lock:
            return self._store(kind, name, {"spec": spec})

    def _store(self, kind, name, change):
        self.revision += 1
        held = self.objects.get((kind, name))
        if held is None:
            held = {"metadata": {"name": name, "create_rev": self.revision, "finalizers": [], "deleting": False},
                    "spec": {}, "status": {}}
        held = {**held, **change, "metadata": {**held["metadata"], "rev": self.revision}}
        self.objects[(kind, name)] = held
        self.events.append((self.revision, kind, False, held))
        self.lock.notify_all()
        return held

    def _remove(self, kind, name):
        held = self.objects.pop((kind, name))
        self.revision += 1
        held = {**held, "metadata": {**held["metadata"], "rev": self.revision}}
        self.events.append((self.revision, kind, True, held))
        self.lock.notify_all()

    def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = parts.path.split("/")
        if path[:3] != ["", "-", "objects"] or len(path) < 4:
            return 404, {}
        kind, name = path[3], "/".join(path[4:5])
        if method == "GET" and not name:
            return self._watch(kind, query) if "watch" in query else self._list(kind, query)
        with self.lock:
            if method == "POST":
                name = body["metadata"]["name"]
                if (kind, name) in self.objects:
                    return 409, self.objects[(kind, name)]
                return 200, self._store(kind, name, {"spec": body.get("spec")})
            held = self.objects.get((kind, name))
            if held is None:
                return 404, {}
            if method == "GET":
                return 200, held
            expected = ((body or {}).get("metadata") or {}).get("rev") or query.get("rev")
            if expected is not None and int(expected) != held["metadata"]["rev"]:
                return 409, held
            if method == "DELETE":
                self._remove(kind, name)
                return 200, held
            field = "status" if path[5:6] == ["status"] else "spec"
            if held[field] == body.get(field):
                return 200, held
            return 200, self._store(kind, name, {field: body.get(field)})

    def _list(self, kind, query):
        with self.lock:
            names = sorted(name for held, name in self.objects if held == kind)
            after = query.get("after_rev")
            names = [name for name in names if after is None or name > after]
            items = [self.objects[(kind, name)] for name in names[:PAGE_ITEMS]]
            return 200, {"items": items, "has_more": len(names) > PAGE_ITEMS, "at": self.revision}

    def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + min(float(query.get("wait_ms", 0)) / 1000.0, MAX_WATCH_S)
        with self.lock:
            while True:
                found = [event for event in self.events if event[0] > since and event[1] == kind]
                left = until - time.monotonic()
                if found or left <= 0:
                    break
                self.lock.wait(left)
            events = [{"object": held, "compacted": removed} for _, _, removed, held in found]
            return 200, {"events": events, "at": self.revision}
