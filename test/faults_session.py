"""Faults on real processes: agents that die, freeze or leave while they work."""

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
from dewbeam_site import STANDARD_CONFIGURATION, Site  # noqa: E402

CHAT = {"model": "ad-copy", "messages": [{"role": "user", "content": "hello"}]}


def read_stream(site, entry, tokens, on_words):
    """Streams one answer; calls `on_words(count)` as words arrive. Gives status and body."""
    connection = site.connection(entry, 60.0)
    try:
        connection.request("POST", "/v1/chat/completions",
                           json.dumps({**CHAT, "stream": True, "max_tokens": tokens}),
                           {"Content-Type": "application/json"})
        answer = connection.getresponse()
        body = b""
        while True:
            piece = answer.read1(4096)
            if not piece:
                return answer.status, body.decode()
            body += piece
            on_words(body.count(b"\n\n"))
    finally:
        connection.close()


def indexes(body):
    """The indexes of the words of a stream, as they came."""
    result = []
    for event in body.split("\n\n")[:-1]:
        data = event.removeprefix("data: ")
        if data != "[DONE]":
            word = json.loads(data)["choices"][0]["delta"]["content"]
            result.append(int(word.split("-")[0][1:]))
    return result


class FaultsSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        for index in range(3):
            self.site.add_control(index)
            self.site.add_entry(index)
        for index in range(2):
            self.site.add_upstream("chat-%d" % index, "d%d" % (index + 1), ["ad-copy"],
                                   "pool=ad-copy")
        self.site.add_upstream("bay", "d1", [], "service=bay", service_us=1500000)
        self.site.start_all()
        for entry in ("e1", "e2", "e3"):
            self.site.wait_for_upstreams(entry, 3)
        self.assertEqual(self.site.apply(STANDARD_CONFIGURATION, "first")[0], 200)
        self.site.wait_for_number(1)

    def agent_that_runs(self):
        """The agent that has an attempt."""
        for name in ("chat-0", "chat-1"):
            status, _, body = self.site.try_call(name, "GET", "/v1/status")
            if status == 200 and json.loads(body)["running"] > 0:
                return name
        return None

    def stream_with_fault(self, fault):
        """Streams 200 words, and lets `fault` happen to the agent that runs them after 20."""
        hit = []

        def on_words(count):
            if count >= 20 and not hit:
                hit.append(self.agent_that_runs())
                fault(self.site.processes[hit[0]])

        status, body = read_stream(self.site, "e1", 200, on_words)
        self.assertEqual(status, 200)
        self.assertTrue(hit)
        return body

    def test_agent_killed_mid_stream(self):
        body = self.stream_with_fault(lambda agent: agent.kill())
        self.assertEqual(indexes(body), list(range(200)))
        self.assertTrue(body.endswith("data: [DONE]\n\n"))

    def test_agent_frozen_mid_stream_then_thawed(self):
        frozen = []

        def freeze(agent):
            frozen.append(agent)
            agent.send(signal.SIGSTOP)

        body = self.stream_with_fault(freeze)
        frozen[0].send(signal.SIGCONT)
        self.assertEqual(indexes(body), list(range(200)))
        self.assertTrue(body.endswith("data: [DONE]\n\n"))

    def test_agent_frozen_mid_stream_while_the_entry_is_held_up(self):
        """Guards against a stream that is cut, since the entry holds all other agents for lost too."""
        def freeze(agent):
            agent.send(signal.SIGSTOP)
            entry = self.site.processes["e1"]
            entry.send(signal.SIGSTOP)
            threading.Timer(2.5, lambda: entry.send(signal.SIGCONT)).start()

        body = self.stream_with_fault(freeze)
        self.assertEqual(indexes(body), list(range(200)))
        self.assertTrue(body.endswith("data: [DONE]\n\n"))

    def test_engine_killed_mid_stream(self):
        body = self.stream_with_fault(
            lambda agent: self.site.processes[agent.name + "-engine"].kill())
        self.assertEqual(indexes(body), list(range(200)))
        self.assertTrue(body.endswith("data: [DONE]\n\n"))

    def test_call_without_key_is_never_run_again(self):
        result = []
        caller = threading.Thread(target=lambda: result.append(
            self.site.call("e2", "POST", "/services/bay/unlock", {"bay": 1})))
        caller.start()
        self.site.wait_for(lambda: self.runs() == 1, "the call to run")
        self.site.processes["bay"].kill()
        caller.join()
        status, fields, body = result[0]
        self.assertEqual(status, 502)
        self.assertEqual(json.loads(body)["error"]["code"], "maybe_run")
        self.assertEqual(fields["X-Dewbeam-Outcome"], "unknown")
        self.site.processes["bay"].start()
        self.site.wait_ready(["bay"])
        time.sleep(1.0)
        self.assertEqual(self.runs(), 1)

    def add_mortal_engines(self):
        """Five upstreams whose engines end when they run the marked prompt; their names."""
        for index in range(2, 5):
            self.site.add_upstream("chat-%d" % index, "d3", ["ad-copy"], "pool=ad-copy")
        engines = ["chat-%d-engine" % index for index in range(5)]
        for name in engines:
            process = self.site.processes[name]
            process.kill() if process.is_running() else None
            process.settings["crash_marker"] = "BOOM"
            process.start()
        for index in range(2, 5):
            self.site.processes["chat-%d" % index].start()
        self.site.wait_ready(engines)
        for entry in ("e1", "e2", "e3"):
            self.site.wait_for_upstreams(entry, 6)
        time.sleep(1.0)  # each agent sees its engine's new life
        return engines

    def test_an_entry_that_starts_later_knows_what_the_others_quarantined(self):
        engines = self.add_mortal_engines()
        poison = {**CHAT, "messages": [{"role": "user", "content": "BOOM"}]}
        for number in range(6):
            self.site.call("e%d" % (number % 3 + 1), "POST", "/v1/chat/completions", poison)
        for name in ("e1", "e2", "e3"):
            self.assertEqual(self.site.processes[name].stop(), 0)
            self.site.processes[name].start()
            self.site.wait_for_upstreams(name, 4)
            time.sleep(2.0)
        for name in ("e1", "e2", "e3"):
            status, _, body = self.site.call(name, "POST", "/v1/chat/completions", poison)
            self.assertEqual((status, json.loads(body)["error"]["code"]), (503, "quarantined"))
        dead = [name for name in engines if not self.site.processes[name].is_running()]
        self.assertLessEqual(len(dead), 2)

    def test_crashing_request_takes_two_upstreams_at_most(self):
        """Its caller sends it again through every entry while others go on."""
        engines = self.add_mortal_engines()
        finished = []

        def innocent(number):
            body = {**CHAT, "max_tokens": 60,
                    "messages": [{"role": "user", "content": "innocent %d" % number}]}
            finished.append(self.site.call("e%d" % (number % 3 + 1), "POST",
                                           "/v1/chat/completions", body)[0])

        others = [threading.Thread(target=innocent, args=(number,)) for number in range(12)]
        for thread in others:
            thread.start()
        poison = {**CHAT, "messages": [{"role": "user", "content": "BOOM"}]}
        answers = [self.site.call("e%d" % (number % 3 + 1), "POST", "/v1/chat/completions", poison)
                   for number in range(6)]
        for thread in others:
            thread.join()
        dead = [name for name in engines if not self.site.processes[name].is_running()]
        self.assertLessEqual(len(dead), 2)
        self.assertEqual(finished, [200] * 12)
        last = answers[-1]
        self.assertEqual((last[0], json.loads(last[2])["error"]["code"]), (503, "quarantined"))
        self.assertGreater(int(last[1]["Retry-After"]), 0)

    def runs(self):
        return json.loads(self.site.call("bay-engine", "GET", "/runs")[2])["runs"]

    def test_planned_stops_cut_nothing(self):
        """Each program in turn is stopped and started again while callers go on."""
        stop = threading.Event()
        failures = []
        answered = []

        def caller(entries):
            count = 0
            while not stop.is_set():
                entry = entries[count % len(entries)]
                count += 1
                if not self.is_ready(entry):  # as the platform's balancer sees it
                    continue
                status, _, body = self.site.try_call(
                    entry, "POST", "/v1/chat/completions", {**CHAT, "max_tokens": 20}, None, 30.0)
                (answered if status == 200 else failures).append((entry, status, body))

        callers = [threading.Thread(target=caller, args=(["e1", "e2", "e3"],)) for _ in range(4)]
        for thread in callers:
            thread.start()
        try:
            for name in ("chat-0", "e1", "chat-1", "e2", "c1", "e3", "c2", "c3"):
                process = self.site.processes[name]
                self.assertEqual(process.stop(), 0, name)
                process.start()
                self.site.wait_ready([name])
                if name.startswith("chat"):
                    for entry in ("e1", "e2", "e3"):
                        self.site.wait_for_upstreams(entry, 3)
                if name.startswith("e"):
                    self.site.wait_for_upstreams(name, 3)
                    self.site.wait_for_number(1, [name])
        finally:
            stop.set()
            for thread in callers:
                thread.join()
        self.assertEqual(failures, [])
        self.assertGreater(len(answered), 20)

    def test_a_stop_answers_what_it_cannot_finish(self):
        """Guards against closing a caller's connection without an answer at the end of a stop."""
        entry = self.site.processes["e1"]
        self.assertEqual(entry.stop(), 0)
        entry.settings["stop"] = {"notice_ms": 100, "drain_ms": 300}
        entry.start()
        self.site.wait_ready(["e1"])
        self.site.wait_for_upstreams("e1", 3)
        results = []
        caller = threading.Thread(target=lambda: results.append(self.site.try_call(
            "e1", "POST", "/v1/chat/completions", {**CHAT, "max_tokens": 8000}, None, 30.0)))
        caller.start()
        time.sleep(0.5)
        entry.send(signal.SIGTERM)
        caller.join()
        status, _, body = results[0]
        self.assertEqual((status, json.loads(body)["error"]["code"]), (504, "stopping"))
        self.assertEqual(entry.wait(), 3)

    def is_ready(self, entry):
        return self.site.try_call(entry, "GET", "/readyz")[0] == 200


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
