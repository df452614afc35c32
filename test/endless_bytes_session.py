"""Upstreams that send bytes without end, in a head or a body: a gateway closes, keeps its memory, serves the
request elsewhere, and the others' requests as ever."""

import argparse
import http.client
import itertools
import json
import os
import socket
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
sys.path.insert(0, os.path.dirname(__file__))
from dewbeam_site import Site, free_port  # noqa: E402
from platform_standins import (EVENTS, FloodingUpstream, GarbageListener, call,  # noqa: E402
                               configuration, process_settings, read_pieces)

UPSTREAMS = 6
INNOCENTS = 12  # before each case, so that the shared retries last
MOST_MEMORY_KB = 160 * 1024  # of a gateway's host
MOST_CROWDED_MEMORY_KB = 260 * 1024  # of a gateway's host with `CROWD` such answers at once
CROWD = 100
IDLE_CALLERS = 500
MOST_ANSWER_BYTES = 16 * 1024 * 1024  # default of `/answers/most_bytes`
MOST_EVENT_BYTES = 256 * 1024  # default of `/answers/most_event_bytes`
IN_FLIGHT_BYTES = 16 * 1024 * 1024  # in the buffers of both ends of a loopback connection
TIME_LIMIT_S = 4.0
HEADS = ("interim", "head", "garbage")
BODIES = ("chunks", "unframed")
STREAMS = ("line", "event", "comments", "linelater", "eventlater", "commentslater")


class Innocents(threading.Thread):
    """Short requests, one after the other, until `end`."""

    def __init__(self, session):
        super().__init__(daemon=True)
        self.session, self.stop, self.answers = session, threading.Event(), []
        self.start()

    def run(self):
        while not self.stop.wait(0.02):
            begun = time.monotonic()
            status, _, _ = self.session.ask("safe", "x")
            self.answers.append((status, time.monotonic() - begun))

    def end(self):
        self.stop.set()
        self.join()
        return self.answers


class EndlessBytesSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        link = "127.0.0.1:%d" % free_port()
        self.site.add("r0", "dewbeam-registrar", {
            **self.common("r0", link), "link": {"listen": link}, "found": True,
            "data_folder": os.path.join(folder.name, "data"), "stop": {"notice_ms": 0, "drain_ms": 2000}})
        self.site.add("g0", "dewbeam-gateway", {
            **self.common("g0", link), "link": {"listen": "127.0.0.1:%d" % free_port()},
            "readiness_listen": "127.0.0.1:%d" % free_port(),
            "stop": {"notice_ms": 300, "drain_ms": 4000}})
        for process in self.site.processes.values():
            process.start()
        port = self.site.processes["r0"].http_port()
        begun = {}
        self.upstreams = [FloodingUpstream("i-%d" % i, "chat", [port], begun) for i in range(UPSTREAMS)]
        for upstream in self.upstreams:
            self.addCleanup(upstream.stop)
        document = json.dumps(configuration(1))
        self.site.wait_for(lambda: call(port, "PUT", "/-/config", document)[0] == 200, "a configuration")
        self.site.wait_for(self.knows_all, "the gateway")
        self.count = itertools.count()

    def common(self, name, link):
        return process_settings(self.site, name, [link])

    def knows_all(self):
        listen = self.site.processes["g0"].settings["readiness_listen"]
        status, body = call(int(listen.rsplit(":", 1)[1]), "GET", "/v1/status")
        page = json.loads(body) if status == 200 else {"revision": 0, "upstreams": []}
        return page["revision"] > 0 and len(page["upstreams"]) >= UPSTREAMS

    def ask(self, kind, plan):
        """One request: its status, body, and whether the caller has it whole."""
        request = "%s-%s-%d" % (kind, plan, next(self.count))
        status, body = 0, b""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.site.processes["g0"].http_port(), timeout=2 * TIME_LIMIT_S)
        try:
            connection.request("POST", "/%s/%s/%s" % (kind, plan, request), "{}", {
                "Host": "api.example", "Attempt-Id": request, "Authorization": "Bearer key-1",
                "Deadline-Ms": str(int(1000 * TIME_LIMIT_S))})
            answer = connection.getresponse()
            status = answer.status
            for piece in read_pieces(answer):
                body += piece
            return status, body, True
        except (OSError, http.client.HTTPException):
            return status, body, False
        finally:
            connection.close()

    def ask_after_innocents(self, kind, plan):
        for _ in range(INNOCENTS):
            self.assertEqual(self.ask("safe", "x")[0], 200)
        begun = time.monotonic()
        status, body, is_whole = self.ask(kind, plan)
        return status, body, is_whole, time.monotonic() - begun

    def most_memory_kb(self):
        with open("/proc/%d/status" % self.site.processes["g0"].child.pid, encoding="ascii") as page:
            return next(int(line.split()[1]) for line in page if line.startswith("VmHWM"))

    def take_flooded(self):
        """Bytes that each upstream could send until the gateway closed."""
        self.site.wait_for(lambda: any(one.flooded for one in self.upstreams), "the end of a flood")
        return [one.flooded.pop() for one in self.upstreams if one.flooded]

    def check_served_elsewhere(self, kind, what, most_bytes, most_s):
        with self.subTest("%s %s" % (kind, what)):
            innocents = Innocents(self)
            status, body, is_whole, took = self.ask_after_innocents(kind, what + "-1")
            answers = innocents.end()
            self.assertTrue(is_whole and status == 200, (status, is_whole, body[-80:]))
            if kind == "stream":
                self.assertEqual(b"".join(b"id: %d\ndata: word-%d\n\n" % (i, i)
                                          for i in range(1, EVENTS + 1)), self.without_comments(body))
            self.assertLess(took, most_s)
            self.assertLess(max(self.take_flooded()), most_bytes + IN_FLIGHT_BYTES)
            self.assertLess(self.most_memory_kb(), MOST_MEMORY_KB)
            self.assertEqual([one for one in answers if one[0] != 200 or one[1] > 1.0], [])

    @staticmethod
    def without_comments(body):
        return b"".join(event + b"\n\n" for event in body.split(b"\n\n")
                        if event.strip() and not event.lstrip().startswith(b":"))

    def test_a_head_without_end_is_closed_and_served_elsewhere(self):
        for kind, what in itertools.product(("safe", "stream"), HEADS):
            self.check_served_elsewhere(kind, what, 1024 * 1024, 1.0)

    def test_a_plain_body_without_end_is_closed_and_served_elsewhere(self):
        for what in BODIES:
            self.check_served_elsewhere("safe", what, MOST_ANSWER_BYTES, 2.0)

    def test_a_stream_without_end_of_an_event_is_closed_and_resumed(self):
        for what in STREAMS:
            self.check_served_elsewhere("stream", what, MOST_EVENT_BYTES, 1.0)

    def test_what_may_run_once_is_ended_and_not_said_not_to_have_run(self):
        for what in HEADS + BODIES:
            with self.subTest(what):
                status, _, _, took = self.ask_after_innocents("once", what + "-1")
                self.assertIn(status, (502, 504))
                self.assertLess(took, 2.0)

    def test_a_request_that_is_flooded_everywhere_is_ended_before_its_time_limit(self):
        for kind, what in itertools.product(("safe", "stream"), HEADS):
            with self.subTest("%s %s" % (kind, what)):
                status, _, _, took = self.ask_after_innocents(kind, what + "-9")
                self.assertIn(status, (502, 504))
                self.assertLess(took, 2.0)
        status, body, is_whole, _ = self.ask_after_innocents("stream", "eventlater-9")
        self.assertFalse(is_whole and status == 200, body[-80:])

    def test_many_floods_at_once_leave_memory_and_the_others(self):
        for kind, what in (("safe", "chunks"), ("stream", "line"), ("stream", "eventlater")):
            with self.subTest("%s %s" % (kind, what)):
                innocents = Innocents(self)
                threads = [threading.Thread(target=self.ask, args=(kind, what + "-9")) for _ in range(24)]
                for one in threads:
                    one.start()
                for one in threads:
                    one.join()
                answers = innocents.end()
                self.assertLess(self.most_memory_kb(), MOST_MEMORY_KB)
                self.assertEqual([one for one in answers if one[0] != 200], [])

    def crowd(self, kinds):
        """`CROWD` endless answers at once; returns the innocents' answers."""
        for upstream in self.upstreams:
            upstream.slots = CROWD
        time.sleep(0.7)  # two announcements
        innocents = Innocents(self)
        plans = itertools.islice(itertools.cycle(kinds), CROWD)
        threads = [threading.Thread(target=self.ask, args=(kind, what + "-9")) for kind, what in plans]
        for one in threads:
            one.start()
        for one in threads:
            one.join()
        return innocents.end()

    def test_a_hundred_endless_answers_at_once_leave_memory(self):
        plain = [(kind, what) for kind in ("safe", "once") for what in HEADS + BODIES]
        streams = [("stream", what) for what in HEADS + STREAMS]
        for name, kinds in (("plain", plain), ("streams", streams), ("bodies", [("safe", "chunks")])):
            with self.subTest(name):
                answers = self.crowd(kinds)
                self.assertTrue(self.site.processes["g0"].is_running())
                self.assertLess(self.most_memory_kb(), MOST_CROWDED_MEMORY_KB)
                self.assertEqual({status for status, _ in answers} - {200, 502, 503, 504}, set())
                self.assertEqual(self.ask("safe", "x")[0], 200)

    def test_many_idle_callers_beside_a_hundred_endless_answers_leave_memory(self):
        port = self.site.processes["g0"].http_port()
        for _ in range(IDLE_CALLERS):
            caller = socket.create_connection(("127.0.0.1", port), timeout=5.0)
            self.addCleanup(caller.close)
            caller.sendall(b"POST /safe/x HTTP/1.1\r\nHost: api.example\r\n")
        self.crowd([("safe", "chunks"), ("stream", "line"), ("stream", "eventlater")])
        self.assertLess(self.most_memory_kb(), MOST_CROWDED_MEMORY_KB)
        self.assertEqual(self.ask("safe", "x")[0], 200)

    def test_garbage_at_every_upstream_leaves_memory(self):
        listeners = [GarbageListener() for _ in self.upstreams]
        for upstream, listener in zip(self.upstreams, listeners):
            self.addCleanup(listener.close)
            upstream.server.shutdown()
            upstream.server.server_close()
            upstream.address = listener.address
        time.sleep(1.0)
        threads = [threading.Thread(target=self.ask, args=(kind, "x"))
                   for kind in ("safe", "once", "stream") for _ in range(CROWD // 3)]
        for one in threads:
            one.start()
        for one in threads:
            one.join()
        taken = [count for listener in listeners for count in listener.taken]
        self.assertGreater(len(taken), 0)
        self.assertLess(max(taken), 1024 * 1024 + IN_FLIGHT_BYTES)
        self.assertTrue(self.site.processes["g0"].is_running())
        self.assertLess(self.most_memory_kb(), MOST_MEMORY_KB)


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
