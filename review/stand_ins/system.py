"""Starts lichenpulley's own programs as separate processes, as `deploy/system.toml` lays them out.

The settings of a process are `deploy/settings.toml`, filled as DEPLOY.md describes, with the figures of a small
deployment. All addresses are on loopback, all ports are free ones, and all files lie in a temporary folder.
"""
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["zone-a", "zone-b", "zone-c"]


LIBC = ctypes.CDLL(None, use_errno=True)
PR_SET_PDEATHSIG = 1


def end_with_script():
    """Makes a child end with the script that started it, also if the script is killed.

    The kernel sends the signal when the thread that started the child ends, so only the main thread may start processes.
    """
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def clean_up_on_signals():
    """Makes the signals that end a script run its clean-up once. It then exits with 2, which is not a broken rule."""
    ending = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def end(*_):
        for number in ending:
            signal.signal(number, signal.SIG_IGN)
        sys.exit(2)

    for number in ending:
        signal.signal(number, end)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def fill(template, fields):
    """Fills the gaps of a template as DEPLOY.md describes them."""
    gap = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")

    def look_up(name, scopes):
        for scope in reversed(scopes):
            value, known = scope, True
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    known = False
                    break
            if known:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(text(part) for part in value)
        if isinstance(value, dict):
            return json.dumps(value)
        return value if isinstance(value, str) else json.dumps(value)

    def end_of(source, start, name):
        depth = 1
        for found in gap.finditer(source, start):
            if found.group(2) == name and found.group(1) in ("#", "^"):
                depth += 1
            elif found.group(2) == name and found.group(1) == "/":
                depth -= 1
                if depth == 0:
                    return found
        raise ValueError("the section %s does not end" % name)

    def render(source, scopes, entry):
        out, position = [], 0
        while found := gap.search(source, position):
            out.append(source[position:found.start()])
            mark, name = found.groups()
            position = found.end()
            if mark in ("#", "^"):
                end = end_of(source, position, name)
                inner, value = source[position:end.start()], look_up(name, scopes)
                position = end.end()
                if mark == "^":
                    out.append(render(inner, scopes, entry) if not value else "")
                elif isinstance(value, dict):
                    for number, (key, item) in enumerate(value.items()):
                        out.append(render(inner, scopes + [item], (key, item, number == len(value) - 1)))
                elif isinstance(value, list):
                    for number, item in enumerate(value):
                        out.append(render(inner, scopes + [item], (number, item, number == len(value) - 1)))
                elif value:
                    out.append(render(inner, scopes, entry))
            elif name == "@":
                out.append(text(entry[0]))
            elif name == ".":
                out.append(text(entry[1]))
            elif name == ",":
                out.append("" if entry[2] else ",")
            else:
                out.append(text(look_up(name, scopes)))
        return "".join(out) + source[position:]

    return render(template, [fields], None)


class Node:
    """One machine with one process of the system."""

    def __init__(self, system, name, role, zone, fields):
        self.system, self.name, self.role, self.zone, self.fields = system, name, role, zone, fields
        self.settings = os.path.join(system.folder, name + ".toml")
        self.log = os.path.join(system.folder, name + ".log")
        self.process = None

    def start(self):
        with open(self.settings, "w") as file:
            file.write(fill(self.system.template, self.fields))
        command = self.system.deploy["roles"][self.role]["run"].split()
        command = [self.settings if word == "/etc/lichenpulley/boot.json" else word for word in command]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, preexec_fn=end_with_script)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        """Kills the process and waits for its end."""
        self.process.kill()
        self.process.wait()

    def lose_disk(self):
        """Removes all that the machine kept. The process must not run."""
        shutil.rmtree(self.fields["data_dir"])
        os.makedirs(self.fields["data_dir"])

    @property
    def front(self):
        return self.fields["listen"]["front"]


