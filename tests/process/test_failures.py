"""Failures of real processes: kills, freezes, lost disks, planned stops.

Each test starts a small system of its own on loopback. Bounds of time are
generous; nothing is asserted about how long something took.
"""

import os
import shutil
import signal
import socket
import threading
import time
import unittest

from cluster import Cluster, call, wait_until

SETTLE_SECONDS = 30


class Caller(threading.Thread):
    """Submits a job in the background."""

    def __init__(self, cluster, vm, key, payloads, **fields):
        super().__init__()
        self._submit = lambda: cluster.job(vm, key, payloads, **fields)
        self.answer = None
        self.start()

    def run(self):
        self.answer = self._submit()

    def result(self):
        self.join()
        return self.answer


class FailureTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.cluster.start_all("--mean_run_ms", "100")
        self.entries = self.cluster.entries()

    def begin_job(self, vm, key, payloads):
        """Submits a job and waits until a task of it runs at a worker."""
        before = sum(self.cluster.starts().values())
        caller = Caller(self.cluster, vm, key, payloads)
        wait_until(
            lambda: sum(self.cluster.starts().values()) > before,
            SETTLE_SECONDS,
            "a task of the job starts",
        )
        return caller

    def job_until_served(self, vm, key, payloads):
        """Submits a job, coming back while it is told "not run"."""
        answers = []

        def served():
            answers.append(self.cluster.job(vm, key, payloads))
            return answers[-1].status not in (0, 503)

        wait_until(served, SETTLE_SECONDS, "the job is served")
        return answers[-1]

    def assert_no_task_started_twice(self):
        twice = {t: n for t, n in self.cluster.starts().items() if n > 1}
        self.assertEqual(twice, {})

    def test_killed_entry_with_tasks_out(self):
        payloads = ["run_ms=2000;a", "run_ms=2000;b"]
        self.begin_job(self.entries[0], "killed", payloads)
        self.cluster.kill(self.entries[0])
        answer = self.job_until_served(self.entries[-1], "killed", payloads)
        self.assertEqual(answer.body["reason"], "coordinator_lost")
        self.assertEqual(answer.body["ran"], "maybe")
        again = self.job_until_served(self.entries[2], "killed", payloads)
        self.assertEqual(again.text, answer.text)
        self.assert_no_task_started_twice()

    def test_frozen_entry_comes_back_to_the_recorded_answer(self):
        payloads = ["run_ms=1500;a"]
        first = self.begin_job(self.entries[0], "frozen", payloads)
        self.cluster.signal(self.entries[0], signal.SIGSTOP)
        other = self.job_until_served(self.entries[-1], "frozen", payloads)
        self.cluster.signal(self.entries[0], signal.SIGCONT)
        self.assertEqual(other.body["reason"], "coordinator_lost")
        self.assertEqual(first.result().body["reason"], "coordinator_lost")
        self.assert_no_task_started_twice()

    def test_planned_stop_cuts_nothing_off(self):
        caller = self.begin_job(self.entries[0], "stop", ["run_ms=3000;a"])
        address = self.cluster.callers[self.entries[0]]
        self.cluster.signal(self.entries[0], signal.SIGTERM)
        wait_until(
            lambda: call(address, "GET", "/readyz").status != 200,
            SETTLE_SECONDS,
            "the balancer's check turns",
        )
        refused = self.cluster.job(self.entries[0], "late", ["a"])
        self.assertIn(refused.status, (0, 503))
        self.assertEqual(caller.result().status, 200)
        self.assertEqual(self.cluster.processes.pop(self.entries[0]).wait(), 0)
        self.assert_no_task_started_twice()

    def test_ledgers_lose_their_disks_one_after_the_other(self):
        """The second VM is lost right after the first one's repair."""
        answer = self.job_until_served(self.entries[0], "disk", ["a", "b"])
        self.assertEqual(answer.status, 200)
        for number, vm in enumerate(("barracas-d2", "barracas-d1")):
            self.lose_disk(vm)
            key = "after-%d" % number
            done = self.job_until_served(self.entries[1], key, ["c"])
            self.assertEqual(done.status, 200)
            self.wait_for_two_disks()
        again = self.job_until_served(self.entries[-1], "disk", ["a", "b"])
        self.assertEqual(again.text, answer.text)
        self.assert_no_task_started_twice()

    def lose_disk(self, vm):
        self.cluster.kill(vm)
        shutil.rmtree(os.path.join(self.cluster.folder, "data", vm))
        self.cluster.start(vm)

    def wait_for_two_disks(self):
        def both():
            states = [self.cluster.status(vm) for vm in ("barracas-d1", "barracas-d2")]
            return all(state and state["ledger"].get("member") for state in states)

        wait_until(both, SETTLE_SECONDS, "both ledgers are members again")

    def test_killed_worker_gets_no_new_work(self):
        victim = "barracas-w1"
        self.cluster.kill(victim)
        wait_until(
            lambda: self.cluster.slots("barracas") == 8,
            SETTLE_SECONDS,
            "the silent worker is left out",
        )
        for number in range(10):
            answer = self.cluster.task(self.entries[0], "task %d" % number)
            self.assertEqual(answer.status, 200)

    def test_killed_control_vm_changes_nothing_for_callers(self):
        self.cluster.kill("barracas-d1")
        answer = self.job_until_served(self.entries[0], "control", ["a"])
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.cluster.status("pompeya-e1")["version"], 1)


class StartTest(unittest.TestCase):
    def test_entry_opens_once_its_address_is_free(self):
        cluster = Cluster(workers=3)
        self.addCleanup(cluster.close)
        vm = cluster.entries()[0]
        host, port = cluster.callers[vm].split(":")
        holder = socket.socket()
        holder.bind((host, int(port)))
        for name in cluster.settings:
            cluster.start(name)
        wait_until(
            lambda: "event=entry_not_open" in cluster.log(vm),
            SETTLE_SECONDS,
            "the entry finds its address in use",
        )
        holder.close()
        cluster.wait_ready_only()


class FaultyWorkersTest(unittest.TestCase):
    def run_job(self, *faults):
        cluster = Cluster(workers=3)
        self.addCleanup(cluster.close)
        cluster.start_all("--mean_run_ms", "60")
        for name in list(cluster.workers):
            cluster.stop(name)
            cluster.start_worker(name, *faults)
        cluster.wait_workers()
        vm = cluster.entries()[0]
        wait_until(lambda: cluster.slots("barracas") == 8, SETTLE_SECONDS, "workers are back")
        answer = cluster.job(vm, "faulty", ["a"], deadline_ms=4000)
        starts = cluster.starts()
        self.assertLessEqual(max(starts.values(), default=0), 1)
        return answer

    def test_crossed_answers_are_not_believed(self):
        answer = self.run_job("--wrong_task_id")
        self.assertNotEqual(answer.status, 200)
        self.assertEqual(answer.body["ran"], "maybe")

    def test_short_answers_are_not_believed(self):
        answer = self.run_job("--cut_short")
        self.assertNotEqual(answer.status, 200)
        self.assertEqual(answer.body["ran"], "maybe")

    def test_refusing_guards_prove_that_nothing_ran(self):
        answer = self.run_job("--refuse_all")
        self.assertNotEqual(answer.status, 200)
        self.assertEqual(answer.body["ran"], "no")


if __name__ == "__main__":
    unittest.main()
