"""A small deployment on loopback: real processes, stand-ins for the rest.

The processes are those of the deploy file, started with its command and with a
settings file as DEPLOY.md describes it. Workers, clients and the operator are
stand-ins that follow PROTOCOL.md. Each machine has a loopback address of its
own, since ports are the same on all machines. Everything that is sent,
answered and run goes into a record.
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
# The command of both roles in deploy/system.toml; run in the root.
COMMAND = ["target/src/app/geraniumbay", "platform"]
HOST = "claims.example"
PREFIX = "/claims/"
SERVICE = "triage"
ZONES = ("barracas", "pompeya", "avellaneda")
# The bounds of sites/rup-claims.toml, as the page DEPLOY.md shows them.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
    "recovery_s": 12, "max_hold_ms": 1000, "stop_ms": 50,
    "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "remote_factor": 2,
    "checkpoint_s": 0.5, "restore_ms": 600, "notice_ms": 4500,
    "migrate_s": 1.5, "maintenance_s": 2, "enforce_fencing": False,
    "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100,
    "interference_ms": 4000, "retransmit_ms": 1300,
}
HEARTBEAT_S = 1.5
# The platform starts a process that has ended after this time.
RESTART_DELAY_S = 0.5
# Pings move on to the next node after this time without an answer.
PING_TIMEOUT_S = 1.0
# Another writer counts its pings on its own.
OTHER_SEQUENCE = 100000


class CannotRun(Exception):
    """The case could not be set up: its result says nothing."""


class Record:
    """Lines with the time since the start of the run."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def line(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{self.now():9.3f} {event} {text}\n")
            self.file.flush()


