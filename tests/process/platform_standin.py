"""Stand-ins of the users' platform: workers, callers and operators on loopback.

A worker keeps leases and fencing tokens, runs tasks for the time that their
payload names, and notes every start, so that a test can see whether a task had
two runs at a time. Each machine has a loopback address of its own, since ports
are the same on all machines.
"""

import http.client
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BUILD_DIR = os.path.abspath(
    os.path.join("../..", os.environ.get("BUILD_DIR", "build"))
)
BINARY = os.path.join(BUILD_DIR, "src/app/geraniumbay")
MAX_LEASE_MS = 1000
# A worker lists its lowest ends, this many at a time.
ENDS_AT_A_TIME = 500
# Workers have announced themselves this often when a test begins, so that one
# that starts again needs minutes to pass the numbers of its earlier process.
LONG_RUNNING_SEQUENCE = 1000
HOST = "claims.example"


def request(address, method, path, body=None, headers=None, timeout=5):
    """Sends one request; returns (status, parsed body) or (None, reason)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = body if isinstance(body, (str, bytes)) else json.dumps(body)
        connection.request(
            method, path, None if body is None else text, headers or {}
        )
        response = connection.getresponse()
        content = response.read().decode()
        return response.status, json.loads(content) if content else None
    except (OSError, http.client.HTTPException, ValueError) as failure:
        return None, repr(failure)
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError("timed out: " + what)


class QuietServer(ThreadingHTTPServer):
    """A server that says nothing when a client breaks off."""

    def __init__(self, *args):
        self.connections = set()
        super().__init__(*args)

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def break_connections(self):
        """Ends all connections at once, as the end of a process does."""
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # It has ended already.
                pass

    def handle_error(self, request, client_address):
        pass


class Running:
    """One run of a task at a worker."""

    def __init__(self, number, seconds):
        self.number = number
        self.ends = time.monotonic() + seconds


class Worker:
    """A worker with a lease, a fencing token and numbered ends.

    An object is one process: a worker that is started again under its id is a
    new one, with a later start time and its announcements numbered from 1.
    """

    def __init__(
        self,
        fleet,
        ip,
        port,
        name,
        data_centre="barracas",
        born=0,
        first_sequence=1,
    ):
        self.fleet = fleet
        self.data_centre = data_centre
        self.name = name
        self.address = f"{ip}:{port}"
        self.born = max(int(time.time() * 1000), born)
        self.lock = threading.Condition()
        self.token = 0
        self.lease = 0.0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.last_end = 0
        self.sequence = itertools.count(first_sequence)
        self.state = "ready"
        self.alive = True
        listen_ip, _ = fleet.worker_listens_at(self.address).split(":")
        self.server = QuietServer((listen_ip, port), self._handler())
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()
        threading.Thread(target=self._watch, daemon=True).start()

    def clock(self):
        return int(time.monotonic() * 1000)

    def close(self):
        self.alive = False
        self.server.shutdown()
        self.server.server_close()

    def kill(self):
        """Ends the process and with it its runs, as a crash does."""
        with self.lock:
            self.alive = False
            for task in list(self.running):
                del self.running[task]
                self.fleet.note_end(self.name, task)
            self.lock.notify_all()
        self.close()
        self.server.break_connections()

    def _watch(self):
        """Ends runs in time also while nobody calls."""
        while self.alive:
            with self.lock:
                self._settle()
            time.sleep(0.01)

    def _beat(self):
        while self.alive:
            body = {
                "service": "triage",
                "address": self.address,
                "zone": self.data_centre,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": {"cpu": 4000, "mem_mb": 8192, "gpus": 0},
                "labels": ["a", "r1-1"],
                "clock_ms": self.clock(),
                "born": self.born,
                "seq": next(self.sequence),
            }
            for address in self.fleet.shuffled_controls():
                if not self.alive:
                    return
                status, _ = request(
                    address, "PUT", f"/instances/{self.name}", body, timeout=1
                )
                if status == 200:
                    break
            time.sleep(0.3)

    def _settle(self):
        """Ends what is done or has lost its lease; the lock is held."""
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if self.lease <= now and self.lease < run.ends:
                self._end(task, run, "lapsed")
            elif run.ends <= now:
                self._end(task, run, "done")

    def _end(self, task, run, how):
        del self.running[task]
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.fleet.note_end(self.name, task)
        self.lock.notify_all()

    def _extend(self, deadline_ms):
        wanted = deadline_ms / 1000.0
        limit = time.monotonic() + MAX_LEASE_MS / 1000.0
        self.lease = max(self.lease, min(wanted, limit))

    def start(self, order):
        with self.lock:
            if not self.alive:
                raise ConnectionError("the worker is gone")
            self._settle()
            if order["fencing_token"] < self.token:
                return 409, "fence"
            self.token = order["fencing_token"]
            task, number = order["task"], order["run_id"]
            run = self.running.get(task)
            if run and run.number == number:
                return 200, None
            if number <= self.highest.get(task, 0):
                return 409, "old"
            if order["deadline_ms"] <= self.clock():
                return 409, "late"
            if len(self.running) >= 4:
                return 409, "room"
            if not self.running:
                self.lease = 0.0
            self._extend(order["deadline_ms"])
            self.running[task] = Running(number, float(order["spec"]))
            self.fleet.note_start(self.name, task)
            return 200, None

    def stop(self, order):
        with self.lock:
            self._settle()
            if order["fencing_token"] < self.token:
                return 409, "fence"
            self.token = order["fencing_token"]
            run = self.running.get(order["task"])
            if run and run.number <= order["run_id"]:
                self._end(order["task"], run, "stopped")
            task = order["task"]
            self.highest[task] = max(
                self.highest.get(task, 0), order["run_id"]
            )
            return 200, None

    def hold(self, order):
        with self.lock:
            self._settle()
            if order["fencing_token"] < self.token:
                return 409, "fence"
            self.token = order["fencing_token"]
            if "deadline_ms" in order:
                self._extend(order["deadline_ms"])
            self.ends = [e for e in self.ends if e[0] > order["last_seen"]]
            until = time.monotonic() + order.get("wait_ms", 0) / 1000.0
            while not self.ends and time.monotonic() < until and self.alive:
                self.lock.wait(0.005)
                self._settle()
            return 200, None

    def _handler(self):
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                order = json.loads(
                    self.rfile.read(int(self.headers["content-length"]))
                )
                if self.headers["geraniumbay-target-instance"] != worker.name:
                    return self.answer(421, {})
                act = {
                    "/run-start": worker.start,
                    "/run-stop": worker.stop,
                    "/hold": worker.hold,
                }[self.path]
                try:
                    status, reason = act(order)
                except ConnectionError:
                    self.close_connection = True
                    return None
                if not worker.alive:
                    # A process that is gone answers nothing more.
                    self.close_connection = True
                    return None
                body = {"clock_ms": worker.clock()}
                if reason:
                    body["reason"] = reason
                if self.path == "/hold" and status == 200:
                    body["born"] = worker.born
                    with worker.lock:
                        body["running"] = [
                            [task, run.number, "", 50]
                            for task, run in worker.running.items()
                        ]
                        limit = worker.fleet.ends_at_a_time
                        body["finished"] = worker.ends[:limit]
                return self.answer(status, body)

            def answer(self, status, body):
                content = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("content-type", "application/json")
                self.send_header("content-length", str(len(content)))
                try:
                    self.end_headers()
                    self.wfile.write(content)
                except OSError:
                    # The caller has given up.
                    self.close_connection = True

        return Handler


class Machine:
    """One process of the system with its settings file and its disk."""

    def __init__(self, fleet, ip, role):
        self.fleet = fleet
        self.ip = ip
        self.role = role
        self.name = f"{role}-{ip}"
        self.folder = os.path.join(fleet.folder, self.name)
        self.disk = os.path.join(self.folder, "disk")
        os.makedirs(self.disk)
        self.process = None
        self.first = True

    def settings(self):
        """The settings file, under the platform's names."""
        return {
            "node_name": self.name,
            "role": self.role,
            "serves": ["edge" if self.role == "edge" else "control_plane"],
            "ip": self.ip,
            "zone": "barracas",
            "zones": {"barracas": "amba", "pompeya": "amba"},
            "listen": {
                "front": f"{self.ip}:{self.fleet.port}",
                "readiness": f"{self.ip}:{self.fleet.port + 1}",
                "control": f"{self.ip}:{self.fleet.port + 2}",
            },
            "port_range": [self.fleet.port + 3, self.fleet.port + 9],
            "seeds": self.fleet.controls(),
            "bootstrap": self.first,
            "data_dir": self.disk if self.role == "core" else None,
            "bounds": {"max_hold_ms": MAX_LEASE_MS, "grace_s": 6},
        }

    def start(self):
        settings = self.settings()
        self.first = False
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, "log"), "a")
        self.process = subprocess.Popen(
            [BINARY, "platform"],
            env={"GERANIUMBAY_BOOT": path, "PATH": os.environ["PATH"]},
            stdout=log,
            stderr=log,
        )
        log.close()

    def kill(self):
        self.process.kill()
        self.process.wait()

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def wipe(self):
        shutil.rmtree(self.disk)
        os.makedirs(self.disk)

    def log(self):
        with open(os.path.join(self.folder, "log")) as file:
            return file.read()