class System:
    """The platform's store is given by its address; its first configuration must be there already."""

    def __init__(self, store_address, edges=3, stores=3, memory_mb=260):
        self.folder = tempfile.mkdtemp(prefix="lichenpulley-review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        with open(os.path.join(ROOT, self.deploy["roles"]["gateway"]["template"])) as file:
            self.template = file.read()
        self.store_address = store_address
        controls = ["127.0.0.1:%d" % free_port() for _ in range(edges)]
        self.edges = [self._edge(number, controls, memory_mb) for number in range(edges)]
        self.stores = [self._store(number, controls, memory_mb) for number in range(stores)]

    def _fields(self, name, zone, controls, memory_mb, disk_mb):
        return {
            "node": name, "ip": "127.0.0.1", "zone": zone, "region": "region",
            "zones": {zone: "region" for zone in ZONES},
            "port_range": [free_port(), free_port()], "seeds": controls[:3], "listen": {}, "data_dir": None,
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": memory_mb, "disk_mb": disk_mb},
            "provider": {"address": self.store_address},
            "bounds": {"lease_ms": 3000},
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
        }

    def _edge(self, number, controls, memory_mb):
        zone = ZONES[number % len(ZONES)]
        name = "edge-%s-%d" % (zone, number // len(ZONES) + 1)
        fields = self._fields(name, zone, controls, memory_mb, 0)
        fields["listen"] = {"front": "127.0.0.1:%d" % free_port(), "ready_addr": "127.0.0.1:%d" % free_port(),
                            "control": controls[number]}
        return Node(self, name, "gateway", zone, fields)

    def _store(self, number, controls, memory_mb):
        zone = ZONES[number % len(ZONES)]
        name = "storage-%s-%d" % (zone, number // len(ZONES) + 1)
        fields = self._fields(name, zone, controls, memory_mb, 430)
        fields["data_dir"] = os.path.join(self.folder, name)
        os.makedirs(fields["data_dir"])
        return Node(self, name, "store", zone, fields)

    @property
    def nodes(self):
        return self.stores + self.edges

    def start(self):
        for node in self.nodes:
            node.start()

    def stop(self, keep=False):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_until(holds, limit_s, pause_s=0.1):
    """Returns whether `holds` came true in time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if holds():
            return True
        time.sleep(pause_s)
    return False


def configuration(version, host, routes, service="engines"):
    """Returns the operator's configuration: `routes` gives the kind and further fields of each route by its name."""
    documents = []
    for name, fields in routes.items():
        documents.append({"name": name, "host": host, "service": service, "timeout_ms": 10000, "target_ms": 400,
                          "max_attempts": 3, "max_queue_s": 60.0, "due_ms": 7500, **fields})
    return {
        "version": version,
        "routes": documents,
        "services": [{"name": service, "engine": {"slots": 8, "kv_cap_tokens": 100000, "models": [{"name": "model"}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


class Replica:
    """A replica of a service, as a process of its own."""

    def __init__(self, system, store, name, zone, arguments=(), service="engines"):
        self.system, self.store, self.name, self.zone = system, store, name, zone
        self.service, self.arguments = service, list(arguments)
        self.port = free_port()
        self.process = None

    def start(self):
        born = int(time.time() * 1000)
        program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "replica.py")
        record = os.path.join(self.system.folder, "replicas.jsonl")
        self.process = subprocess.Popen(
            ["python3", program, str(self.port), self.name, record, "--born", str(born), *self.arguments],
            preexec_fn=end_with_script)
        self.store.put("servers", self.name, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone, "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "stage": "both",
            "models": [{"name": "model", "version": 1, "adapters": []}], "seq": 1, "born": born})

    def kill(self):
        self.process.kill()
        self.process.wait()


def replica_records(system):
    path = os.path.join(system.folder, "replicas.jsonl")
    if not os.path.exists(path):
        return []
    with open(path) as file:
        return [json.loads(line) for line in file if line.endswith("\n")]


def is_ready(node):
    """Asks as the platform does whether a node may get new connections."""
    import http.client
    host, port = node.fields["listen"]["ready_addr"].split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=1)
    try:
        connection.request("GET", "/-/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def call(node, method, path, headers, body=None, timeout_s=10.0):
    """Makes one call on its own new connection; returns the status, or None without an answer, and the body."""
    import http.client
    host, port = node.front.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return None, repr(error).encode()
    finally:
        connection.close()


def owner_of_batch_jobs(system):
    """Returns the edge that last took over the log of the batch jobs, as its own log says."""
    latest = (-1, None)
    for edge in system.edges:
        with open(edge.log, errors="replace") as file:
            for line in file:
                if '"message":"taken_over"' in line and '"id":"batch/main"' in line:
                    latest = max(latest, (int(json.loads(line)["epoch"]), edge.name))
    return next((edge for edge in system.edges if edge.name == latest[1]), None)
