"""Upstreams that stop inside the head of an answer and close, on new and on kept connections, before a gateway
and before an agent: no caller gets a success, and the next answers are whole."""

import argparse
import itertools
import json
import os
import socket
import struct
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
sys.path.insert(0, os.path.dirname(__file__))
from dewbeam_site import Site, free_port  # noqa: E402
from platform_standins import call, configuration, process_settings  # noqa: E402

UPSTREAMS = 4
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
FRAMES = {"length": b"Content-Length: 5\r\n", "chunks": b"Transfer-Encoding: chunked\r\n", "close": b""}
# Where an answer is cut: behind how many bytes, or before (BEFORE) or behind (BEHIND) the first place of a text.
BEFORE, BEHIND = 0, 1
CUTS = [(4, None), (9, None), (12, None), (b"\r\n", BEHIND), (b"ttempt", BEFORE), (b"stamp", BEFORE),
        (b"stamp", BEHIND), (b"\r\n\r\n", BEFORE), (-1, None)]
TRIES = 40


class CuttingUpstream:
    """Answers what names no cut whole, and sends the head of other answers up to their cut. Paths end in
    `/cut-FRAME-INTERIM-INDEX-END-NUMBER`."""

    def __init__(self, address=None):
        self.cuts = []  # plan, and whether the connection had carried an answer before
        self.keeps = True
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind(("127.0.0.1", int(address.rsplit(":", 1)[1]) if address else 0))
        self.server.listen(64)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        self.is_closed = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.is_closed:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection, connection.makefile("rb") as source:
            try:
                for count in itertools.count():
                    request = self.read(source)
                    if request is None or not self.answer(connection, *request, count > 0):
                        return
            except (OSError, ValueError):
                pass  # the other end went away

    @staticmethod
    def read(source):
        line = source.readline().split()
        if len(line) < 3:
            return None
        fields = {}
        while (field := source.readline().strip()):
            name, value = field.split(b":", 1)
            fields[name.lower()] = value.strip()
        source.read(int(fields.get(b"content-length", 0)))
        return line[1].decode(), fields

    def answer(self, connection, path, fields, was_used):
        """Whether the connection goes on."""
        if path == "/load":
            body = b'{"name": "", "slots": 8, "incarnation": 1}'
        else:
            body = b"whole"
        plan = path.rsplit("/", 1)[1]
        parts = plan.split("-")
        is_cut = parts[0] == "cut"
        head = self.head(fields, parts[1] if is_cut else "length", len(body))
        if not is_cut:
            keeps = self.keeps or path == "/load"
            connection.sendall(head + (b"" if keeps else b"Connection: close\r\n") + b"\r\n" + body)
            return keeps
        self.cuts.append((plan, was_used))
        if parts[2] == "interim":
            connection.sendall(INTERIM)
        connection.sendall(self.until_cut(head + b"\r\n", *CUTS[int(parts[3])]))
        time.sleep(0.005)  # what was sent is read before a reset discards it
        if parts[4] == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False

    @staticmethod
    def head(fields, frame, length):
        framing = FRAMES[frame].replace(b"5", b"%d" % length)
        return (b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + framing + b"Attempt-Id: " +
                fields.get(b"attempt-id", b"") + b"\r\nResponse-Stamp: stamp\r\n")

    @staticmethod
    def until_cut(head, place, side):
        if side is None:
            return head[:place]
        return head[:head.index(place) + (len(place) if side == BEHIND else 0)]

    def close(self):
        self.is_closed = True
        self.server.close()


class CutHeadSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.work = folder.name
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        self.upstreams = []
        self.count = itertools.count()

    def add_upstream(self, address=None):
        self.upstreams.append(CuttingUpstream(address))
        self.addCleanup(self.upstreams[-1].close)
        return self.upstreams[-1]

    def play(self, ask, kinds):
        """Each cut on a new and on a kept connection. `ask(kind, name)` gives status and body."""
        kind_of = itertools.cycle(kinds)
        for keeps in (False, True):
            for upstream in self.upstreams:
                upstream.keeps = keeps
            for frame, prefix, end, index in itertools.product(FRAMES, ("plain", "interim"), ("fin", "reset"),
                                                               range(len(CUTS))):
                self.play_cut(ask, next(kind_of), "cut-%s-%s-%d-%s" % (frame, prefix, index, end), keeps)

    def play_cut(self, ask, kind, plan, keeps):
        for _ in range(TRIES):
            for _ in range(2):
                status, body = ask(kind, "sound-%d" % next(self.count))
                self.assertIn(status, (200, 502, 503))  # an upstream that failed may be left alone for a while
                if status == 200:
                    self.assertEqual(body, "whole", "behind " + plan)
            before = sum(len(upstream.cuts) for upstream in self.upstreams)
            status, body = ask(kind, "%s-%d" % (plan, next(self.count)))  # none is like an earlier one
            self.assertGreaterEqual(status, 500, "%s of %s: %r" % (plan, kind, body))
            cuts = [cut for upstream in self.upstreams for cut in upstream.cuts]
            if len(cuts) > before and any(was_used == keeps for _, was_used in cuts):
                for upstream in self.upstreams:
                    upstream.cuts.clear()
                return
            time.sleep(0.05)
        self.fail("%s was never cut on a %s connection" % (plan, "kept" if keeps else "new"))

    def test_a_gateway_passes_no_answer_on_whose_head_was_cut(self):
        link = "127.0.0.1:%d" % free_port()
        registrar = self.site.add("r0", "dewbeam-registrar", {
            **process_settings(self.site, "r0", [link]), "link": {"listen": link}, "found": True,
            "data_folder": os.path.join(self.work, "data"), "stop": {"notice_ms": 0, "drain_ms": 2000}})
        gateway = self.site.add("g0", "dewbeam-gateway", {
            **process_settings(self.site, "g0", [link]), "link": {"listen": "127.0.0.1:%d" % free_port()},
            "readiness_listen": "127.0.0.1:%d" % free_port(), "stop": {"notice_ms": 300, "drain_ms": 4000}})
        for process in self.site.processes.values():
            process.start()
        for index in range(UPSTREAMS):
            self.announce(registrar.http_port(), index, self.add_upstream())
        document = json.dumps(configuration(1))
        self.site.wait_for(lambda: call(registrar.http_port(), "PUT", "/-/config", document)[0] == 200,
                           "a configuration")
        ids = itertools.count()

        def ask(kind, name):
            return call(gateway.http_port(), "POST", "/%s/%s" % (kind, name), "{}", {
                "Host": "api.example", "Attempt-Id": "c%d" % next(ids), "Authorization": "Bearer key-1",
                "Deadline-Ms": "4000"})

        self.site.wait_for(lambda: ask("safe", "sound")[0] == 200, "the gateway")
        self.play(ask, ("safe", "once"))

    def announce(self, port, index, upstream):
        def beat():
            for sequence in itertools.count(1):
                if upstream.is_closed:
                    return
                call(port, "PUT", "/-/instances/i-%d" % index, json.dumps(
                    {"service": "chat", "address": upstream.address, "zone": "z1", "version": "v1", "slots": 8,
                     "state": "ready", "sequence": sequence, "cold-remaining-ms": 0}))
                time.sleep(0.3)

        threading.Thread(target=beat, daemon=True).start()

    def test_an_agent_passes_no_answer_on_whose_head_was_cut(self):
        for index in range(3):
            self.site.add_control(index)
        self.site.add_entry(0)
        for index in range(UPSTREAMS):
            agent = self.site.add_upstream("bay-%d" % index, "d1", [], "service=bay")
            agent.settings["upstream"].update({"engine": "", "kept_connections": 8})
            del self.site.processes["bay-%d-engine" % index]
            self.add_upstream(agent.settings["upstream"]["address"])
        self.site.start_all()
        patch = {"selectors": {"bay": {"when": "service=bay", "upstreams": "service=bay"}}}
        self.site.wait_for(lambda: self.site.apply(patch, "first")[0] == 200, "the selector")
        self.site.wait_for_number(1)
        self.site.wait_for_upstreams("e1", UPSTREAMS)

        def ask(_, name):
            status, _, body = self.site.call("e1", "POST", "/services/bay/" + name, {})
            return status, body

        self.site.wait_for(lambda: ask("", "sound")[0] == 200, "the entry")
        self.play(ask, ("plain",))


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