class Fleet:
    """Three control VMs, some entries and some workers."""

    machine_type = Machine

    def __init__(self, entries=3, workers=3):
        self.folder = tempfile.mkdtemp(prefix="geraniumbay-")
        self.lock = threading.Lock()
        self.places = {}
        self.runs = {}
        self.doubled = []
        self.starts = 0
        self.ends_at_a_time = ENDS_AT_A_TIME
        self.port = self._free_ports()
        base = f"127.0.{random.randrange(20, 200)}."
        self.core = [
            self.machine_type(self, f"{base}{i}", "core") for i in (1, 2, 3)
        ]
        self.entries = [
            self.machine_type(self, f"{base}{10 + i}", "edge")
            for i in range(entries)
        ]
        self.workers = [
            Worker(
                self,
                f"{base}{100 + i}",
                self.port,
                f"i-{i}",
                "barracas" if i % 2 == 0 else "pompeya",
                first_sequence=LONG_RUNNING_SEQUENCE,
            )
            for i in range(workers)
        ]
        self.prepare()
        for machine in self.core + self.entries:
            machine.start()

    def prepare(self):
        """Called before any process starts."""

    def worker_listens_at(self, address):
        """Where a worker listens that announces this address."""
        return address

    @staticmethod
    def _free_ports():
        for _ in range(50):
            port = random.randrange(20000, 30000, 10)
            try:
                for offset in range(10):
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port + offset))
                return port
            except OSError:
                continue
        raise AssertionError("no free ports")

    def close(self):
        for machine in self.core + self.entries:
            if machine.process and machine.process.poll() is None:
                machine.kill()
        for worker in self.workers:
            worker.close()
        shutil.rmtree(self.folder)

    def restart_worker(self, index, ip=None):
        """Starts a killed worker again under its id, at its address or another
        one; returns the new process."""
        old = self.workers[index]
        old_ip, port = old.address.split(":")
        self.workers[index] = Worker(
            self,
            ip or old_ip,
            int(port),
            old.name,
            old.data_centre,
            old.born + 1,
        )
        return self.workers[index]

    def controls(self):
        return [f"{machine.ip}:{self.port + 2}" for machine in self.core]

    def shuffled_controls(self):
        return random.sample(self.controls(), 3)

    def front(self, entry):
        return f"{self.entries[entry].ip}:{self.port}"

    def ready(self, entry):
        address = f"{self.entries[entry].ip}:{self.port + 1}"
        return request(address, "GET", "/readiness", timeout=1)[0] == 200

    def note_start(self, worker, task):
        with self.lock:
            self.starts += 1
            self.runs[task] = self.runs.get(task, 0) + 1
            holders = self.places.setdefault(task, set())
            if holders:
                self.doubled.append((task, sorted(holders), worker))
            holders.add(worker)

    def note_end(self, worker, task):
        with self.lock:
            self.places[task].discard(worker)

    def manifest(self, version, **changes):
        body = {
            "version": version,
            "routes": [
                {
                    "name": "r1",
                    "host": HOST,
                    "path_prefix": "/claims/",
                    "type": "non_idempotent",
                    "timeout_ms": 1500,
                    "target_latency_ms": 60,
                    "priority": 0,
                    "service": "triage",
                    "attempts": 3,
                    "stretch_factor": 1.6,
                }
            ],
            "services": [{"name": "triage", "health_path": "/health"}],
            "limits": {},
        }
        body.update(changes)
        return body

    def put(self, body, seconds=20):
        """Sends a configuration until it gets a clear answer."""
        answers = []

        def answered():
            for address in self.shuffled_controls():
                status, _ = request(address, "PUT", "/config", body, timeout=2)
                answers.append(status)
                if status in (200, 400):
                    return True
            return False

        wait_until(answered, seconds, "the configuration is answered")
        return answers[-1]

    def evacuate(self, data_centre, end=False, seconds=20):
        """Orders an evacuation, or its end, until it gets a clear answer."""
        method = "DELETE" if end else "POST"
        answers = []

        def answered():
            for address in self.shuffled_controls():
                status, _ = request(
                    address, method, f"/evacuations/{data_centre}", timeout=2
                )
                answers.append(status)
                if status in (200, 400, 404):
                    return True
            return False

        wait_until(answered, seconds, "the evacuation is answered")
        return answers[-1]

    def config(self):
        for address in self.shuffled_controls():
            status, body = request(address, "GET", "/config", timeout=2)
            if status == 200:
                return body
        return None

    def begin(self):
        assert self.put(self.manifest(3)) == 200
        wait_until(
            lambda: all(self.ready(i) for i in range(len(self.entries))),
            30,
            "all entries are ready",
        )

    def job(self, entry, job_id, seconds=0.1, tasks=3, stored=False, wait=8):
        """Submits a job and returns the status and the body."""
        body = {
            "spec": str(seconds),
            "phases": [{"count": tasks, "cpu": 1000, "mem_mb": 64}],
        }
        if not stored:
            body["best_effort"] = True
        return request(
            self.front(entry),
            "POST",
            f"/claims/{job_id}",
            body,
            {"host": HOST, "geraniumbay-timeout-ms": str(wait * 1000)},
            timeout=wait,
        )

    def ask(self, entry, method, job_id):
        return request(
            self.front(entry), method, f"/claims/{job_id}", None, {"host": HOST}
        )

    def logs(self):
        return "\n".join(
            f"== {m.name}\n{m.log()}" for m in self.core + self.entries
        )
