"""Upstreams whose address is answered by nobody, or by something else.

What happened, in the order in which it was found:

A request whose attempts had all been begun and broken off was refused with the outcome "not_run"
(503 `retries_exhausted`, 504 `deadline_passed`). The entry wrote the outcome by the kind of
refusal and did not look at what became of earlier attempts: three upstreams had run the request
in the trace (`attempt_ended end=unknown` three times before `request_ended`).

An engine that took connections and said nothing counted as reachable for a minute, since one poll
of its load waited for an answer for as long as a request does (30 s) and two had to fail. Requests
that went there meanwhile ran into their own time limit (504 after 60 s) with an idle upstream
beside, and no log line named the address.

An engine of another name behind the address of one's own got the requests.

A program whose link port was taken ended with one line on standard error, and the group of which
it was a rank waited for it without a word."""

import argparse
import json
import os
import socket
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
from dewbeam_site import DOMAINS, Site  # noqa: E402

CLOSED_S = 3.0  # a silent upstream is left alone within this
FOLLOWING = 10


class SilentListener:
    """Takes connections at an address, reads what comes, and never answers."""

    def __init__(self, address):
        ip, port = address.rsplit(":", 1)
        self.requests = []  # time and first line of each that is no poll
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind((ip, int(port)))
        self.server.listen(64)
        threading.Thread(target=self.take, daemon=True).start()

    def take(self):
        while True:
            try:
                taken, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.read, args=(taken,), daemon=True).start()

    def read(self, taken):
        while True:
            try:
                data = taken.recv(65536)
            except OSError:
                return
            if not data:
                return
            if data.startswith(b"POST"):
                self.requests.append((time.monotonic(), data.split(b"\r\n", 1)[0]))

    def close(self):
        self.server.close()


class UpstreamSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        for index in range(len(DOMAINS)):
            self.site.add_control(index)

    def start(self, **upstream):
        """One entry and two upstreams of one pool, with settings of their agents."""
        self.site.add_entry(0)
        for name in ("chat-0", "chat-1"):
            agent = self.site.add_upstream(name, "d1", ["ad-copy"], "pool=chat")
            agent.settings["upstream"].update(upstream)
        self.site.start_all()
        patch = {"selectors": {"chat": {"when": "model=ad-copy", "upstreams": "pool=chat"}}}
        self.site.wait_for(lambda: self.site.apply(patch, "first")[0] == 200, "the selector")
        self.site.wait_for_number(1)
        self.site.wait_for_upstreams("e1", 2)

    def ask(self, number, tokens=2, limit_s=70.0):
        return self.site.call("e1", "POST", "/v1/completions", {
            "model": "ad-copy", "prompt": "brief %d" % number, "max_tokens": tokens},
            limit_s=limit_s)

    def runs(self, name):
        return json.loads(self.site.call(name + "-engine", "GET", "/runs")[2])["runs"]

    def wait_for_log(self, name, event, text):
        def has_line():
            return any("event=" + event in line and text in line
                       for line in self.site.processes[name].log().splitlines())
        self.site.wait_for(has_line, "%s of %s to name %s" % (event, name, text))

    def take_over(self, name):
        """The engine dies, and its address is free for something else."""
        engine = self.site.processes[name + "-engine"]
        engine.kill()
        return engine.settings["listen"]

    def test_what_may_have_run_is_never_said_to_be_not_run(self):
        self.start(silence_ms=300)
        status, fields, body = self.ask(1, tokens=8000)
        self.assertGreater(self.runs("chat-0") + self.runs("chat-1"), 0)
        error = json.loads(body)["error"]
        self.assertEqual(error["outcome"], "unknown", body)
        self.assertEqual(fields["X-Dewbeam-Outcome"], "unknown")
        self.assertEqual(status, 502, body)
        self.assertNotIn("Retry-After", fields)

    def test_requests_go_around_an_engine_that_is_silent(self):
        self.start()
        address = self.take_over("chat-0")
        silent = SilentListener(address)
        self.addCleanup(silent.close)
        began = time.monotonic()
        number = 0
        while time.monotonic() < began + 2 * CLOSED_S:
            number += 1
            sent = time.monotonic()
            status, _, body = self.ask(number)
            self.assertEqual(status, 200, body)
            self.assertLess(time.monotonic() - sent, 2 * CLOSED_S, "a request waited too long")
        late = [line for at, line in silent.requests if at > began + CLOSED_S]
        self.assertEqual(late, [])
        self.wait_for_log("chat-0", "upstream_unreachable", address)

    def test_requests_go_around_an_engine_that_is_another_one(self):
        self.start()
        address = self.take_over("chat-0")
        stranger = self.site.add("stranger", "dewbeam-fake-engine", {
            "host": "stranger", "failure_domain": "d1", "listen": address, "models": ["ad-copy"],
            "stop": {"notice_ms": 0, "drain_ms": 1000}})
        stranger.start()
        self.site.wait_ready(["stranger"])
        for number in range(FOLLOWING):
            status, _, body = self.ask(number)
            self.assertEqual(status, 200, body)
        self.wait_for_log("chat-0", "upstream_unreachable", "stranger")
        for number in range(FOLLOWING):
            self.assertEqual(self.ask(FOLLOWING + number)[0], 200)
        runs = json.loads(self.site.call("stranger", "GET", "/runs")[2])["runs"]
        self.assertEqual(runs, 0)

    def test_a_taken_port_is_logged_and_the_group_names_the_rank_that_is_missing(self):
        agents = [self.site.add_upstream("rank%d" % rank, "d1", ["ad-copy"]) for rank in range(2)]
        links = [agent.settings["link"]["listen"] for agent in agents]
        for rank, agent in enumerate(agents):
            agent.settings["group"] = {"name": "g", "rank": rank, "members": links}
        holder = socket.socket()
        self.addCleanup(holder.close)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", int(links[1].rsplit(":", 1)[1])))
        holder.listen(1)
        for process in self.site.processes.values():
            process.start()
        self.assertEqual(self.site.processes["rank1"].wait(), 2)
        self.wait_for_log("rank1", "start_failed", links[1])
        self.wait_for_log("rank0", "group_waits", links[1])


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
