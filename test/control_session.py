"""Faults of the control hosts, on real processes: races, lost answers, lost leaders, lost disks,
and a cut-off domain."""

import argparse
import json
import os
import shutil
import signal
import sys
import tempfile
import threading
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
from dewbeam_site import STANDARD_CONFIGURATION, Site  # noqa: E402

CONTROLS = ("c1", "c2", "c3")


def selector(number):
    return {"selectors": {"s%d" % number: {"when": "n=%d" % number, "upstreams": ""}}}


class ControlSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        for index in range(3):
            self.site.add_control(index)
            self.site.add_entry(index)
        self.site.add_upstream("bay", "d1", [], "service=bay", service_us=200000)
        self.site.start_all()
        for entry in ("e1", "e2", "e3"):
            self.site.wait_for_upstreams(entry, 1)
        self.change(STANDARD_CONFIGURATION, "first")
        self.site.wait_for_number(1)

    def change(self, patch, change_id, control="c1"):
        """Sends a change until it is answered; the id makes a resend harmless."""
        answers = []

        def is_answered():
            for host in (control, *CONTROLS):
                if not self.site.processes[host].is_running():
                    continue
                status, _, body = self.site.try_call(host, "GET", "/v1/configuration", limit_s=5.0)
                if status != 200:
                    continue
                status, _, body = self.site.try_call(
                    host, "POST", "/v1/changes",
                    {"id": change_id, "base": json.loads(body)["number"], "patch": patch},
                    limit_s=5.0)
                if status == 200:
                    answers.append(json.loads(body)["number"])
                    return True
            return False

        self.site.wait_for(is_answered, "change " + change_id)
        return answers[0]

    def leader(self):
        found = []

        def is_found():
            for host in CONTROLS:
                status, _, body = self.site.try_call(host, "GET", "/v1/status")
                answer = json.loads(body) if status == 200 else {}
                if answer.get("quorum") and answer.get("leader"):
                    found.append("c%d" % answer["leader"])
                    return self.site.processes[found[-1]].is_running()
            return False

        self.site.wait_for(is_found, "a leader")
        return found[-1]

    def document(self, control):
        """What a majority confirms, as this host knows it."""
        found = []

        def is_confirmed():
            status, _, body = self.site.try_call(control, "GET", "/v1/configuration", limit_s=5.0)
            if status == 200 and json.loads(body)["confirmed"]:
                found.append(json.loads(body)["document"])
            return bool(found)

        self.site.wait_for(is_confirmed, "a confirmed configuration at " + control)
        return found[0]

    def test_operators_race_under_one_number(self):
        base = self.site.number()
        answers = {}

        def operator(number):
            answers[number] = self.site.apply(selector(number), "race-%d" % number,
                                              CONTROLS[number % 3], base)

        racers = [threading.Thread(target=operator, args=(number,)) for number in range(6)]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        winners = [number for number, answer in answers.items() if answer[0] == 200]
        self.assertEqual(len(winners), 1, answers)
        for number, (status, answer) in answers.items():
            if number not in winners:
                self.assertEqual((status, answer["winner"]), (409, "race-%d" % winners[0]))
        again = self.site.apply(selector(winners[0]), "race-%d" % winners[0], "c2", base)
        self.assertEqual(again, answers[winners[0]])

    def test_burst_with_a_leader_that_dies_and_one_that_freezes(self):
        """No acknowledged change is lost, none reverts, and all are in force everywhere."""
        for number in range(100):
            if number == 30:
                dead = self.leader()
                self.site.processes[dead].kill()
            if number == 60:
                self.site.processes[dead].start()
                self.site.wait_ready([dead])
                frozen = self.leader()
                self.site.processes[frozen].send(signal.SIGSTOP)
                control = next(host for host in CONTROLS if host != frozen)
            if number == 90:
                self.site.processes[frozen].send(signal.SIGCONT)
            self.change(selector(number), "burst-%d" % number,
                        control if 60 <= number < 90 else "c1")
        for host in CONTROLS:
            known = self.document(host)["selectors"]
            missing = [number for number in range(100) if "s%d" % number not in known]
            self.assertEqual(missing, [], host)
        self.site.wait_for_number(101)

    def test_blank_host_then_a_second_host_lost(self):
        for number in range(20):
            self.change(selector(number), "before-%d" % number)
        blank = self.site.processes["c1"]
        blank.kill()
        shutil.rmtree(blank.settings["data_folder"])
        self.change(selector(20), "while-away", "c2")
        blank.start()
        self.site.wait_for(lambda: self.is_voter("c1"), "c1 to vote again")
        self.site.processes["c2"].kill()
        shutil.rmtree(self.site.processes["c2"].settings["data_folder"])
        self.change(selector(21), "after", "c3")
        for host in ("c1", "c3"):
            known = self.document(host)["selectors"]
            missing = [number for number in range(22) if "s%d" % number not in known]
            self.assertEqual(missing, [], host)

    def is_voter(self, host):
        status, _, body = self.site.try_call(host, "GET", "/v1/status")
        answer = json.loads(body) if status == 200 else {}
        return bool(answer.get("voter") and answer.get("caught_up"))

    def test_entry_that_slept_through_changes(self):
        entry = self.site.processes["e2"]
        entry.send(signal.SIGSTOP)
        for number in range(50):
            self.change(selector(number), "asleep-%d" % number)
        entry.send(signal.SIGCONT)
        self.site.wait_for_number(51, ["e2"])

    def test_same_key_through_all_entries_at_once(self):
        answers = []

        def caller(entry):
            answers.append(self.site.call(entry, "POST", "/services/bay/unlock", {"bay": 1},
                                          {"Idempotency-Key": "k"}))

        callers = [threading.Thread(target=caller, args=("e%d" % (number % 3 + 1),))
                   for number in range(9)]
        for thread in callers:
            thread.start()
        for thread in callers:
            thread.join()
        self.assertEqual(self.runs(), 1)
        codes = {status if status == 200 else json.loads(body)["error"]["code"]
                 for status, _, body in answers}
        self.assertLessEqual(codes, {200, "still_running"})
        status, fields, _ = self.site.call("e3", "POST", "/services/bay/unlock", {"bay": 1},
                                           {"Idempotency-Key": "k"})
        self.assertEqual((status, fields.get("X-Dewbeam-Replayed")), (200, "true"))
        status, _, body = self.site.call("e3", "POST", "/services/bay/unlock", {"bay": 2},
                                         {"Idempotency-Key": "k"})
        self.assertEqual((status, json.loads(body)["error"]["code"]), (422, "key_reused"))
        self.assertEqual(self.runs(), 1)

    def test_key_without_a_majority_is_refused_and_not_run(self):
        for host in ("c2", "c3"):
            self.site.processes[host].kill()
        status, fields, body = self.site.call("e1", "POST", "/services/bay/unlock", {"bay": 1},
                                              {"Idempotency-Key": "cut"})
        self.assertEqual((status, json.loads(body)["error"]["code"]), (503, "no_quorum"))
        self.assertEqual(fields["X-Dewbeam-Outcome"], "not_run")
        self.assertGreater(int(fields["Retry-After"]), 0)
        self.assertEqual(self.runs(), 0)
        # Work without a key goes on in the cut-off domain.
        status, _, _ = self.site.call("e1", "POST", "/services/bay/unlock", {"bay": 1})
        self.assertEqual((status, self.runs()), (200, 1))
        self.site.processes["c2"].start()

        def runs_again():
            return self.site.call("e1", "POST", "/services/bay/unlock", {"bay": 1},
                                  {"Idempotency-Key": "cut"})[0] == 200

        self.site.wait_for(runs_again, "the key to be granted")
        self.assertEqual(self.runs(), 2)

    def test_restart_inside_a_cut_off_domain(self):
        """All of the other domains is silent: the domain goes on, says so, and its entry that is
        restarted takes the newest configuration from the domain's other host."""
        fourth = self.site.add_entry(0, "e4")
        fourth.start()
        self.site.wait_ready(["e4"])
        self.change({"selectors": {"late": {"when": "task=late", "upstreams": ""}}}, "second")
        self.site.wait_for_number(2)
        silent = ("c2", "c3", "e2", "e3")
        for name in silent:
            self.site.processes[name].send(signal.SIGSTOP)
        for name in ("e1", "c1"):
            self.site.wait_for(lambda n=name: self.status(n)["cut_off"], "%s to be cut off" % name)
        status, answer = self.site.apply(selector(1), "cut", "c1", base=2)
        self.assertEqual(status, 503, answer)
        self.site.processes["c1"].kill()  # so that only e4 can tell
        first = self.site.processes["e1"]
        self.assertEqual(first.stop(), 0)
        first.start()
        self.site.wait_ready(["e1"])
        self.assertEqual(self.site.configuration_number("e1"), 2)
        self.site.wait_for_upstreams("e1", 1)
        status, _, _ = self.site.call("e1", "POST", "/services/bay/unlock", {"bay": 1})
        self.assertEqual(status, 200)
        for name in silent:
            self.site.processes[name].send(signal.SIGCONT)
        self.site.processes["c1"].start()
        self.change(selector(2), "healed")
        self.site.wait_for(lambda: not self.status("e1")["cut_off"], "e1 to be joined again")

    def status(self, name):
        status, _, body = self.site.try_call(name, "GET", "/v1/status")
        return json.loads(body) if status == 200 else {"cut_off": None}

    def runs(self):
        return json.loads(self.site.call("bay-engine", "GET", "/runs")[2])["runs"]


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
