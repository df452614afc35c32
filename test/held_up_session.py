"""Hosts that run nothing for a moment: an entry or its agents stand still and go on, while all of
them live. Callers get their answers, and nothing runs on that the entry has ended."""

import argparse
import json
import os
import signal
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
from dewbeam_site import DOMAINS, Site, free_port  # noqa: E402

RANKS = ["rank0", "rank1", "rank2"]
UPSTREAMS = RANKS + ["spare"]
EXPERTS = {"experts": 12, "layers": 2, "slots_per_rank": 8, "tokens_per_step": 8192,
           "skew_percent": 0}
PREFERENCE = {"when": "model=ad-copy", "upstreams": "pool=chat", "balance": "skew"}
REQUESTS = 12  # fewer than half of the upstreams' places
LINK_LOST_S = 3.0  # longer than a link may be silent, shorter than a member may be
AGENTS_GIVE_UP_S = 5.0  # longer than an agent runs what a silent entry sent
LATE_ANSWER_S = 1.2  # longer than an acknowledgement may take, shorter than a link may be silent
STALL_SEEN_S = 8.0  # longer than it takes until a stall is known
START_LIMIT_S = 120.0
LONG, SHORT = 8000, 20  # tokens: outlasts a case; ends at once


class HeldUpSession(unittest.TestCase):
    def setUp(self):
        self.site = Site(OPTIONS.bin, OPTIONS.logs or self.temporary_folder())
        self.addCleanup(self.site.kill_all)
        self.sent = 0
        self.answers = []
        self.callers = []
        self.start()

    def temporary_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def start(self):
        """A group of three ranks and a spare behind one entry, with requests for all of them."""
        site = self.site
        for index in range(len(DOMAINS)):
            site.add_control(index)
        links = ["127.0.0.1:%d" % free_port() for _ in RANKS]
        for rank, name in enumerate(RANKS):
            agent = site.add_upstream(name, "d1", ["ad-copy"], "pool=chat", experts=EXPERTS)
            agent.settings["link"]["listen"] = links[rank]
            agent.settings["group"] = {"name": "g", "rank": rank, "members": links}
        site.add_entry(0)
        site.add_upstream("spare", "d1", ["ad-copy"], "pool=chat")
        for process in site.processes.values():
            process.start()
        for name in site.processes:
            path = "/load" if name.endswith("-engine") else "/readyz"
            site.wait_for(lambda n=name, p=path: site.try_call(n, "GET", p)[0] == 200,
                          "%s to be ready" % name, START_LIMIT_S)
        site.wait_for(lambda: site.apply({"selectors": {"chat": PREFERENCE}}, "first")[0] == 200,
                      "the preference", START_LIMIT_S)
        site.wait_for_number(1, ["e1", *UPSTREAMS])
        site.wait_for_upstreams("e1", len(UPSTREAMS))
        site.wait_for(lambda: self.upstreams_with_room() == sorted(UPSTREAMS),
                      "upstreams with places", START_LIMIT_S)

    def upstreams_with_room(self):
        """The upstreams that the entry may use now."""
        status, _, body = self.site.try_call("e1", "GET", "/v1/status")
        members = json.loads(body)["members"] if status == 200 else []
        return sorted(m["upstream"] for m in members if m["role"] == "agent" and
                      m["slots"] > 0 and not m["dead"] and not m["suspect"])

    def send(self, tokens, limit_s=60.0):
        """Sends all requests at once. A caller leaves after `limit_s`, which gives status 0."""
        self.sent += REQUESTS

        def caller(number):
            body = {"model": "ad-copy", "prompt": "request %d" % number, "max_tokens": tokens}
            status, _, answer = self.site.try_call("e1", "POST", "/v1/completions", body, None,
                                                   limit_s)
            self.answers.append((number, status, answer[-120:] if status != 200 else ""))
        self.callers = [threading.Thread(target=caller, args=(number,), daemon=True)
                        for number in range(self.sent - REQUESTS, self.sent)]
        for thread in self.callers:
            thread.start()

    def wait_for_callers(self):
        for thread in self.callers:
            thread.join()

    def running(self):
        """The attempts that run at all agents; None where one doesn't answer."""
        total = 0
        for name in UPSTREAMS:
            status, _, body = self.site.try_call(name, "GET", "/v1/status")
            if status != 200:
                return None
            total += json.loads(body)["running"]
        return total

    def hold_up(self, names, seconds, meanwhile=None):
        """The processes run nothing for so long; `meanwhile` is called as soon as they stand."""
        for name in names:
            self.site.processes[name].send(signal.SIGSTOP)
        try:
            if meanwhile:
                meanwhile()
            time.sleep(seconds)
        finally:
            for name in names:
                self.site.processes[name].send(signal.SIGCONT)

    def check_requests_go_on(self):
        """No caller is told of a failure: long requests run, all of them, and nothing else does."""
        self.site.wait_for(lambda: self.answers or self.running() == REQUESTS,
                           "the requests to run, and nothing else; %s run" % self.running())
        time.sleep(1.0)
        self.assertEqual(self.answers, [])

    def stall(self, milliseconds):
        """The group makes no steps for so long; its engines go on to answer everything else."""
        for name in RANKS:
            self.site.call(name + "-engine", "POST", "/faults", {"stall_ms": milliseconds})

    def check_nothing_is_left(self):
        """Once all callers have left or were answered, no attempt holds a place at an agent."""
        self.wait_for_callers()
        self.site.wait_for(lambda: self.running() is not None, "the agents' status", START_LIMIT_S)
        deadline = time.monotonic() + 12.0  # three times as long as an agent keeps a silent entry
        left = self.running()
        while left != 0 and (left is None or time.monotonic() < deadline):
            time.sleep(0.1)
            left = self.running()
        self.assertEqual(left, 0, "attempts run on without a request: %s" % self.answers)

    def test_entry_held_up_loses_no_running_request(self):
        """Guards against links that are held to be lost because their reader stood still: 502."""
        self.send(LONG)
        self.site.wait_for(lambda: self.running() == REQUESTS, "the requests to run")
        self.hold_up(["e1"], LINK_LOST_S)
        self.check_requests_go_on()

    def test_entry_held_up_for_longer_than_agents_wait_loses_no_request(self):
        """Guards against ends of what agents cancelled, since they could not hear the entry: 502."""
        self.send(LONG)
        self.site.wait_for(lambda: self.running() == REQUESTS, "the requests to run")
        self.hold_up(["e1"], AGENTS_GIVE_UP_S)
        self.check_requests_go_on()

    def test_entry_held_up_answers_what_came_meanwhile(self):
        """Guards against refusing what waits while agents that live are held to be lost: 502."""
        self.hold_up(["e1"], LINK_LOST_S, lambda: self.send(SHORT))
        self.wait_for_callers()
        self.assertEqual([status for _, status, _ in self.answers], [200] * REQUESTS, self.answers)

    def test_entry_held_up_ends_what_it_gives_up(self):
        """Guards against retries that end with the next lost link, and are sent and run later."""
        for _ in range(4):  # which thread of the entry goes first decides whether it retries
            self.send(LONG, 10.0)
            self.site.wait_for(lambda: self.running() == REQUESTS, "the requests to run")
            self.hold_up(["e1"], LINK_LOST_S)
            self.check_nothing_is_left()

    def test_late_acknowledgement_leaves_no_attempt_behind(self):
        """Guards against giving up an attempt that its agent says it runs, without ending it."""
        self.hold_up(UPSTREAMS, LATE_ANSWER_S, lambda: self.send(LONG, LATE_ANSWER_S + 5.0))
        self.check_nothing_is_left()

    def test_agents_held_up_lose_no_running_request(self):
        """Guards against failing at once when all agents are out of reach for a moment: 502."""
        self.send(LONG)
        self.site.wait_for(lambda: self.running() == REQUESTS, "the requests to run")
        self.hold_up(UPSTREAMS, LINK_LOST_S)
        self.check_requests_go_on()

    def test_engines_held_up_lose_no_running_request(self):
        """Guards against giving up what late engines run, and its retries, in a moment: 502."""
        engines = [name + "-engine" for name in UPSTREAMS]
        self.send(LONG)
        self.site.wait_for(lambda: self.running() == REQUESTS, "the requests to run")
        self.hold_up(engines, LINK_LOST_S)
        self.check_requests_go_on()

    def test_stalled_group_that_lost_its_work_is_left_alone(self):
        """Guards against taking a stalled group for well once nothing runs there: waits of 30 s."""
        self.stall(600_000)
        self.send(LONG, STALL_SEEN_S)
        self.site.wait_for(lambda: self.running() == REQUESTS, "the requests to run")
        self.wait_for_callers()
        for number in range(REQUESTS):
            body = {"model": "ad-copy", "prompt": "after %d" % number, "max_tokens": SHORT}
            status, _, answer = self.site.try_call("e1", "POST", "/v1/completions", body, None,
                                                   STALL_SEEN_S)
            self.assertEqual(status, 200, answer)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--logs", help="folder for the logs of one case, which stay")
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
