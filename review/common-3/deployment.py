"""A small deployment of real processes on loopback, for the cases of review 3.

The processes and most stand-ins are those of the project's process tests
(tests/process/platform_standin.py). This module adds the settings of the users'
site `rup-claims` as far as they concern a small deployment, a record of what was
sent, answered and run, and clients that send a request again as the users'
pages say.
"""

import os
import signal
import sys
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../.."))
os.environ["BUILD_DIR"] = os.path.join(ROOT, "target")
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests/process"))

import links  # noqa: E402
import platform_standin as standin  # noqa: E402

HOST = standin.HOST
# What the sheet of `rup-claims` states, in the platform's names.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000,
    "recovery_s": 12, "max_hold_ms": 1000, "stop_ms": 50,
    "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "lease_ms": 3000,
}
CONTACT_S = BOUNDS["contact_ms"] / 1000
CATCH_UP_S = BOUNDS["catch_up_s"]
RECOVERY_S = BOUNDS["recovery_s"]
FINISH_S = BOUNDS["finish_s"]
# Loss of a queue's answer that the client treats as "send again".
UNCLEAR = (None, 502, 504)


class Machine(standin.Machine):
    """A machine with the settings file that DEPLOY.md shows."""

    def settings(self):
        edge = self.role == "edge"
        result = super().settings()
        result.update(
            {
                "machine_class": self.role,
                "region": "amba",
                "loss_counts": not edge,
                "limits": {
                    "cpu_share": 0.25 if edge else 0.5,
                    "cores": 1,
                    "memory_mb": 260 if edge else 256,
                    "max_fds": 4100,
                    "link_mbps": 1000.0,
                    "disk_mb": 0 if edge else 128,
                },
                "discovery": "registry",
                "entry": "vip",
                "heartbeat_ms": 1500,
                "contracts": ["base", "drain", "config", "recover", "sched"],
                "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
                "config_mode": "highest",
                "commands": "invoke",
            }
        )
        return result


class LinkedMachine(Machine):
    """A control VM is reached by its peers through a proxy, see links.py."""

    def settings(self):
        result = super().settings()
        if self.role == "core":
            result["listen"]["peers"] = self.fleet.behind(self.peers())
        return result

    def peers(self):
        return f"{self.ip}:{self.fleet.port + 3}"


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.begin

    def note(self, text, show=True):
        line = f"{self.now():8.3f} {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()
            if show:
                print(line, flush=True)


