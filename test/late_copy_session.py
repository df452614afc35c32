"""Second copies of answers that come late, ahead of the next answer on their connection, against a real gateway
and a real agent: none is taken for the answer to a later attempt or request."""

import argparse
import collections
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
from platform_standins import EVENTS, Upstream, call, configuration, process_settings  # noqa: E402

REQUESTS = 40
REFUSED_EACH = 4  # the others earn the budget of retries
WORK_S = 0.05


class RepeatingUpstream(Upstream):
    """Refuses the first attempt of each fourth request, and sends the refusal once more ahead of the next answer on its
    connection."""

    def __init__(self, *args):
        self.begun = collections.Counter()  # runs by request id
        self.attempts = collections.Counter()
        self.connections = collections.defaultdict(list)  # of a request's attempts, in order
        self.copies = 0
        self.lock = threading.Lock()
        super().__init__(*args)

    def serve(self, handler):
        request = handler.headers["Attempt-Id"]
        if handler.headers["Expect-Instance"] != self.name:
            return super().serve(handler)
        copy = handler.__dict__.pop("copy", None)
        if copy:
            handler.wfile.write(copy)
            handler.wfile.flush()
            self.copies += 1
        with self.lock:
            self.attempts[request] += 1
            refuses = self.attempts[request] == 1 and int(request.split("-")[1]) % REFUSED_EACH == 0
            self.connections[request].append(handler.client_address)
        if refuses:
            handler.copy = (b"HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + request.encode() +
                            b"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return self.answer(handler, 503, request, b"", [("Not-Executed", "1")])
        with self.lock:
            self.begun[request] += 1
        time.sleep(WORK_S)
        return super().serve(handler)


class LateCopySession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        link = "127.0.0.1:%d" % free_port()
        registrar = self.site.add("r0", "dewbeam-registrar", {
            **process_settings(self.site, "r0", [link]), "link": {"listen": link}, "found": True,
            "data_folder": os.path.join(folder.name, "data"), "stop": {"notice_ms": 0, "drain_ms": 2000}})
        self.gateway = self.site.add("g0", "dewbeam-gateway", {
            **process_settings(self.site, "g0", [link]), "link": {"listen": "127.0.0.1:%d" % free_port()},
            "readiness_listen": "127.0.0.1:%d" % free_port(), "stop": {"notice_ms": 300, "drain_ms": 4000}})
        for process in self.site.processes.values():
            process.start()
        self.upstream = RepeatingUpstream("i-0", "chat", [registrar.http_port()])
        self.addCleanup(self.upstream.stop)
        document = configuration(1)
        for route in document["routes"]:
            route["max-attempts"] = 3
        self.site.wait_for(lambda: call(registrar.http_port(), "PUT", "/-/config", json.dumps(document))[0] == 200,
                           "a configuration")
        self.site.wait_for(lambda: self.ask("safe", "first-1") is not None, "the gateway")

    def ask(self, kind, request):
        """The answer's status and body; nothing where the gateway isn't ready."""
        status, body = call(self.gateway.http_port(), "POST", "/%s/x" % kind, "{}", {
            "Host": "api.example", "Attempt-Id": request, "Authorization": "Bearer key-1", "Deadline-Ms": "4000"})
        return (status, body) if status in (200, 502, 503, 504) and "no_configuration" not in body else None

    def test_a_late_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_next_attempt(self):
        """Guards against requests that run twice, or are refused as not run and run."""
        for kind in ("once", "safe", "stream"):
            answers = {}
            for number in range(REQUESTS):
                request = "%s-%d" % (kind, number)
                answers[request] = self.ask(kind, request)
            run = self.upstream.begun
            if kind == "once":
                self.assertEqual([name for name in answers if run[name] > 1], [], "run twice")
            refused = [name for name, (status, _) in answers.items() if status == 503]
            self.assertEqual([name for name in refused if run[name] > 0], [], "refused and run")
            served = [name for name, (status, _) in answers.items() if status == 200]
            self.assertGreater(len(served), REQUESTS // 2)
            if kind == "stream":
                self.assertEqual({answers[name][1].count("data: ") for name in served}, {EVENTS})
        for request, used in self.upstream.connections.items():
            self.assertEqual(len(set(used)), len(used), "attempts of %s shared a connection" % request)
        self.assertGreater(self.upstream.copies, 0)


class RepeatingEngine:
    """A plain service that sends each of its answers twice, the second time ahead of the next answer."""

    def __init__(self, address):
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind(("127.0.0.1", int(address.rsplit(":", 1)[1])))
        self.server.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    @staticmethod
    def serve(connection):
        last = b""
        with connection, connection.makefile("rwb") as stream:
            try:
                while (line := stream.readline().split()):
                    length = 0
                    while (field := stream.readline().strip().lower()):
                        if field.startswith(b"content-length:"):
                            length = int(field.split(b":")[1])
                    stream.read(length)
                    body = b'{"name": "", "slots": 8}' if line[1] == b"/load" else line[1]
                    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                    stream.write(last + answer)
                    stream.flush()
                    last = b"" if line[1] == b"/load" else answer
            except OSError:
                pass  # the agent has closed

    def close(self):
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()


class LateCopyAtAgentSession(unittest.TestCase):
    def test_a_late_copy_of_an_answer_reaches_no_other_caller(self):
        """Guards against callers that get the answer to an earlier request."""
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            for index in range(3):
                site.add_control(index)
            site.add_entry(0)
            agent = site.add_upstream("bay-0", "d1", [], "service=bay")
            agent.settings["upstream"]["engine"] = ""
            del site.processes["bay-0-engine"]
            engine = RepeatingEngine(agent.settings["upstream"]["address"])
            self.addCleanup(engine.close)
            site.start_all()
            patch = {"selectors": {"bay": {"when": "service=bay", "upstreams": "service=bay"}}}
            site.wait_for(lambda: site.apply(patch, "first")[0] == 200, "the selector")
            site.wait_for_number(1)
            site.wait_for_upstreams("e1", 1)
            for number in range(REQUESTS):
                status, _, body = site.call("e1", "POST", "/services/bay/call-%d" % number, {})
                self.assertEqual((status, body.rsplit("/", 1)[-1]), (200, "call-%d" % number))


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST])
