"""Planned stops in calm: a request that was read and passed on is answered in full; any other is refused and never
runs."""

import argparse
import http.client
import json
import os
import random
import signal
import socket
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
sys.path.insert(0, os.path.dirname(__file__))
from dewbeam_site import DOMAINS, Site, free_port  # noqa: E402
from platform_standins import Upstream, call, configuration, process_settings  # noqa: E402

SEED = 1
CALLERS = 24
STARTS_S = 3.5  # over which callers begin: from before the stop signal until behind the notice
# Of deployed gateways: late requests come by the end of the notice, and all must end by that of the grace.
NOTICE_S, DRAIN_S, GRACE_S = 2.6, 4.7, 8.0
EXCUSED_SENT_S = 3.0  # behind the stop signal
EXCUSED_AT_WORK_S = GRACE_S * 5 / 6
RUN_S, STOPPED_S = 0.015, 0.045  # of a process that gets little processor time
REFUSED = (408, 421, 429, 503)


class Attempt:
    """A request as its caller saw it."""

    def __init__(self, name):
        self.name, self.sent_at, self.ended_at, self.status, self.body = name, 0.0, 0.0, 0, ""


class Callers:
    """Send request after request, each caller on a kept connection, until they are refused a connection."""

    def __init__(self, port, send, pause_s=0.02):
        self.port, self.send, self.pause_s = port, send, pause_s
        self.random = random.Random(SEED)
        self.stop, self.attempts = threading.Event(), []
        self.threads = [threading.Thread(target=self.run, args=(number, self.random.random()), daemon=True)
                        for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, number, phase):
        time.sleep(phase * STARTS_S)
        connection = None
        count = 0
        while not self.stop.is_set():
            attempt = Attempt("late-%d-%d" % (number, count))
            count += 1
            try:
                connection = connection or self.connect()
                attempt.sent_at = time.monotonic()
                self.attempts.append(attempt)
                self.send(connection, attempt.name)
                answer = connection.getresponse()
                attempt.body = answer.read().decode()
                attempt.status = answer.status
                is_kept = not answer.will_close
            except (OSError, http.client.HTTPException):
                is_kept = False
            attempt.ended_at = time.monotonic()
            if not is_kept and connection:
                connection.close()
                connection = None
            time.sleep(self.pause_s)

    def connect(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=15.0)
        connection.connect()
        return connection

    def end(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()
        return [one for one in self.attempts if one.sent_at]


class Starved:
    """A process that runs for `RUN_S` of each `RUN_S + STOPPED_S`."""

    def __init__(self, process):
        self.process, self.is_over = process, threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.is_over.is_set() and self.process.is_running():
            self.process.send(signal.SIGSTOP)
            time.sleep(STOPPED_S)
            self.process.send(signal.SIGCONT)
            time.sleep(RUN_S)

    def end(self):
        self.is_over.set()
        self.thread.join()


class StopInCalmSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.work = folder.name
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)

    def judge(self, attempts, runs, stopped_at, process, may_cut_late=True):
        """`runs`: names that ran."""
        cut = [one for one in attempts if one.status == 0 and one.name in runs]
        excused = [one for one in cut if may_cut_late and one.sent_at <= stopped_at + EXCUSED_SENT_S and
                   one.ended_at >= stopped_at + EXCUSED_AT_WORK_S]
        denied = [one.name for one in attempts if one.status in REFUSED and one.name in runs]
        self.assertEqual([(one.name, one.sent_at - stopped_at, one.ended_at - stopped_at)
                          for one in cut if one not in excused], [])
        self.assertEqual(denied, [])
        self.assertEqual(len(runs), len(set(runs)), "some ran twice")
        late = [one for one in attempts if one.sent_at > stopped_at]
        self.assertGreater(len([one for one in late if one.name in runs]), 0, "none was taken late")
        self.assertFalse(process.is_running())

    # A gateway.

    def start_gateway(self):
        link = "127.0.0.1:%d" % free_port()
        self.site.add("r0", "dewbeam-registrar", {
            **process_settings(self.site, "r0", [link]), "link": {"listen": link}, "found": True,
            "data_folder": os.path.join(self.work, "data"), "stop": {"notice_ms": 0, "drain_ms": 2000}})
        gateway = self.site.add("g0", "dewbeam-gateway", {
            **process_settings(self.site, "g0", [link]), "link": {"listen": "127.0.0.1:%d" % free_port()},
            "readiness_listen": "127.0.0.1:%d" % free_port(),
            "stop": {"notice_ms": int(1000 * NOTICE_S), "drain_ms": int(1000 * DRAIN_S)}})
        for process in self.site.processes.values():
            process.start()
        port = self.site.processes["r0"].http_port()
        self.upstreams = [Upstream("i-%d" % number, "chat", [port]) for number in range(4)]
        for upstream in self.upstreams:
            self.addCleanup(upstream.stop)
        document = configuration(1)
        for route in document["routes"]:
            route["timeout-ms"] = 8000
        self.site.wait_for(lambda: call(port, "PUT", "/-/config", json.dumps(document))[0] == 200,
                           "a configuration")
        listen = int(gateway.settings["readiness_listen"].rsplit(":", 1)[1])

        def knows_all():
            status, body = call(listen, "GET", "/v1/status")
            page = json.loads(body) if status == 200 else {"revision": 0, "upstreams": []}
            return page["revision"] > 0 and len(page["upstreams"]) >= len(self.upstreams)
        self.site.wait_for(knows_all, "the gateway")
        return gateway

    @staticmethod
    def send_once(connection, name):
        connection.request("POST", "/once/" + name, "{}", StopInCalmSession.head(name))

    @staticmethod
    def send_once_slowly(connection, name):
        """The second half of the body comes a second behind the first."""
        connection.putrequest("POST", "/once/" + name, skip_host=True)
        for field, value in {**StopInCalmSession.head(name), "Content-Length": "2"}.items():
            connection.putheader(field, value)
        connection.endheaders()
        connection.send(b"{")
        time.sleep(1.0)
        connection.send(b"}")

    @staticmethod
    def head(name):
        return {"Host": "api.example", "Attempt-Id": name, "Deadline-Ms": "8000",
                "Authorization": "Bearer key-1"}

    def check_gateway(self, hold_s, send, is_starved):
        gateway = self.start_gateway()
        for upstream in self.upstreams:
            upstream.hold_s = hold_s
        starved = Starved(gateway) if is_starved else None
        callers = Callers(gateway.http_port(), send)
        time.sleep(1.0)
        stopped_at = time.monotonic()
        gateway.send(signal.SIGTERM)
        try:
            gateway.wait(GRACE_S)
        finally:
            if starved:
                starved.end()
        attempts = callers.end()
        runs = [name for upstream in self.upstreams for name, _ in upstream.runs]
        self.judge(attempts, runs, stopped_at, gateway)

    def test_a_starved_gateway_answers_what_it_passed_on(self):
        self.check_gateway(0.2, self.send_once, True)

    def test_a_starved_gateway_answers_calls_that_take_most_of_the_time_left(self):
        self.check_gateway(3.6, self.send_once, True)

    def test_a_gateway_answers_or_refuses_what_is_longer_than_its_stop(self):
        self.check_gateway(6.5, self.send_once, False)

    def test_bodies_that_come_during_a_stop_are_answered_or_not_passed_on(self):
        self.check_gateway(0.5, self.send_once_slowly, False)

    # An entry.

    def start_entry(self, service_ms):
        for index in range(len(DOMAINS)):
            self.site.add_control(index)
        entry = self.site.add_entry(0)
        entry.settings["stop"] = {"notice_ms": int(1000 * NOTICE_S), "drain_ms": int(1000 * DRAIN_S)}
        for name in ("bay-0", "bay-1"):
            self.site.add_upstream(name, "d1", [], "service=bay", service_us=1000 * service_ms, slots=32)
        self.site.start_all()
        patch = {"selectors": {"bay": {"when": "service=bay", "upstreams": "service=bay",
                                       "idempotent": False, "time_limit_ms": 20000}}}
        self.site.wait_for(lambda: self.site.apply(patch, "first")[0] == 200, "the selector")
        self.site.wait_for_number(1)
        self.site.wait_for_upstreams("e1", 2)
        return entry

    def check_entry(self, service_ms, is_starved):
        entry = self.start_entry(service_ms)
        starved = Starved(entry) if is_starved else None
        callers = Callers(entry.http_port(), lambda connection, name: connection.request(
            "POST", "/services/bay/unlock", json.dumps({"bay": name})))
        time.sleep(1.0)
        stopped_at = time.monotonic()
        entry.send(signal.SIGTERM)
        try:
            entry.wait(GRACE_S)
        finally:
            if starved:
                starved.end()
        attempts = callers.end()
        runs = []
        for name in ("bay-0-engine", "bay-1-engine"):
            bodies = json.loads(self.site.call(name, "GET", "/runs")[2])["bodies"]
            runs += [json.loads(body)["bay"] for body in bodies]
        self.judge(attempts, runs, stopped_at, entry)

    def test_an_entry_answers_what_it_passed_on(self):
        self.check_entry(200, False)

    def test_a_starved_entry_answers_calls_that_take_most_of_the_time_left(self):
        self.check_entry(3600, True)


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
