"""A randomized soak of the real processes on one machine.

Control VMs and entries run as processes; a proxy carries what workers, callers
and the processes themselves send to each of them. Faults come from outside, in
series that overlap: links that are delayed, silenced, cut one way or reset;
processes that are stopped, paused, killed and restarted; workers that crash
and come back under their ids; disks that are emptied; configurations that follow each other; data centres that are
evacuated. While it runs, and at the end,
the promises are checked from what callers and workers see.

    python3 soak.py --seed 7 --seconds 20
    python3 soak.py --seeds 1-50 --seconds 30
    python3 soak.py --seeds 1-10 --seconds 60 --freezes
"""

import argparse
import http.client
import json
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "process"))
os.chdir(os.path.join(HERE, "..", "process"))

# pylint: disable=wrong-import-position
import platform_standin as standin  # noqa: E402
import proxy as harm  # noqa: E402

# Callers come back this long after a connection that broke (the platform's).
COME_BACK_SECONDS = 1.3
# A drained worker gets nothing this long after its drain was acknowledged.
DRAIN_SECONDS = 2.0
# A configuration is in force this long after it was acknowledged.
APPLY_SECONDS = 2.0
# Nothing starts in a data centre this long after its evacuation was
# acknowledged.
EVACUATE_SECONDS = 5.0
DATA_CENTRES = ("barracas", "pompeya")
# Service must be back this long after the last fault has ended.
RECOVERY_SECONDS = 20


class SoakMachine(standin.Machine):
    """A process whose peers and callers reach it through the proxy."""

    def settings(self):
        result = super().settings()
        for name, address in result["listen"].items():
            result["listen"][name] = self.fleet.behind(address)
        peers = f"{self.ip}:{self.fleet.port + 3}"
        result["listen"]["peers"] = self.fleet.behind(peers)
        return result


class SoakFleet(standin.Fleet):
    """A fleet behind a proxy: 127.0.N.x is carried to 127.1.N.x."""

    machine_type = SoakMachine

    def __init__(self, entries, workers):
        self.proxy = harm.Proxy()
        self.moved = 0
        super().__init__(entries, workers)

    @staticmethod
    def behind(address):
        return address.replace("127.0.", "127.1.", 1)

    def prepare(self):
        """Opens the links; called before any process starts."""
        for machine in self.core:
            for offset in (2, 3):
                self._link(machine.ip, offset)
        for machine in self.entries:
            for offset in (0, 1, 3):
                self._link(machine.ip, offset)
        for worker in self.workers:
            ip, port = worker.address.split(":")
            self.proxy.add(
                f"worker {ip}", worker.address, self.behind(f"{ip}:{port}")
            )

    def _link(self, ip, offset):
        kind = {0: "front", 1: "readiness", 2: "control", 3: "peers"}[offset]
        address = f"{ip}:{self.port + offset}"
        self.proxy.add(f"{kind} {ip}", address, self.behind(address))

    def worker_listens_at(self, address):
        return self.behind(address)

    def unused_ip(self):
        """An address at which no worker has been, with its link."""
        self.moved += 1
        base = self.core[0].ip.rsplit(".", 1)[0]
        address = f"{base}.{150 + self.moved}:{self.port}"
        ip, _ = address.split(":")
        self.proxy.add(f"worker {ip}", address, self.behind(address))
        return ip

    def close(self):
        super().close()
        self.proxy.close()


class Ledger:
    """What callers were told, and what must follow from it."""

    def __init__(self):
        self.lock = threading.Lock()
        self.refused = set()
        self.accepted = set()
        self.answered = 0
        self.broken = []

    def breaks(self, rule, what):
        with self.lock:
            self.broken.append(f"{rule}: {what}")


