"""A small deployment on loopback for the cases of the review.

The processes run as the deploy file starts them, each with an address of its
own. Workers and clients are stand-ins that follow the users' pages. A proxy
stands before the ports on which the processes talk to each other; it knows by
the socket's owner which process has connected, so that two machines can be cut
off from each other while all others reach both.
"""

import asyncio
import http.client
import json
import os
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# The program of the deploy file, and its argument.
COMMAND = [os.path.join(ROOT, "target/src/app/geraniumbay"), "platform"]
HOST = "claims.example"
SERVICE = "triage"
HEARTBEAT_S = 1.5
ZONES = ("barracas", "pompeya", "avellaneda")

# The bounds of the users' page for the small deployment in `sites/`.
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


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """One request: (status, parsed body), or (None, reason) if there is no
    whole answer. Each thread keeps its connections, as clients do."""
    kept = KEPT.__dict__.setdefault("connections", {})
    connection = kept.pop(address, None)
    if connection is not None and is_closed(connection):
        connection.close()
        connection = None
    if connection is None:
        host, port = address.split(":")
        connection = http.client.HTTPConnection(host, int(port))
    try:
        connection.timeout = timeout
        if connection.sock is None:
            connection.connect()
        connection.sock.settimeout(timeout)
        text = None if body is None else json.dumps(body)
        fields = dict(headers or {})
        if text is not None:
            fields["content-type"] = "application/json"
        connection.request(method, path, text, fields)
        response = connection.getresponse()
        content = response.read().decode()
        answer = response.status, json.loads(content) if content else None
        kept[address] = connection
        return answer
    except (OSError, http.client.HTTPException, ValueError) as failure:
        connection.close()
        return None, repr(failure)


KEPT = threading.local()


def is_closed(connection):
    """Whether the server has closed the idle connection."""
    if connection.sock is None:
        return True
    readable, _, _ = select.select([connection.sock], [], [], 0)
    return bool(readable)


class Record:
    """What was sent, answered and run, one JSON line each, in `record.txt`."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, what, **fields):
        line = {"t": round(time.monotonic() - self.began, 3), "what": what}
        line.update(fields)
        with self.lock:
            if not self.file.closed:
                self.file.write(json.dumps(line) + "\n")

    def close(self):
        with self.lock:
            self.file.close()


class Proxy:
    """Carries what processes send to the ports of their peers.

    A cut holds bytes and new connections back; what is still open when it ends
    goes on, as over a network that lost packets for a while.
    """

    def __init__(self, owner_of):
        self.owner_of = owner_of
        self.cuts = set()
        self.loop = asyncio.new_event_loop()
        self.changed = None
        threading.Thread(target=self._run, daemon=True).start()
        while self.changed is None:
            time.sleep(0.001)

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.changed = asyncio.Condition()
        self.loop.run_forever()

    def add(self, name, listen, target):
        async def serve():
            async def accept(reader, writer):
                try:
                    await self._carry(name, target, reader, writer)
                except (OSError, asyncio.CancelledError):
                    writer.transport.abort()

            host, port = listen.split(":")
            await asyncio.start_server(accept, host, int(port))

        asyncio.run_coroutine_threadsafe(serve(), self.loop).result()

    def set_cuts(self, pairs):
        async def apply():
            async with self.changed:
                self.cuts = {frozenset(pair) for pair in pairs}
                self.changed.notify_all()

        asyncio.run_coroutine_threadsafe(apply(), self.loop).result()

    def close(self):
        async def end():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(end(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)

    async def _passable(self, pair):
        if pair not in self.cuts:
            return
        async with self.changed:
            await self.changed.wait_for(lambda: pair not in self.cuts)

    async def _carry(self, name, target, reader, writer):
        source = self.owner_of(writer.get_extra_info("peername"),
                               writer.get_extra_info("sockname"))
        if source is None:
            # The process has ended or closed the connection.
            return writer.transport.abort()
        pair = frozenset((source, name))
        await self._passable(pair)
        host, port = target.split(":")
        back_reader, back_writer = await asyncio.open_connection(
            host, int(port)
        )
        await asyncio.gather(
            self._pump(pair, reader, back_writer),
            self._pump(pair, back_reader, writer),
        )

    async def _pump(self, pair, reader, writer):
        try:
            while data := await reader.read(1 << 18):
                await self._passable(pair)
                writer.write(data)
                await writer.drain()
            await self._passable(pair)
            writer.close()
        except OSError:
            await self._passable(pair)
            writer.transport.abort()


def socket_inode(peer, local):
    """The inode of the TCP socket that is bound to `peer` and connected to
    `local`, asked of the kernel by sock_diag(7); None if there is none."""
    addresses = struct.pack(
        "!HH4s12x4s12x", peer[1], local[1], socket.inet_aton(peer[0]),
        socket.inet_aton(local[0])
    )
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                       0xFFFFFFFF)
    body += addresses + struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    by_family, is_request, head = 20, 1, 16
    try:
        with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, 4) as link:
            link.send(struct.pack("=IHHII", head + len(body), by_family,
                                  is_request, 1, 0) + body)
            answer = link.recv(4096)
    except OSError:
        return listed_inode(peer)
    if struct.unpack_from("=H", answer, 4)[0] != by_family:
        return listed_inode(peer)
    return struct.unpack_from("=I", answer, head + 4 + 48 + 16)[0] or None


def listed_inode(peer):
    """The same from the kernel's table, where it cannot be asked."""
    packed = socket.inet_aton(peer[0])[::-1].hex().upper()
    wanted = f"{packed}:{peer[1]:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if fields[1] == wanted and fields[9] != "0":
                return int(fields[9])
    return None


