"""A stand-in worker of any size, which pings as the users' pages say.

Everything else is the worker of the project's process tests.
"""

import time

import platform_standin as standin

HEARTBEAT_S = 1.5


class SizedWorker(standin.Worker):
    """A worker with room for `places` tasks of `cpu` each. It pings at the
    `heartbeat_url` that it was given last, and elsewhere where that fails."""

    places = 4
    cpu = 1000
    labels = ("a", "r1-1")

    def __init__(self, *given, **named):
        self.answered = None  # where the next ping goes
        super().__init__(*given, **named)

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
                "capacity": {"cpu": self.places * self.cpu, "mem_mb": 65536,
                             "gpus": 0},
                "labels": list(self.labels),
                "clock_ms": self.clock(),
                "born": self.born,
                "seq": next(self.sequence),
            }
            order = [a for a in self.fleet.controls() if a != self.answered]
            if self.answered:
                order.insert(0, self.answered)
            for address in order:
                if not self.alive:
                    return
                status, answer = standin.request(
                    address, "PUT", f"/instances/{self.name}", body, timeout=1
                )
                if status == 200:
                    self.answered = (answer or {}).get(
                        "heartbeat_url", address
                    )
                    break
            time.sleep(HEARTBEAT_S)

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
            if len(self.running) >= self.places:
                return 409, "room"
            if not self.running:
                self.lease = 0.0
            self._extend(order["deadline_ms"])
            self.running[task] = standin.Running(number, float(order["spec"]))
            self.fleet.note_start(self.name, task)
            return 200, None