class Caller(threading.Thread):
    """Submits jobs one after the other over connections that stay open."""

    def __init__(self, fleet, ledger, number, seed, until):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.ledger = ledger
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.until = until
        self.connections = {}

    def run(self):
        count = 0
        while time.monotonic() < self.until:
            count += 1
            job = f"{self.number:04x}{count:012x}"
            if self.random.random() < 0.15:
                self.store(job)
            else:
                self.serve(job)
            time.sleep(self.random.random() * 0.2)

    def call(self, method, path, body):
        """One request at some entry; None without a whole answer."""
        entry = self.random.randrange(len(self.fleet.entries))
        address = self.fleet.front(entry)
        host, port = address.split(":")
        connection = self.connections.get(address)
        try:
            if connection is None:
                connection = http.client.HTTPConnection(
                    host, int(port), timeout=4
                )
                self.connections[address] = connection
            headers = {"host": standin.HOST, "geraniumbay-timeout-ms": "3500"}
            content = None if body is None else json.dumps(body)
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else None
        except (OSError, http.client.HTTPException, ValueError):
            connection.close()
            self.connections.pop(address, None)
            return None

    def body(self, stored):
        result = {
            "spec": str(round(0.05 + self.random.random() * 0.5, 3)),
            "phases": [
                {"count": self.random.randint(1, 3), "cpu": 1000, "mem_mb": 64}
            ],
        }
        if not stored:
            result["best_effort"] = True
        return result

    def serve(self, job):
        """A job whose answer is its end; sent again if there is none."""
        body = self.body(False)
        clear = True
        for _ in range(4):
            answer = self.call("POST", f"/claims/{job}", body)
            status = answer[0] if answer else None
            if status == 200:
                with self.ledger.lock:
                    self.ledger.answered += 1
                if answer[1].get("state") not in ("completed", "failed"):
                    self.ledger.breaks("answer", f"{job}: {answer}")
                return
            if status in (429, 503):
                if clear:
                    with self.ledger.lock:
                        self.ledger.refused.add(job)
                return
            clear = False
            time.sleep(COME_BACK_SECONDS)

    def store(self, job):
        """A job that is accepted durably."""
        body = self.body(True)
        for _ in range(6):
            answer = self.call("POST", f"/claims/{job}", body)
            status = answer[0] if answer else None
            if status == 200:
                with self.ledger.lock:
                    self.ledger.accepted.add(job)
                return
            if status in (429, 503):
                return
            time.sleep(COME_BACK_SECONDS)


class ConfigWatch(threading.Thread):
    """Changes the configuration and reads it at any control VM."""

    def __init__(self, fleet, ledger, seed, until):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.ledger = ledger
        self.random = random.Random(seed * 1000 + 999)
        self.until = until
        self.version = 3
        self.acknowledged = [(time.monotonic(), 3)]

    def run(self):
        while time.monotonic() < self.until:
            if self.random.random() < 0.3:
                self.change()
            self.read()
            time.sleep(self.random.random() * 0.5)

    def change(self):
        self.version += self.random.randint(1, 3)
        address = self.random.choice(self.fleet.controls())
        status, _ = standin.request(
            address, "PUT", "/config", self.fleet.manifest(self.version),
            timeout=1,
        )
        if status == 200:
            self.acknowledged.append((time.monotonic(), self.version))

    def read(self):
        began = time.monotonic()
        due = [v for at, v in self.acknowledged if began - at > APPLY_SECONDS]
        address = self.random.choice(self.fleet.controls())
        status, body = standin.request(address, "GET", "/config", timeout=1)
        if status == 200 and due and body["version"] < max(due):
            self.ledger.breaks(
                "config", f"{address} says {body['version']}, not {max(due)}"
            )


class Evacuations(threading.Thread):
    """Evacuates a data centre and takes it back, again and again; each order is
    given until it is acknowledged or the next one is due."""

    def __init__(self, fleet, ledger, seed, until):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.ledger = ledger
        self.random = random.Random(seed * 1000 + 998)
        self.until = until

    def run(self):
        while time.monotonic() < self.until:
            where = self.random.choice(DATA_CENTRES)
            self.order(where, "POST", 1.0)
            time.sleep(self.random.random() * 1.5)
            # It may not have been acknowledged; the end is ordered all the same.
            self.order(where, "DELETE", 3.0)
            time.sleep(self.random.random() * 3)

    def order(self, where, method, seconds):
        due = time.monotonic() + seconds
        while time.monotonic() < due:
            address = self.random.choice(self.fleet.controls())
            status, _ = standin.request(
                address, method, f"/evacuations/{where}", timeout=1
            )
            if status == 200:
                return
            if status is not None and status < 500:
                self.ledger.breaks("evacuation", f"{method} {where}: {status}")
            time.sleep(0.1)