def call(address, method, path, body=None, headers=None, timeout=2.0):
    """One request on a new channel; (status, parsed body) or (None, reason)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        content = response.read().decode()
        return response.status, json.loads(content) if content else None
    except (OSError, http.client.HTTPException, ValueError) as failure:
        return None, repr(failure)
    finally:
        connection.close()


class Server(ThreadingHTTPServer):
    """Keeps its channels, so that a crash can end all of them."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, *arguments):
        self.channels = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        self.channels.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.channels.discard(request)
        super().shutdown_request(request)

    def end_channels(self):
        for channel in list(self.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # It has ended already.

    def handle_error(self, request, client_address):
        pass  # A caller that breaks off is no error.


class Run:
    """One run of a task at a worker."""

    def __init__(self, number, ends, cpu):
        self.number = number
        self.ends = ends
        self.cpu = cpu


def spec_for(seconds, cpu, size=0):
    """The spec of a task that works for so long; padded to `size` bytes."""
    text = json.dumps({"seconds": seconds, "cpu": cpu, "text": ""})
    padding = max(0, size - len(text))
    return text[:-2] + "t" * padding + '"}'


class Worker:
    """One life of a worker that takes orders by calls (`invoke`)."""

    def __init__(self, deployment, ip, name, zone, kind, rack, cpu):
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        self.zone = zone
        self.labels = [kind, rack]
        self.cpu = cpu
        self.address = f"{ip}:{deployment.port}"
        self.lock = threading.Condition()
        self.born = time.monotonic()
        self.token = 0
        self.lease = 0.0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.last_end = 0
        # Ends that weren't taken note of before the lease lapsed.
        self.lapsed_ends = set()
        self.alive = True
        # A worker that is cut off runs on, hears nothing and says nothing.
        self.cut = False
        self.sequence = itertools.count(1)
        self.server = Server((ip, deployment.port), self._handler())
        self._spawn(self.server.serve_forever)
        self._spawn(self._ping)
        self._spawn(self._watch)

    @staticmethod
    def _spawn(target):
        threading.Thread(target=target, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.born) * 1000) + 1000

    def crash(self):
        """Ends the process and all that runs on it."""
        with self.lock:
            self.alive = False
            for task, run in list(self.running.items()):
                del self.running[task]
                self.deployment.note_end(self, task, run.number, "crash")
            self.lock.notify_all()
        self.server.shutdown()
        self.server.server_close()
        self.server.end_channels()
        self.record.line("worker_crashed", worker=self.name)

    def report(self):
        return {
            "service": SERVICE, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpus": 0},
            "labels": self.labels, "clock_ms": self.clock(),
            "seq": next(self.sequence),
        }

    def _ping(self):
        preferred = None
        while self.alive:
            nodes = random.sample(self.deployment.controls(), 3)
            if preferred:
                nodes.insert(0, preferred)
            for node in nodes:
                if not self.alive or self.cut:
                    break
                status, body = call(
                    node, "PUT", f"/instances/{self.name}", self.report(),
                    {"Content-Type": "application/json"}, PING_TIMEOUT_S,
                )
                if status == 200:
                    preferred = (body or {}).get("heartbeat_url") or preferred
                    break
                preferred = None
            time.sleep(HEARTBEAT_S)

    def _watch(self):
        while self.alive:
            with self.lock:
                self._settle()
            time.sleep(0.01)

    def _settle(self):
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if self.lease <= now and self.lease < run.ends:
                self._end(task, run, "lapsed")
            elif run.ends <= now:
                self._end(task, run, "done")
        if self.lease <= now:
            self.lapsed_ends.update(end[0] for end in self.ends)

    def _end(self, task, run, how):
        del self.running[task]
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.deployment.note_end(self, task, run.number, how)
        self.lock.notify_all()

    def _extend(self, deadline_ms):
        now = time.monotonic()
        wanted = now + (deadline_ms - self.clock()) / 1000.0
        longest = now + BOUNDS["max_hold_ms"] / 1000.0
        self.lease = max(self.lease, min(wanted, longest))

    def _start(self, order):
        task, number = order["task"], order["run_id"]
        if "deadline_ms" in order and order["deadline_ms"] > self.clock():
            if not self.running:
                self.lease = 0.0
            self._extend(order["deadline_ms"])
        run = self.running.get(task)
        if run and run.number == number:
            return 200, None
        if run or number <= self.highest.get(task, 0):
            return 409, "old"
        if order["deadline_ms"] <= self.clock():
            return 409, "late"
        work = json.loads(order["spec"])
        seconds = work.get("seconds")
        if seconds is None:
            # Tasks that end together, within a span.
            seconds = max(0.0, work["until"] - time.monotonic())
            seconds += random.random() * work["span"]
        used = sum(each.cpu for each in self.running.values())
        if used + work["cpu"] > self.cpu:
            return 409, "room"
        ends = time.monotonic() + seconds
        self.running[task] = Run(number, ends, work["cpu"])
        self.deployment.note_start(self, task, number)
        return 200, None

    def _stop(self, order):
        task, number = order["task"], order["run_id"]
        run = self.running.get(task)
        if run and run.number <= number:
            self._end(task, run, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, None

    def _hold(self, order):
        if "deadline_ms" in order:
            self._extend(order["deadline_ms"])
        for number, task, run, how, _ in self.ends:
            if number <= order["last_seen"] and number not in self.lapsed_ends:
                self.deployment.note_seen(self, task, run, how)
        self.ends = [e for e in self.ends if e[0] > order["last_seen"]]
        until = time.monotonic() + min(order.get("wait_ms", 0), 2000) / 1000.0
        while not self.ends and self.alive and not self.cut:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(left)
            self._settle()
        return 200, None

    def obey(self, path, order):
        """Carries out one order; returns (status, body), or (None, None) if the
        worker has crashed."""
        acts = {"/run-start": self._start, "/run-stop": self._stop,
                "/hold": self._hold}
        with self.lock:
            if not self.alive:
                return None, None
            self._settle()
            if order.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.token = order.get("fencing_token", 0)
            status, reason = acts[path](order)
            body = {"clock_ms": self.clock()}
            if reason:
                body["reason"] = reason
            if path == "/hold" and status == 200:
                body["running"] = [
                    [task, run.number, "", 50, run.cpu]
                    for task, run in self.running.items()
                ]
                body["finished"] = self.ends[:500]
            return status, body

    def _handler(self):
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def _is_cut(self):
                """Waits for the end of a cut without an answer."""
                if not worker.cut:
                    return False
                while worker.cut and worker.alive:
                    time.sleep(0.05)
                self.close_connection = True
                return True

            def do_GET(self):
                if not self._is_cut():
                    self._answer(200, {})

            def do_POST(self):
                if self._is_cut():
                    return
                length = int(self.headers["content-length"])
                order = json.loads(self.rfile.read(length))
                if self._is_cut():
                    return
                target = self.headers["geraniumbay-target-instance"]
                if target != worker.name:
                    self._answer(421, {"clock_ms": worker.clock()})
                    return
                status, body = worker.obey(self.path, order)
                if status is None or not worker.alive:
                    self.close_connection = True
                    return
                if self._is_cut():
                    return
                if self.path != "/hold" or status != 200:
                    worker.record.line(
                        "order", path=self.path, worker=worker.name,
                        task=order.get("task", ""), run=order.get("run_id", ""),
                        token=order.get("fencing_token", 0), status=status,
                        reason=body.get("reason", "-"),
                    )
                self._answer(status, body)

            def _answer(self, status, body):
                content = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json"
                    f"\r\ncontent-length: {len(content)}\r\n\r\n"
                ).encode()
                try:
                    self.wfile.write(head + content)
                except OSError:
                    self.close_connection = True  # The caller has given up.

        return Handler


