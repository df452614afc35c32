"""Gateways beside registrars that don't know yet which configuration was acknowledged last."""

import argparse
import json
import os
import signal
import sys
import tempfile
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "..", "tool"), HERE]
from dewbeam_site import Site, free_port  # noqa: E402
from platform_standins import Upstream, call, configuration, process_settings  # noqa: E402

REGISTRARS = 3
SYNC_S = 0.3  # until what a registrar has applied is on its disk
FRESH_S = 1.0  # in which only a confirmation that is no older than the start counts
ASK_S = 6.0  # beyond the time for which a gateway waits for a confirmation at its start


def second_configuration():
    """Adds a route and a key."""
    result = configuration(2)
    result["routes"].append({**result["routes"][2], "name": "added", "path-prefix": "/added/"})
    result["tenants"].append({"name": "t2", "api-keys": ["key-2"]})
    return result


class UnconfirmedConfiguration(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        links = ["127.0.0.1:%d" % free_port() for _ in range(REGISTRARS)]
        self.registrars = ["r%d" % index for index in range(REGISTRARS)]
        for name, link in zip(self.registrars, links):
            self.site.add(name, "dewbeam-registrar", {
                **process_settings(self.site, name, links), "link": {"listen": link},
                "data_folder": os.path.join(folder.name, "data-" + name), "found": True,
                "stop": {"notice_ms": 0, "drain_ms": 2000}})
        self.page_port = free_port()
        self.site.add("g0", "dewbeam-gateway", {
            **process_settings(self.site, "g0", links),
            "readiness_listen": "127.0.0.1:%d" % self.page_port,
            "link": {"listen": "127.0.0.1:%d" % free_port()},
            "stop": {"notice_ms": 300, "drain_ms": 4000}})
        for name in self.registrars:
            self.site.processes[name].start()
        self.ports = [self.site.processes[name].http_port() for name in self.registrars]
        self.upstream = Upstream("i-0", "chat", self.ports)
        self.addCleanup(self.upstream.stop)
        self.requests = 0

    def put(self, document):
        def is_acknowledged():
            return any(call(port, "PUT", "/-/config", json.dumps(document))[0] == 200
                       for port in self.ports)
        self.site.wait_for(is_acknowledged, "version %d" % document["version"])

    def ask(self, path, key):
        self.requests += 1
        port = self.site.processes["g0"].http_port()
        return call(port, "POST", path, "{}", {
            "Host": "api.example", "Attempt-Id": "req-%d" % self.requests, "Deadline-Ms": "2000",
            "Authorization": "Bearer " + key})[0]

    def status(self):
        status, body = call(self.page_port, "GET", "/v1/status")
        return json.loads(body) if status == 200 else {"registries": 0, "revision": 0}

    def start_beside_an_outdated_registrar(self):
        """All processes are lost behind an acknowledged change that one registrar did not get; that one
        and the gateway start first."""
        self.put(configuration(1))
        self.site.wait_for(lambda: json.loads(call(self.ports[0], "GET", "/v1/status")[1])
                           ["revision"] == 1, "the older revision at a registrar")
        time.sleep(SYNC_S)
        self.site.processes["r0"].kill()
        self.put(second_configuration())
        for name in self.registrars[1:]:
            self.site.processes[name].kill()
        for name in ("r0", "g0"):
            self.site.processes[name].start()
        self.site.wait_for(lambda: self.status()["revision"] == 1, "the older revision at the gateway")

    def test_refuses_nothing_by_a_revision_that_no_quorum_confirmed(self):
        self.start_beside_an_outdated_registrar()
        begun, seen = time.monotonic(), set()
        while time.monotonic() < begun + ASK_S:
            seen |= {self.ask("/added/x", "key-1"), self.ask("/safe/x", "key-2")}
        self.assertEqual(seen, {503})
        for name in self.registrars[1:]:
            self.site.processes[name].start()
        self.site.wait_for(lambda: self.ask("/added/x", "key-1") == 200, "the added route")
        self.site.wait_for(lambda: self.ask("/safe/x", "key-2") == 200, "the added key")
        self.site.wait_for(lambda: self.ask("/nowhere/x", "key-1") == 404, "a refusal by a quorum's word")
        self.assertEqual(self.ask("/safe/x", "key-3"), 401)

    def test_serves_by_an_unconfirmed_revision_where_no_quorum_comes(self):
        self.start_beside_an_outdated_registrar()
        self.site.wait_for(lambda: self.ask("/safe/x", "key-1") == 200, "the old route")

    def test_a_confirmation_from_before_the_start_puts_nothing_in_force_at_once(self):
        self.put(configuration(1))
        self.site.wait_for(lambda: all(json.loads(call(port, "GET", "/v1/status")[1])["revision"] == 1
                                       for port in self.ports), "the first revision at all registrars")
        self.site.wait_for(lambda: json.loads(call(self.ports[0], "GET", "/v1/status")[1])["caught_up"],
                           "a confirmation")
        self.site.processes["r0"].child.send_signal(signal.SIGSTOP)
        changed = dict(second_configuration())
        self.site.wait_for(lambda: any(call(port, "PUT", "/-/config", json.dumps(changed))[0] == 200
                                       for port in self.ports[1:]), "version 2")
        time.sleep(3.0)
        for name in self.registrars[1:]:
            self.site.processes[name].child.send_signal(signal.SIGSTOP)
        try:
            self.site.processes["r0"].child.send_signal(signal.SIGCONT)
            time.sleep(0.5)
            begun = time.monotonic()
            self.site.processes["g0"].start()
            self.site.wait_for(lambda: self.ask("/safe/x", "key-1") == 200, "the old route")
            self.assertGreater(time.monotonic() - begun, FRESH_S)
        finally:
            for name in self.registrars:
                self.site.processes[name].child.send_signal(signal.SIGCONT)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest], verbosity=2)