class Faults:
    """Draws faults and ends each after a while; they overlap."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.story = []
        self.ends = []
        self.core_until = 0.0
        self.busy = set()
        self.ended = set()

    def note(self, what):
        self.story.append(f"{time.monotonic():.3f} {what}")

    def check_alive(self, ledger):
        """No process ends that nothing has stopped."""
        for machine in self.fleet.core + self.fleet.entries:
            code = machine.process.poll()
            if code in (None, 0, -signal.SIGKILL, -signal.SIGTERM):
                continue
            if machine.name in self.ended:
                continue
            self.ended.add(machine.name)
            self.note(f"{machine.name} has ended with {code}")
            ledger.breaks("ended", f"{machine.name}: exit code {code}")

    def later(self, seconds, act):
        self.ends.append((time.monotonic() + seconds, act))

    def tick(self, everything=False):
        due = [e for e in self.ends if everything or e[0] <= time.monotonic()]
        self.ends = [e for e in self.ends if e not in due]
        for _, act in due:
            act()

    def draw(self):
        kinds = (
            self.harm_link, self.harm_link, self.kill_entry, self.pause_entry,
            self.stop_entry, self.trouble_core, self.kill_all_core,
            self.restart_worker,
        )
        self.random.choice(kinds)()

    def harm_link(self):
        links = [
            name
            for name in self.fleet.proxy.links
            if "control" not in name and not self.of_core(name)
        ]
        name = self.random.choice(links)
        mode = self.random.choice(harm.MODES)
        self.note(f"link {name} {mode}")
        self.fleet.proxy.harm(name, mode, self.random.random() * 0.3)
        self.later(
            self.random.random() * 3,
            lambda: self.fleet.proxy.harm(name, harm.PASS),
        )

    def of_core(self, name):
        return any(name.endswith(m.ip) for m in self.fleet.core)

    def free(self, machines):
        found = [m for m in machines if m.name not in self.busy]
        if not found:
            return None
        machine = self.random.choice(found)
        self.busy.add(machine.name)
        return machine

    def restart(self, machine):
        def act():
            machine.start()
            self.busy.discard(machine.name)

        return act

    def kill_entry(self):
        machine = self.free(self.fleet.entries)
        if machine:
            self.note(f"kill {machine.name}")
            machine.kill()
            self.later(self.random.choice((0.05, 0.5, 2.0)),
                       self.restart(machine))

    def pause_entry(self):
        machine = self.free(self.fleet.entries)
        if machine:
            self.pause(machine)

    def pause(self, machine):
        self.note(f"pause {machine.name}")
        machine.process.send_signal(signal.SIGSTOP)

        def go_on():
            machine.process.send_signal(signal.SIGCONT)
            self.busy.discard(machine.name)

        self.later(0.1 + self.random.random() * 3, go_on)

    def restart_worker(self):
        """Kills a worker and starts it again under its id, at the same address
        or at another one."""
        index = self.random.randrange(len(self.fleet.workers))
        worker = self.fleet.workers[index]
        if worker.name in self.busy:
            return
        self.busy.add(worker.name)
        moves = self.random.random() < 0.3
        down = self.random.choice((0.0, 0.3, 2.0))
        self.note(f"restart worker {worker.name} moves {moves} after {down}")
        worker.kill()

        def again():
            self.fleet.restart_worker(
                index, self.fleet.unused_ip() if moves else None
            )
            self.busy.discard(worker.name)

        self.later(down, again)

    def stop_entry(self):
        machine = self.free(self.fleet.entries)
        if not machine:
            return
        self.note(f"stop {machine.name}")
        machine.terminate()

        def again():
            machine.kill()
            self.restart(machine)()

        self.later(6, again)

    def trouble_core(self):
        """At most one control VM at a time, so that a majority is left."""
        if time.monotonic() < self.core_until:
            return
        machine = self.free(self.fleet.core)
        if not machine:
            return
        # Another may follow only when this one has caught up.
        self.core_until = time.monotonic() + 10
        kind = self.random.choice(("kill", "pause", "wipe", "link"))
        if kind == "pause":
            return self.pause(machine)
        if kind == "link":
            mode = self.random.choice(harm.MODES)
            self.note(f"link peers {machine.ip} {mode}")
            name = f"peers {machine.ip}"
            self.fleet.proxy.harm(name, mode, 0.2)
            self.busy.discard(machine.name)
            return self.later(
                3, lambda: self.fleet.proxy.harm(name, harm.PASS)
            )
        self.note(f"{kind} {machine.name}")
        machine.kill()
        if kind == "wipe":
            machine.wipe()
        return self.later(self.random.random() * 2, self.restart(machine))

    def kill_all_core(self):
        if time.monotonic() < self.core_until:
            return
        if any(m.name in self.busy for m in self.fleet.core):
            return
        self.core_until = time.monotonic() + 10
        self.note("kill all control VMs")
        for machine in self.fleet.core:
            machine.kill()
        for machine in self.fleet.core:
            self.later(self.random.random(), machine.start)


class Freezes(Faults):
    """Entries that are frozen and woken in series, for a moment or for long.

    A process that is woken finds all its timers due at once, and its wait for
    sockets interrupted.
    """

    def draw(self):
        machine = self.random.choice(self.fleet.entries)
        if self.random.random() < 0.3:
            self.note(f"restart {machine.name}")
            machine.kill()
            machine.start()
            time.sleep(self.random.random() * 2.5)
        for _ in range(self.random.randint(1, 3)):
            most_frozen = self.random.choice((0.5, 3.5))
            most_awake = self.random.choice((0.003, 0.03, 0.3))
            frozen = 0.05 + self.random.random() * most_frozen
            awake = self.random.random() * most_awake
            self.note(f"freeze {machine.name} {frozen:.3f} awake {awake:.3f}")
            machine.process.send_signal(signal.SIGSTOP)
            time.sleep(frozen)
            machine.process.send_signal(signal.SIGCONT)
            time.sleep(awake)


def started_jobs(fleet):
    with fleet.lock:
        return {task.split(".")[0] for task in fleet.places}


def check_evacuation(fleet, ledger):
    """After all that has happened an order is obeyed, and so is its end."""
    where = DATA_CENTRES[0]
    there = [w for w in fleet.workers if w.data_centre == where]
    try:
        if fleet.evacuate(where) != 200:
            ledger.breaks("evacuation", "the last order was refused")
        time.sleep(EVACUATE_SECONDS)
        before = [dict(worker.highest) for worker in there]
        for number in range(10):
            fleet.job(number % len(fleet.entries), f"eeee{number:012x}", wait=4)
        if before != [dict(worker.highest) for worker in there]:
            ledger.breaks("evacuation", f"a task was started in {where}")
        if fleet.evacuate(where, end=True) != 200:
            ledger.breaks("evacuation", "its end was refused")
    except AssertionError as failure:
        ledger.breaks("evacuation", str(failure))


def check_end(fleet, ledger):
    """Service is back, and what was accepted is known and ends."""
    for where in DATA_CENTRES:
        try:
            fleet.evacuate(where, end=True)
        except AssertionError as failure:
            ledger.breaks("evacuation", str(failure))

    def all_serve():
        count = next(serial)
        return all(
            fleet.job(i, f"ffff{count:04x}{i:08x}", wait=4)[0] == 200
            for i in range(len(fleet.entries))
        )

    serial = iter(range(1 << 16))
    try:
        standin.wait_until(all_serve, RECOVERY_SECONDS, "all entries serve")
    except AssertionError as failure:
        ledger.breaks("recovery", str(failure))
    for job in sorted(ledger.accepted):
        states = []

        def ended(job=job, states=states):
            status, body = fleet.ask(0, "GET", job)
            states.append((status, body))
            return status == 410 or (
                status == 200 and body["state"] in ("completed", "failed")
            )

        try:
            standin.wait_until(ended, RECOVERY_SECONDS, f"{job} ends")
        except AssertionError:
            ledger.breaks("lost", f"{job}: {states[-1]}")
        if states[-1][0] == 410:
            ledger.breaks("lost", f"{job} is not known")
    check_evacuation(fleet, ledger)
    for job in sorted(ledger.refused & started_jobs(fleet)):
        ledger.breaks("not run", f"{job} was refused and has run")
    for task, holders, worker in fleet.doubled:
        ledger.breaks("twice", f"{task} on {holders} and {worker}")


def play(seed, args):
    """Plays one seed; returns what broke, and keeps the logs if any did."""
    fleet = SoakFleet(args.entries, args.workers)
    # Drawn apart, so that the faults of a seed stay the same.
    fleet.ends_at_a_time = random.Random(f"lists {seed}").choice(
        (1, 3, standin.ENDS_AT_A_TIME)
    )
    ledger = Ledger()
    faults = (Freezes if args.freezes else Faults)(fleet, seed)
    try:
        fleet.begin()
        until = time.monotonic() + args.seconds
        threads = [
            Caller(fleet, ledger, i, seed, until)
            for i in range(2 * args.entries)
        ]
        threads.append(ConfigWatch(fleet, ledger, seed, until))
        threads.append(Evacuations(fleet, ledger, seed, until))
        for thread in threads:
            thread.start()
        while time.monotonic() < until:
            faults.draw()
            pause = faults.random.random() * 1.2
            end = time.monotonic() + pause
            while time.monotonic() < end:
                faults.tick()
                time.sleep(0.02)
            faults.check_alive(ledger)
        faults.tick(everything=True)
        for thread in threads:
            thread.join(timeout=30)
        check_end(fleet, ledger)
        faults.check_alive(ledger)
        if ledger.broken:
            keep(seed, fleet, faults, ledger)
    finally:
        # A process that is paused would not end.
        faults.tick(everything=True)
        fleet.close()
    print(
        f"seed {seed}: {ledger.answered} answered, {len(ledger.accepted)} "
        f"stored, {len(ledger.refused)} refused, {len(faults.story)} faults, "
        f"{len(ledger.broken)} broken",
        flush=True,
    )
    for line in ledger.broken[:10]:
        print(f"  {line}", flush=True)
    return ledger.broken


def state_of(machine):
    """What the kernel says of a process: running, stopped or waiting, where."""
    if machine.process.poll() is not None:
        return f"{machine.name} ended: {machine.process.returncode}"
    threads = []
    root = f"/proc/{machine.process.pid}/task"
    for thread in os.listdir(root):
        with open(f"{root}/{thread}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        state, ticks = fields[0], int(fields[11]) + int(fields[12])
        threads.append(f"{state}/{ticks}")
    return f"{machine.name} threads (state/ticks): {' '.join(threads)}"


def keep(seed, fleet, faults, ledger):
    folder = os.environ.get("SOAK_LOGS", "/tmp/soak-logs")
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, f"seed-{seed}.log"), "w") as file:
        file.write("\n".join(ledger.broken + faults.story) + "\n")
        for machine in fleet.core + fleet.entries:
            file.write(state_of(machine) + "\n")
        file.write(fleet.logs())


def seeds_of(args):
    if args.seeds:
        first, last = args.seeds.split("-")
        return list(range(int(first), int(last) + 1))
    if args.failed:
        with open(os.path.join(HERE, "failed_seeds.txt")) as file:
            return [int(line.split()[0]) for line in file if line[0].isdigit()]
    return [args.seed if args.seed is not None else int(time.time())]


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", help="FIRST-LAST")
    parser.add_argument("--failed", action="store_true",
                        help="the seeds that ever failed")
    parser.add_argument("--freezes", action="store_true",
                        help="only freeze and restart entries")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--workers", type=int, default=4)
    args = parser.parse_args()
    broken = 0
    for seed in seeds_of(args):
        broken += len(play(seed, args))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
