"""Bytes that no dewbeam program and no sound upstream sends, against real registrars and gateways: each is
refused for itself, and nothing that it came with or after is lost."""

import argparse
import json
import os
import socket
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
sys.path.insert(0, os.path.dirname(__file__))
from dewbeam_site import Site, free_port  # noqa: E402
from platform_standins import Upstream, call, configuration, process_settings  # noqa: E402

REGISTRIES = 3
MOST_CONNECTIONS = 64
NESTING = 100_000


def exchange(port, head, body=b"", limit_s=5.0):
    """Sends a request as it is, and gives the answer's status, 0 where there is none, and its body."""
    try:
        with socket.create_connection(("127.0.0.1", port), limit_s) as connection:
            connection.sendall(head + b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body)
            answer = b""
            while piece := connection.recv(65536):
                answer += piece
    except OSError:
        return 0, b""
    if b"\r\n\r\n" not in answer:
        return 0, answer
    status, rest = answer.split(b" ", 2)[1], answer.split(b"\r\n\r\n", 1)[1]
    return int(status), rest


class ForeignInputSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        links = ["127.0.0.1:%d" % free_port() for _ in range(REGISTRIES)]
        self.registrars = []
        for index, link in enumerate(links):
            settings = process_settings(self.site, "r%d" % index, links)
            settings["http"]["most_connections"] = MOST_CONNECTIONS
            self.registrars.append(self.site.add("r%d" % index, "dewbeam-registrar", {
                **settings, "link": {"listen": link}, "found": True,
                "data_folder": os.path.join(folder.name, "data-r%d" % index),
                "stop": {"notice_ms": 0, "drain_ms": 2000}}))
        self.gateway = self.site.add("g0", "dewbeam-gateway", {
            **process_settings(self.site, "g0", links), "link": {"listen": "127.0.0.1:%d" % free_port()},
            "readiness_listen": "127.0.0.1:%d" % free_port(), "stop": {"notice_ms": 300, "drain_ms": 4000}})
        for process in self.site.processes.values():
            process.start()
        self.ports = [registrar.http_port() for registrar in self.registrars]
        self.chat = Upstream("i-chat", "chat", self.ports)
        self.other = Upstream("i-other", "other", self.ports)
        for upstream in (self.chat, self.other):
            self.addCleanup(upstream.stop)
        self.site.wait_for(lambda: self.configure(1, "chat") == 200, "a quorum")
        self.last_request = 0
        self.site.wait_for(lambda: self.ask() == 200, "the gateway")

    def configure(self, version, service):
        sent = configuration(version)
        sent["services"].append({**sent["services"][0], "name": "other"})
        for route in sent["routes"]:
            route["service"] = service
        return call(self.ports[0], "PUT", "/-/config", json.dumps(sent))[0]

    def ask(self):
        self.last_request += 1
        head = {"Host": "api.example", "Attempt-Id": "f%d" % self.last_request, "Authorization": "Bearer key-1",
                "Deadline-Ms": "4000"}
        return call(self.gateway.http_port(), "GET", "/safe/x", fields=head)[0]

    @staticmethod
    def heartbeat(slots="4", sequence=1):
        body = json.dumps({"service": "chat", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": None,
                           "state": "ready", "sequence": sequence, "cold-remaining-ms": 0}, ensure_ascii=False)
        return body.replace("null", slots).encode()

    def announce(self, port, body, name=b"i-foreign"):
        return exchange(port, b"PUT /-/instances/" + name + b" HTTP/1.1\r\nHost: r\r\n", body)

    def check_all_run(self):
        for process in self.site.processes.values():
            self.assertTrue(process.is_running(), process.name)
        self.assertEqual(self.ask(), 200)

    def test_a_deeply_nested_heartbeat_is_refused_and_ends_no_registrar(self):
        """Guards against an error message whose making exhausts the stack."""
        for slots in ("[" * NESTING + "]" * NESTING, '{"a":' * NESTING + "1" + "}" * NESTING, "[" * NESTING):
            for port in self.ports:
                status, body = self.announce(port, self.heartbeat(slots))
                self.assertEqual(status, 400, body[:200])
                self.assertEqual(json.loads(body)["error"]["code"], "invalid_announcement")
        nested = json.dumps(configuration(2)).replace('"chat"', "[" * NESTING + "]" * NESTING)
        self.assertEqual(call(self.ports[0], "PUT", "/-/config", nested)[0], 400)
        self.check_all_run()

    def test_refused_heartbeats_keep_no_connection_and_delay_no_stop(self):
        """Guards against an exception in an exchange that keeps the place of its connection."""
        for port in self.ports:
            for _ in range(2 * MOST_CONNECTIONS):
                status, body = self.announce(port, self.heartbeat('"' + 40 * "\u00e9" + '"'))
                self.assertEqual(status, 400, body)
                self.assertIn("/slots", json.loads(body)["error"]["message"])
            status, body = exchange(port, b"POST /-/evacuations/\xff HTTP/1.1\r\nHost: r\r\n")
            self.assertIn(status, (400, 422), body)
            json.loads(body)
        head = b"GET /safe/x HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: f\r\nDeadline-Ms: \xe9\r\n"
        status, body = exchange(self.gateway.http_port(), head)
        self.assertEqual((status, json.loads(body)["error"]["code"]), (400, "bad_request"))
        self.check_all_run()
        for process in self.site.processes.values():
            self.assertEqual(process.stop(), 0, process.name)

    def test_a_heartbeat_with_an_unreadable_id_keeps_no_gateway_from_configurations(self):
        """Guards against one record that no receiver of the registry's messages can parse."""
        for sequence in range(1, 4):
            for port in self.ports:
                for name in (b"i-caf\xe9", b"i-\xff\xfe", b"i" * 300):
                    status, body = self.announce(port, self.heartbeat(sequence=sequence), name)
                    self.assertEqual(status, 400, body)
                    self.assertEqual(json.loads(body)["error"]["code"], "invalid_name")
        self.assertEqual(self.configure(2, "other"), 200)
        self.site.wait_for(lambda: self.ask() == 200 and len(self.other.runs) > 0, "the new configuration", 5.0)
        self.gateway.kill()
        self.gateway.start()
        self.site.wait_for(lambda: self.ask() == 200, "a gateway that starts anew")
        for port in self.ports:
            page = json.loads(call(port, "GET", "/v1/status")[1])
            self.assertEqual({item["name"] for item in page["upstreams"]}, {"i-chat", "i-other"})
            self.assertEqual(page["unreadable_messages"], 0)


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST])
