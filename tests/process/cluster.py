"""A small geraniumbay system of real processes on loopback.

Used by tools/demo and by the process tests. Takes the inventory, rules and
settings of examples/DEPLOYMENT, puts free ports in place of the ports written
there, and starts one process for each VM, and stand-in upstreams.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")
STOP_SECONDS = 15
READY_SECONDS = 30


class Answer:
    """A status and a JSON (or text) body; status 0 if nothing answered."""

    def __init__(self, status, headers, text):
        self.status = status
        self.headers = headers
        self.text = text

    @property
    def body(self):
        return json.loads(self.text)


def call(address, method, path, body=None, headers=None, timeout=30):
    """Sends one request to "host:port" and returns its Answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.headers, response.read().decode())
    except (OSError, http.client.HTTPException):
        return Answer(0, {}, "")
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    """Waits until the condition holds, or fails after so many seconds.

    What was waited for is a text, or a function that tells more at the end.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            told = what() if callable(what) else what
            raise AssertionError("timed out: " + told)
        time.sleep(0.05)


class FreePorts:
    """Hands out ports of loopback that nothing uses.

    They lie below the range from which the kernel takes the ports of outgoing
    connections: a process that listens late would else find its port in use by
    a connection of another one.
    """

    FIRST, LAST = 10000, 32000

    def __init__(self):
        self._taken = []
        self._next = random.randrange(self.FIRST, self.LAST)

    def take(self):
        while True:
            self._next = self.FIRST if self._next >= self.LAST else self._next + 1
            probe = socket.socket()
            try:
                probe.bind(("127.0.0.1", self._next))
            except OSError:
                probe.close()
                continue
            self._taken.append(probe)
            return self._next

    def release(self):
        """Lets go of all ports, so that the processes can listen on them."""
        for probe in self._taken:
            probe.close()
        self._taken = []


class Cluster:
    """All processes of one deployment."""

    def __init__(self, deployment="reclamos", workers=6, service="triage"):
        build = os.environ.get("BUILD_DIR", "build")
        build = os.environ.get("BUILD_DIR", "build")
        self.binary = os.path.join(ROOT, build, "src", "app", "geraniumbay")
        self.folder = tempfile.mkdtemp(prefix="geraniumbay-")
        self.service = service
        self.processes = {}
        self.settings = {}
        self.callers = {}
        self.admins = {}
        self.data_centres = {}
        self.workers = {}
        self._ports = FreePorts()
        self._mapped = {}
        self._write_files(os.path.join(ROOT, "examples", deployment))
        self._plan_workers(workers)
        self._ports.release()

    # Files and ports.

    def _map_address(self, match):
        port = match.group(1)
        if port not in self._mapped:
            self._mapped[port] = self._ports.take()
        return "127.0.0.1:%d" % self._mapped[port]

    def _write_files(self, example):
        for name in ("inventory.ini", "rules.ini"):
            self._copy(os.path.join(example, name), name)
        for name in sorted(os.listdir(os.path.join(example, "settings"))):
            vm = name[: -len(".ini")]
            text = self._copy(os.path.join(example, "settings", name), name)
            self.settings[vm] = os.path.join(self.folder, name)
            self.data_centres[vm] = self._key(text, "data_centre")
            self.callers[vm] = self._key(text, "caller_address")
            self.admins[vm] = self._key(text, "admin_address")

    def _copy(self, source, name):
        with open(source) as file:
            text = ADDRESS.sub(self._map_address, file.read())
        text = re.sub(r"examples/\w+/(inventory|rules)\.ini", r"\1.ini", text)
        with open(os.path.join(self.folder, name), "w") as file:
            file.write(text)
        return text

    @staticmethod
    def _key(text, key):
        found = re.search(r"^%s = (\S+)$" % key, text, re.MULTILINE)
        return found.group(1) if found else None

    def _plan_workers(self, count):
        centres = sorted(set(self.data_centres.values()))
        for number in range(count):
            centre = centres[number % len(centres)]
            name = "%s-w%d" % (centre, number // len(centres) + 1)
            address = "127.0.0.1:%d" % self._ports.take()
            self.workers[name] = (centre, address)

    # Processes.

    def entries(self):
        """Names of the VMs that take callers' requests."""
        return [vm for vm, address in self.callers.items() if address]

    def start(self, vm):
        """Starts the process of one VM."""
        self._spawn(vm, ["serve", "--settings", self.settings[vm]])

    def start_worker(self, name, *flags):
        """Starts one stand-in upstream."""
        centre, address = self.workers[name]
        entries = ",".join(self.callers[vm] for vm in self.entries())
        self._spawn(
            name,
            ["standin", "--worker", name, "--listen", address, "--data_centre", centre]
            + ["--rack", centre + "-r1", "--service", self.service]
            + ["--entries", entries]
            + list(flags),
        )

    def _spawn(self, name, arguments):
        with open(os.path.join(self.folder, name + ".log"), "a") as log:
            self.processes[name] = subprocess.Popen(
                [self.binary] + arguments, cwd=self.folder, stdout=log, stderr=log
            )

    def start_all(self, *worker_flags):
        """Starts everything and waits until every entry serves."""
        for vm in self.settings:
            self.start(vm)
        for name in self.workers:
            self.start_worker(name, *worker_flags)
        self.wait_ready()

    def wait_ready_only(self):
        """Waits until every entry takes requests, with or without workers."""
        for vm in self.entries():
            wait_until(lambda: self.is_ready(vm), READY_SECONDS, vm + " ready")

    def wait_ready(self):
        self.wait_ready_only()
        wait_until(self._serves, READY_SECONDS, "a first task is served")

    def is_ready(self, vm):
        return call(self.callers[vm], "GET", "/readyz").status == 200

    def _serves(self):
        """Whether every entry has workers to run a task on, and a ledger."""
        return all(
            self.new_key(vm) and self.task(vm, "probe").status == 200
            for vm in self.entries()
        )

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kills a process at once and waits until it is gone."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def stop(self, name):
        """Stops a process gracefully and returns its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes.pop(name).wait(STOP_SECONDS)

    def close(self, keep_files=False):
        """Ends whatever still runs."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}
        if not keep_files:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log")) as file:
            return file.read()

    # What callers do.

    def new_key(self, vm):
        """An id that the system issues, or nothing."""
        answer = call(self.callers[vm], "POST", "/v1/submissions")
        return answer.body["id"] if answer.status == 200 else None

    def job(self, vm, key, payloads, caller="insurers", **fields):
        """Submits a job at one entry."""
        body = {"caller": caller, "service": self.service, **fields}
        body["tasks"] = [{"payload": payload} for payload in payloads]
        headers = {"Idempotency-Key": key}
        return call(self.callers[vm], "POST", "/v1/jobs", body, headers)

    def task(self, vm, payload, caller="insurers", request="parcel-check"):
        """Submits one repeatable task at one entry."""
        body = {"caller": caller, "service": self.service}
        body.update({"request": request, "payload": payload})
        return call(self.callers[vm], "POST", "/v1/tasks", body)

    # What operators see.

    def status(self, vm):
        """What one process says of itself, or nothing."""
        request = {"jsonrpc": "2.0", "id": 1, "method": "admin.status", "params": {}}
        answer = call(self.admins[vm], "POST", "/rpc", request, timeout=2)
        return answer.body["result"] if answer.status == 200 else None

    def slots(self, centre):
        """Slots that the entries of a data centre own now."""
        total = 0
        for vm in self.entries():
            if self.data_centres[vm] == centre and vm in self.processes:
                state = self.status(vm)
                total += sum(pool["slots"] for pool in state["pools"]) if state else 0
        return total

    def starts(self):
        """How often each task was started, over all workers that run."""
        total = {}
        for name, (_, address) in self.workers.items():
            if name not in self.processes:
                continue
            answer = call(address, "GET", "/starts")
            if answer.status != 200:
                raise AssertionError(self._why_silent(name))
            for task, count in answer.body.items():
                total[task] = total.get(task, 0) + count
        return total

    def wait_workers(self):
        """Waits until every worker that was started takes requests."""
        for name, (_, address) in self.workers.items():
            if name not in self.processes:
                continue
            wait_until(
                lambda name=name, address=address: self._listens(name, address),
                READY_SECONDS,
                lambda name=name: self._why_silent(name),
            )

    def _listens(self, name, address):
        if self.processes[name].poll() is not None:
            raise AssertionError(self._why_silent(name))
        return call(address, "GET", "/starts").status == 200

    def _why_silent(self, name):
        code = self.processes[name].poll()
        state = "runs" if code is None else "ended with %d" % code
        return "%s answers nothing, %s:\n%s" % (name, state, self.log(name)[-2000:])