class Machine:
    """One machine of the system with its process and, on core, its disk."""

    def __init__(self, deployment, ip, role, zone):
        self.deployment = deployment
        self.ip = ip
        self.role = role
        self.zone = zone
        self.name = f"{role}-{zone}-{ip.rsplit('.', 1)[1]}"
        self.folder = os.path.join(deployment.folder, self.name)
        self.disk = os.path.join(self.folder, "disk")
        os.makedirs(self.disk)
        self.process = None
        self.first = True

    def _settings(self):
        port = self.deployment.port
        core = self.role == "core"
        serves = "control_plane" if core else "edge"
        listen = (
            {"control": f"{self.ip}:{port + 2}"} if core else
            {"front": f"{self.ip}:{port}", "readiness": f"{self.ip}:{port + 1}"}
        )
        return {
            "node_name": self.name, "role": "control" if core else "entry",
            "machine_class": self.role, "serves": [serves], "ip": self.ip,
            "zone": self.zone, "region": "amba",
            "zones": {zone: "amba" for zone in ZONES}, "listen": listen,
            "port_range": [port + 3, port + 9],
            "seeds": self.deployment.controls(), "bootstrap": self.first,
            "loss_counts": core,
            "limits": {
                "cpu_share": 0.5 if core else 0.25, "cores": 1,
                "memory_mb": 256 if core else 260, "max_fds": 4096,
                "link_mbps": 1000.0, "disk_mb": 128 if core else 0,
            },
            "data_dir": self.disk if core else None, "discovery": "registry",
            "entry": "vip", "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "sched", "advice", "upkeep", "sharing"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest", "commands": "invoke",
        }

    def start(self):
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self._settings(), file)
        self.first = False
        environment = {"GERANIUMBAY_BOOT": path, "LANG": "C"}
        for name in ("PATH", "HOME"):
            if name in os.environ:
                environment[name] = os.environ[name]
        with open(os.path.join(self.folder, "log"), "a") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        self.deployment.record.line("started", machine=self.name)

    def send_signal(self, number):
        self.process.send_signal(number)
        self.deployment.record.line(
            "signal", machine=self.name, signal=signal.Signals(number).name
        )

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def lose_disk(self):
        shutil.rmtree(self.disk)
        os.makedirs(self.disk)
        self.deployment.record.line("disk_lost", machine=self.name)

    def log(self):
        path = os.path.join(self.folder, "log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def memory_mb(self):
        """The process's memory as the kernel reports it; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) // 1024
        except OSError:
            pass
        return 0


class Deployment:
    """Three control machines, some entries and some workers."""

    def __init__(self, record, entries=3):
        self.record = record
        self.lock = threading.Lock()
        self.folder = tempfile.mkdtemp(prefix="review-")
        # At work now, by task: worker and run. All starts and ends.
        self.at_work = {}
        self.starts = []
        self.finished = []
        # Ends that were taken note of while the worker's lease held, by task.
        self.seen_done = {}
        self.last_work = 0.0
        base, self.port = self._find_ports()
        self.base = base
        self.core = [Machine(self, f"{base}.{i + 1}", "core", ZONES[i])
                     for i in range(3)]
        self.entries = [Machine(self, f"{base}.{i + 11}", "edge", ZONES[i % 3])
                        for i in range(entries)]
        self.workers = []
        self.version = 0
        self.workers_started = 0

    @staticmethod
    def _find_ports():
        for _ in range(100):
            base = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            port = random.randrange(20000, 30000, 20)
            try:
                for offset in range(10):
                    with socket.socket() as probe:
                        probe.bind((f"{base}.1", port + offset))
                return base, port
            except OSError:
                continue
        raise CannotRun("no free ports")

    def controls(self):
        return [f"{self.base}.{i + 1}:{self.port + 2}" for i in range(3)]

    def front(self, entry):
        return f"{self.entries[entry].ip}:{self.port}"

    def add_worker(self, kind="a", cpu=4000):
        number = self.workers_started
        self.workers_started += 1
        worker = Worker(
            self, f"{self.base}.{100 + number}", f"i-{number:04x}",
            ZONES[number % 3], kind, f"r{number % 3}-1", cpu,
        )
        self.workers.append(worker)
        return worker

    def begin(self, routes=None):
        """Starts all, hands in the manifest and waits until entries serve."""
        for machine in self.core + self.entries:
            machine.start()
        self.put_manifest(routes)
        self.wait_for(self.all_ready, 20, "all entries are ready")

    def all_ready(self):
        return all(
            call(f"{m.ip}:{self.port + 1}", "GET", "/readiness", timeout=1)[0]
            == 200 for m in self.entries
        )

    def wait_for(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.1)
        raise CannotRun("timed out: " + what)

    @staticmethod
    def route(name="r-claims", prefix=PREFIX, priority=0, attempts=3):
        return {
            "name": name, "host": HOST, "path_prefix": prefix,
            "type": "non_idempotent", "timeout_ms": 1500,
            "target_latency_ms": 60, "priority": priority,
            "service": SERVICE, "attempts": attempts, "stretch_factor": 1.6,
        }

    def put_manifest(self, routes=None, seconds=20):
        self.version += 3
        body = {
            "version": self.version, "routes": routes or [self.route()],
            "services": [{
                "name": SERVICE, "health_path": "/health", "max_conns": 64,
                "protocol": "h1", "tls": False, "admission_check": True,
                "standby": False,
            }],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }

        def accepted():
            for node in random.sample(self.controls(), 3):
                status, _ = call(node, "PUT", "/config", body, timeout=1)
                self.record.line("manifest", version=self.version, node=node,
                                 status=status)
                if status == 200:
                    return True
            return False

        self.wait_for(accepted, seconds, "the manifest is acknowledged")

    def ask(self, entry, method, job, body=None, prefix=PREFIX, timeout=1.5):
        """A call of a client at an entry."""
        headers = {"Host": HOST, "Content-Type": "application/json",
                   "Geraniumbay-Timeout-Ms": str(int(timeout * 1000))}
        status, answer = call(self.front(entry), method, prefix + job, body,
                              headers, timeout)
        self.record.line("client", method=method, job=job, entry=entry,
                         status=status, answer=json.dumps(answer))
        return status, answer

    def ping_from_another_writer(self, worker, address=None):
        """A ping under the worker's id that lacks the field `capacity`; with
        `address`, if given, as the other writer's own."""
        body = dict(worker.report(), seq=OTHER_SEQUENCE)
        body["address"] = address or worker.address
        del body["capacity"]
        for node in random.sample(self.controls(), 3):
            status, answer = call(
                node, "PUT", f"/instances/{worker.name}", body,
                {"Content-Type": "application/json"}, PING_TIMEOUT_S,
            )
            self.record.line("other_writer", worker=worker.name, node=node,
                             status=status, answer=json.dumps(answer),
                             body=json.dumps(body))
            if status is not None and status < 500:
                break

    def note_start(self, worker, task, number):
        with self.lock:
            self.at_work[(task, worker.name)] = number
            self.starts.append((self.record.now(), task, number, worker.name))
            self.last_work = self.record.now()
        self.record.line("run_begins", task=task, run=number,
                         worker=worker.name)

    def note_end(self, worker, task, number, how):
        with self.lock:
            self.at_work.pop((task, worker.name), None)
            self.finished.append(
                (self.record.now(), task, number, worker.name, how))
            self.last_work = self.record.now()
        self.record.line("run_ends", task=task, run=number, how=how,
                         worker=worker.name)

    def note_seen(self, worker, task, number, how):
        if how != "done":
            return
        with self.lock:
            self.seen_done.setdefault(task, set()).add((number, worker.name))

    def leader(self):
        """The control machine whose log was the last to say that it leads."""
        latest = None
        for machine in self.core:
            for line in machine.log().splitlines():
                if "event=leads " in line and "time=" in line:
                    at = line.split("time=")[1].split()[0]
                    if latest is None or at > latest[0]:
                        latest = (at, machine)
        return latest[1] if latest else None

    def close(self):
        for machine in self.core + self.entries:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
            if machine.process:
                self.record.line("ended", machine=machine.name,
                                 code=machine.process.returncode)
        for worker in self.workers:
            if worker.alive:
                worker.crash()
        kept = os.environ.get("REVIEW_KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder)


def play(folder, case):
    """Runs `case(deployment, trouble)`; returns the code for the shell.

    `case` returns a list of breaches, in words.
    """
    def stop(*_):
        raise CannotRun("the case was stopped")

    signal.signal(signal.SIGTERM, stop)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.line("begin", trouble=int(trouble))
    deployment = None
    try:
        deployment = Deployment(record)
        breaches = case(deployment, trouble)
    except Exception as failure:  # A fault of the case is no breach.
        record.line("cannot_run", reason=repr(failure))
        print("could not run:", failure)
        return 2
    finally:
        if deployment:
            deployment.close()
    for breach in breaches:
        record.line("breach", what=breach)
        print("broken:", breach)
    record.line("result", breaches=len(breaches))
    if not breaches:
        print("held")
    return 1 if breaches else 0