class Machine:
    """One process of the system with its settings file and its disk."""

    def __init__(self, cluster, name, role, ip, zone):
        self.cluster = cluster
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.folder = os.path.join(cluster.folder, name)
        self.disk = os.path.join(self.folder, "disk")
        os.makedirs(self.disk)
        self.process = None
        self.first = True

    def settings(self):
        port = self.cluster.port
        core = self.role == "core"
        listen = {"control": f"{self.ip}:{port + 2}"} if core else {
            "front": f"{self.ip}:{port}", "readiness": f"{self.ip}:{port + 1}"
        }
        # The project's own key; the platform does not write it. Peers connect
        # to the machine's own address, where the proxy listens.
        if self.cluster.proxy:
            listen["peers"] = self.cluster.behind(f"{self.ip}:{port + 3}")
        return {
            "node_name": self.name,
            "role": "control" if core else "entry",
            "machine_class": self.role,
            "serves": ["control_plane" if core else "edge"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "amba",
            "zones": {zone: "amba" for zone in ZONES},
            "listen": listen,
            "port_range": [port + 3, port + 9],
            "seeds": self.cluster.controls()[:3],
            "bootstrap": self.first,
            "loss_counts": core,
            "limits": {
                "cpu_share": 0.5 if core else 0.25, "cores": 1,
                "memory_mb": 256 if core else 260, "max_fds": 4100,
                "link_mbps": 1000.0, "disk_mb": 128 if core else 0,
            },
            "data_dir": self.disk if core else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "sched", "advice", "upkeep", "sharing"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "commands": "invoke",
            "placement_advisor": "",
            "cloud_api": {},
        }

    def start(self):
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        self.first = False
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, stdout=log, stderr=log,
                env={"GERANIUMBAY_BOOT": path, "PATH": os.environ["PATH"]},
            )

    def signal(self, number):
        self.cluster.record("signal", machine=self.name,
                            signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def wipe(self):
        shutil.rmtree(self.disk)
        os.makedirs(self.disk)

    def log(self):
        path = os.path.join(self.folder, "log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def running(self):
        return self.process is not None and self.process.poll() is None


class Run:
    """A run of a task at a worker."""

    def __init__(self, task, number, began, due, cpu):
        self.task = task
        self.number = number
        self.began = began
        self.due = due
        self.cpu = cpu
        self.ended = None
        self.how = None
        # When `last_seen` reached the end, and whether the worker's lease
        # lapsed between the end and that.
        self.noted = None
        self.lapsed_since = False
        self.worker = None


class Worker:
    """A worker as `PROTOCOL.md` describes it ("Running tasks"). Its tasks'
    specs are JSON: how long they take (ms) and the cores they use."""

    CPU = 8000

    def __init__(self, cluster, name, ip, zone, rack):
        self.cluster = cluster
        self.name = name
        self.address = f"{ip}:{cluster.port}"
        self.zone = zone
        self.rack = rack
        self.lock = threading.Condition()
        self.token = 0
        self.lease = 0.0
        self.running = {}
        self.highest = {}
        self.unseen = []
        self.last_end = 0
        self.alive = True
        # While set, calls wait and are not executed: a cut of the network.
        self.cut_until = 0.0
        self.server = Server((ip, cluster.port), self._handler())
        for target in (self.server.serve_forever, self._beat, self._watch):
            threading.Thread(target=target, daemon=True).start()

    @staticmethod
    def clock():
        return int(time.monotonic() * 1000)

    def close(self):
        self.alive = False
        with self.lock:
            self.lock.notify_all()
        self.server.shutdown()
        self.server.server_close()

    def crash(self):
        """Ends the process and all that it runs."""
        with self.lock:
            self._settle()
            for run in self.running.values():
                run.ended, run.how = time.monotonic(), "crashed"
            self.running.clear()
            self.alive = False
        self.cluster.record("worker crashes", worker=self.name)
        self.close()
        self.server.break_connections()

    def is_cut(self):
        return time.monotonic() < self.cut_until

    def _watch(self):
        while self.alive:
            with self.lock:
                self._settle()
            time.sleep(0.005)

    def _beat(self):
        sequence = 0
        url = None
        time.sleep(random.random() * 0.3)
        while self.alive:
            sequence += 1
            body = {
                "service": SERVICE, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0,
                "capacity": {"cpu": self.CPU, "mem_mb": 65536, "gpus": 0},
                "labels": ["a", self.rack], "clock_ms": self.clock(),
                "seq": sequence,
            }
            others = random.sample(self.cluster.controls(),
                                   len(self.cluster.core))
            for address in ([url] if url else []) + others:
                if not self.alive or self.is_cut():
                    break
                status, answer = call(address, "PUT",
                                      f"/instances/{self.name}", body,
                                      timeout=1)
                if status is not None and 200 <= status < 300:
                    url = (answer or {}).get("heartbeat_url") or url
                    break
                if address == url:
                    url = None
            time.sleep(HEARTBEAT_S * (0.9 + 0.2 * random.random()))

    def _settle(self):
        """Ends what is done or has lost its lease; the lock is held."""
        now = time.monotonic()
        for run in sorted(self.running.values(), key=lambda run: run.due):
            if self.lease <= now and self.lease < run.due:
                self._end(run, "lapsed", self.lease)
            elif run.due <= now:
                self._end(run, "done", run.due)
        if self.lease <= now:
            for _, run in self.unseen:
                run.lapsed_since = True

    def _end(self, run, how, at):
        del self.running[run.task]
        run.ended, run.how = at, how
        self.last_end += 1
        self.unseen.append((self.last_end, run))
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.cluster.record("end", worker=self.name, task=run.task,
                            run=run.number, how=how)
        self.lock.notify_all()

    def _extend(self, deadline_ms):
        now = time.monotonic()
        limit = now + BOUNDS["max_hold_ms"] / 1000
        self.lease = max(self.lease, min(deadline_ms / 1000, limit))

    def start(self, order):
        if order["fencing_token"] < self.token:
            return 409, "fence"
        self.token = order["fencing_token"]
        task, number = order["task"], order["run_id"]
        here = self.running.get(task)
        if here and here.number == number:
            self._extend(order["deadline_ms"])
            return 200, None
        if order["deadline_ms"] <= self.clock():
            return 409, "late"
        if number <= self.highest.get(task, 0) or here:
            self._extend(order["deadline_ms"])
            return 409, "old"
        spec = json.loads(order["spec"])
        used = sum(run.cpu for run in self.running.values())
        if used + spec["cpu"] > self.CPU:
            self._extend(order["deadline_ms"])
            return 409, "room"
        self._extend(order["deadline_ms"])
        now = time.monotonic()
        run = Run(task, number, now, now + spec["ms"] / 1000, spec["cpu"])
        run.worker = self.name
        self.running[task] = run
        with self.cluster.lock:
            self.cluster.runs.setdefault(task, []).append(run)
        self.cluster.record("start", worker=self.name, task=task, run=number,
                            token=order["fencing_token"])
        return 200, None

    def stop(self, order):
        if order["fencing_token"] < self.token:
            return 409, "fence"
        self.token = order["fencing_token"]
        task, number = order["task"], order["run_id"]
        here = self.running.get(task)
        if here and here.number <= number:
            self._end(here, "stopped", time.monotonic())
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, None

    def hold(self, order):
        if order["fencing_token"] < self.token:
            return 409, "fence"
        self.token = order["fencing_token"]
        now = time.monotonic()
        for number, run in self.unseen:
            if number <= order["last_seen"]:
                run.noted = now
                self.cluster.record("noted", worker=self.name, task=run.task,
                                    run=run.number, how=run.how,
                                    lapsed=run.lapsed_since)
        self.unseen = [each for each in self.unseen
                       if each[0] > order["last_seen"]]
        if "deadline_ms" in order:
            self._extend(order["deadline_ms"])
        until = now + order.get("wait_ms", 0) / 1000
        while self.alive and not self.unseen and time.monotonic() < until:
            self.lock.wait(max(0.001, until - time.monotonic()))
            self._settle()
        return 200, None

    def _handler(self):
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def log_message(self, *_):
                pass

            def do_POST(self):
                length = int(self.headers["content-length"])
                order = json.loads(self.rfile.read(length))
                # A network that loses packets delivers them once it carries
                # again, if the connection is still open then.
                while worker.is_cut() and worker.alive:
                    time.sleep(0.02)
                target = self.headers["geraniumbay-target-instance"]
                if target is not None and target != worker.name:
                    return self.answer(421, {})
                act = {"/run-start": worker.start, "/run-stop": worker.stop,
                       "/hold": worker.hold}[self.path]
                with worker.lock:
                    worker._settle()
                    if not worker.alive:
                        self.close_connection = True
                        return None
                    status, reason = act(order)
                    body = {"clock_ms": worker.clock()}
                    if reason:
                        body["reason"] = reason
                    if self.path == "/hold" and status == 200:
                        body["running"] = [
                            [run.task, run.number, "", 50, 0]
                            for run in worker.running.values()
                        ]
                        body["finished"] = [
                            [number, run.task, run.number, run.how, ""]
                            for number, run in worker.unseen[:500]
                        ]
                while worker.is_cut() and worker.alive:
                    time.sleep(0.02)
                return self.answer(status, body)

            def answer(self, status, body):
                content = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("content-type", "application/json")
                    self.send_header("content-length", str(len(content)))
                    self.end_headers()
                    self.wfile.write(content)
                    self.wfile.flush()
                except OSError:
                    self.close_connection = True

        return Handler


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

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
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        pass


class Cluster:
    """Three machines with a disk, entries, workers, and their clients."""

    def __init__(self, record, entries=3, workers=8, proxied=False):
        self.record = record
        if not os.path.exists(COMMAND[0]):
            raise CannotRun("the program of the deploy file is not built")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.lock = threading.Lock()
        self.runs = {}
        self.port = free_ports()
        self.net = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
        self.proxy = Proxy(self._owner_of) if proxied else None
        self.core = [
            Machine(self, f"core-{zone}", "core", f"{self.net}.{1 + i}", zone)
            for i, zone in enumerate(ZONES)
        ]
        self.entries = [
            Machine(self, f"edge-{i}", "edge", f"{self.net}.{10 + i}",
                    ZONES[i % 3])
            for i in range(entries)
        ]
        self.machines = self.core + self.entries
        if self.proxy:
            for machine in self.machines:
                peers = f"{machine.ip}:{self.port + 3}"
                self.proxy.add(machine.name, peers, self.behind(peers))
        self.workers = [
            Worker(self, f"i-{i:04x}", f"{self.net}.{100 + i}", ZONES[i % 3],
                   f"r{i % 3}")
            for i in range(workers)
        ]
        for machine in self.machines:
            machine.start()

    @staticmethod
    def behind(address):
        first, second, rest = address.split(".", 2)
        return f"{first}.{int(second) + 120}.{rest}"

    def _owner_of(self, peer, local):
        inode = socket_inode(peer, local)
        if inode is None:
            return None
        wanted = f"socket:[{inode}]"
        for machine in self.machines:
            if not machine.running():
                continue
            folder = f"/proc/{machine.process.pid}/fd"
            try:
                for name in os.listdir(folder):
                    try:
                        if os.readlink(f"{folder}/{name}") == wanted:
                            return machine.name
                    except OSError:
                        continue
            except OSError:
                continue
        return None

    def controls(self):
        return [f"{machine.ip}:{self.port + 2}" for machine in self.core]

    def begin(self):
        """Sends the first manifest and waits until all entries are ready."""
        body = {
            "version": 3,
            "routes": [{
                "name": "r1", "host": HOST, "path_prefix": "/claims/",
                "type": "non_idempotent", "timeout_ms": 1500,
                "target_latency_ms": 60, "priority": 0, "service": SERVICE,
                "attempts": 3, "stretch_factor": 1.6,
            }],
            "services": [{
                "name": SERVICE, "health_path": "/health", "max_conns": 64,
                "protocol": "h1", "tls": False, "admission_check": True,
                "standby": False,
            }],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }
        self.wait(lambda: any(
            call(address, "PUT", "/config", body, timeout=2)[0] == 200
            for address in self.controls()), 20, "the manifest is accepted")
        self.wait(lambda: all(self.ready(entry) for entry in self.entries),
                  20, "the entries are ready")

    def ready(self, entry):
        address = f"{entry.ip}:{self.port + 1}"
        return call(address, "GET", "/readiness", timeout=1)[0] == 200

    @staticmethod
    def wait(condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun("timed out: " + what)

    def leader(self):
        """The machine with a disk that told last that it leads."""
        told = []
        for machine in self.core:
            for line in machine.log().splitlines():
                if "event=leads " in line:
                    told.append((line.split("time=")[1][:26], machine.name))
        name = max(told)[1]
        return next(each for each in self.core if each.name == name)

    def client(self, method, job, body=None, wait_s=3.0, entry=None):
        """A client's request at an entry in rotation."""
        if entry is None:
            entry = random.choice(self.entries)
        self.record("request", method=method, job=job, entry=entry.name)
        answer = call(f"{entry.ip}:{self.port}", method, f"/claims/{job}",
                      body, {"host": HOST, "geraniumbay-timeout-ms":
                             str(int(wait_s * 1000))}, wait_s)
        self.record("answer", method=method, job=job, status=answer[0],
                    body=answer[1])
        return answer

    def submit(self, job, body, wait_s=3.0, tries=6):
        """Submits a job, again after no clear answer, as clients do. Returns
        the last status: 2xx, 429, 503, 404, or None if none was clear."""
        status = None
        for _ in range(tries):
            status, _ = self.client("POST", job, body, wait_s)
            if status is not None and status not in (502, 504):
                return status
            time.sleep(BOUNDS["retransmit_ms"] / 1000)
        return None

    def close(self, keep_logs=None):
        for machine in self.machines:
            if machine.running():
                machine.process.kill()
                machine.process.wait()
        for worker in self.workers:
            if worker.alive:
                worker.close()
        if self.proxy:
            self.proxy.close()
        if keep_logs:
            os.makedirs(keep_logs, exist_ok=True)
            for machine in self.machines:
                shutil.copy(os.path.join(machine.folder, "log"),
                            os.path.join(keep_logs, machine.name + ".log"))
        shutil.rmtree(self.folder)


def free_ports():
    for _ in range(100):
        port = random.randrange(12000, 30000, 10)
        try:
            for offset in range(10):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port + offset))
            return port
        except OSError:
            continue
    raise CannotRun("no free ports")


def job_body(tasks, ms, cpu=1000, stored=True, pad=0):
    """A job of one step. Its spec says to the worker how long a task takes."""
    spec = json.dumps({"ms": ms, "cpu": cpu, "pad": "x" * pad})
    body = {"spec": spec, "phases": [{"count": tasks, "cpu": cpu, "mem_mb": 64,
                                      "estimate_ms": ms}]}
    if not stored:
        body["best_effort"] = True
    return body


def run_case(folder, case):
    """Runs a case and returns the exit code: 1 broken, 0 held, 2 not run.
    `case(record, trouble)` returns the list of breaks."""
    def give_up(*_):
        raise CannotRun("it took too long")

    signal.signal(signal.SIGTERM, give_up)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record("begin", trouble=trouble)
    try:
        broken = case(record, trouble)
    except CannotRun as failure:
        record("cannot run", reason=str(failure))
        print("cannot run:", failure)
        return 2
    for line in broken:
        record("BROKEN", rule=line)
        print("broken:", line)
    print("rule broken" if broken else "rule held")
    record.close()
    return 1 if broken else 0