class IdleWatch:
    """Notes the spans in which no worker runs anything."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.spans = []
        self.ends = False
        self.thread = threading.Thread(target=self._watch, daemon=True)
        self.thread.start()

    def _watch(self):
        since = None
        while not self.ends:
            now = self.fleet.record.now()
            if self.fleet.running() != 0:
                since = None
            elif since is None:
                since = now
                self.spans.append([now, now])
            else:
                self.spans[-1][1] = now
            time.sleep(0.02)

    def longest(self, begin, end):
        """The longest such span within the time from begin to end."""
        return max(
            [0.0] + [min(b, end) - max(a, begin) for a, b in self.spans]
        )

    def stop(self):
        self.ends = True
        self.thread.join()


class Deployment(standin.Fleet):
    """The processes and workers; notes each start and end of a task."""

    machine_type = Machine

    def __init__(self, record, entries=3, workers=6):
        self.record = record
        self.last_start = 0.0
        super().__init__(entries=entries, workers=workers)

    def note_start(self, worker, task):
        super().note_start(worker, task)
        self.last_start = self.record.now()
        self.record.note(f"run starts {task} at {worker}", show=False)

    def note_end(self, worker, task):
        super().note_end(worker, task)
        self.record.note(f"run ends {task} at {worker}", show=False)

    def running(self):
        """The tasks that run now, over all workers."""
        with self.lock:
            return sum(len(holders) for holders in self.places.values())

    def manifest(self, version, **changes):
        """The manifest of the process tests, with a queue for each priority
        from 0 to 5; /claims/ has priority 0."""
        body = super().manifest(version, **changes)
        for priority in range(1, 6):
            body["routes"].append(
                dict(body["routes"][0], name=f"p{priority}",
                     path_prefix=f"/p{priority}/", priority=priority)
            )
        return body

    def submit_body(self, job_id, body, timeout_ms=1500, tries=20,
                    prefix="/claims/"):
        """Hands a job in as a client does: again, at another entry, after no
        answer, a 502 or a 504. Returns the last status."""
        status = None
        for attempt in range(tries):
            entry = (hash(job_id) + attempt) % len(self.entries)
            status, _ = standin.request(
                self.front(entry), "POST", f"{prefix}{job_id}", body,
                {"host": HOST, "content-type": "application/json",
                 "geraniumbay-timeout-ms": str(timeout_ms)},
                timeout=timeout_ms / 1000,
            )
            self.record.note(f"POST {job_id} -> {status}", show=False)
            if status not in UNCLEAR:
                break
            time.sleep(1.3)
        return status

    def state(self, job_id, entry, timeout=1.5, prefix="/claims/"):
        """One GET; returns the status and the state."""
        status, body = standin.request(
            self.front(entry), "GET", f"{prefix}{job_id}", None,
            {"host": HOST, "geraniumbay-timeout-ms": str(int(timeout * 1000))},
            timeout=timeout,
        )
        state = body.get("state") if isinstance(body, dict) else None
        self.record.note(
            f"GET {job_id} at entry {entry} -> {status} {state}", show=False
        )
        return status, state

    def leader(self):
        """The control VM that led last, by the logs; None before the first."""
        found, highest = None, -1
        for machine in self.core:
            for line in machine.log().splitlines():
                if "event=leads " not in line:
                    continue
                term = int(line.split("term=")[1].split()[0])
                if term > highest:
                    found, highest = machine, term
        return found


class LinkedDeployment(Deployment):
    """A deployment whose control VMs can be cut off from each other."""

    machine_type = LinkedMachine

    def prepare(self):
        self.links = links.Links()
        self.links.processes = lambda: {
            m.process.pid: m.name for m in self.core if m.process
        }
        for machine in self.core:
            self.links.add(
                machine.name, machine.peers(), self.behind(machine.peers())
            )

    @staticmethod
    def behind(address):
        """Where a process listens that is called at this address."""
        return "127.1." + address.split(".", 2)[2]


def in_threads(count, work, items):
    """Calls work(item) for all items on count threads; returns the results in
    the order of the items."""
    items = list(items)
    results = [None] * len(items)
    place = iter(range(len(items)))
    lock = threading.Lock()

    def serve():
        while True:
            with lock:
                index = next(place, None)
            if index is None:
                return
            results[index] = work(items[index])

    threads = [threading.Thread(target=serve) for _ in range(count)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    return results


def run_case(folder, play, limit_s=115):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if
    the case could not run. All started processes are ended."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"begins, trouble={int(trouble)}")
    fleet = None
    code = 2

    def late(*_):
        raise TimeoutError(f"the case took longer than {limit_s} s")

    def told(*_):
        raise InterruptedError("the case was told to end")

    signal.signal(signal.SIGALRM, late)
    signal.signal(signal.SIGTERM, told)
    signal.signal(signal.SIGINT, told)
    signal.alarm(limit_s)
    try:
        if not os.access(standin.BINARY, os.X_OK):
            raise RuntimeError("the build of the deploy file is missing")
        fleet, broken = None, []
        holder = {}
        try:
            broken = play(record, trouble, holder)
        finally:
            fleet = holder.get("fleet")
        code = 1 if broken else 0
        for line in broken:
            record.note("BROKEN " + line)
        if not broken:
            record.note("the rule held")
    except Exception as failure:  # noqa: BLE001
        record.note(f"could not run: {failure!r}")
        code = 2
    finally:
        signal.alarm(0)
        if fleet:
            try:
                logs = os.environ.get("KEEP_LOGS")
                if logs:
                    with open(logs, "w") as file:
                        file.write(fleet.logs())
            finally:
                fleet.close()
        record.note(f"ends with {code}")
    sys.stdout.flush()
    os._exit(code)
