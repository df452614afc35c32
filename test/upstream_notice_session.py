"""Upstreams that say in their answers that they want no requests: for a while, or since they leave."""

import argparse
import collections
import http.client
import itertools
import json
import os
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
sys.path.insert(0, os.path.dirname(__file__))
from dewbeam_site import Site, free_port  # noqa: E402
from platform_standins import Upstream, call, configuration, process_settings  # noqa: E402

GATEWAYS = 2
UPSTREAMS = 4
CALLERS = 4  # of each gateway
BACKOFF_S = 3.0
GRACE_S = 0.5  # for requests that are on their way when an upstream asks for a backoff
MOST_IN_BACKOFF = 2  # requests of one gateway behind the grace
DRAIN_S = 2.0  # for requests that are on their way to an upstream that leaves

Reply = collections.namedtuple("Reply", "request status retry_after took")


class Callers:
    """Callers of all gateways, each with one request after the other, until `end`."""

    def __init__(self, session, kind, pause_s=0.01):
        self.session, self.kind, self.pause_s = session, kind, pause_s
        self.stop = threading.Event()
        self.replies = []
        self.threads = [threading.Thread(target=self.run, args=(gateway,), daemon=True)
                        for gateway in range(GATEWAYS) for _ in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, gateway):
        while not self.stop.wait(self.pause_s):
            self.replies.append(self.session.ask(self.kind, gateway))

    def end(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()
        return self.replies


class UpstreamNoticeSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        link = "127.0.0.1:%d" % free_port()
        self.registry = self.site.add("r0", "dewbeam-registrar", {
            **process_settings(self.site, "r0", [link]), "link": {"listen": link}, "found": True,
            "data_folder": os.path.join(folder.name, "data"), "stop": {"notice_ms": 0, "drain_ms": 2000}})
        self.gateways = [self.site.add("g%d" % index, "dewbeam-gateway", {
            **process_settings(self.site, "g%d" % index, [link]),
            "link": {"listen": "127.0.0.1:%d" % free_port()},
            "readiness_listen": "127.0.0.1:%d" % free_port(),
            "stop": {"notice_ms": 300, "drain_ms": 4000}}) for index in range(GATEWAYS)]
        for process in self.site.processes.values():
            process.start()
        port = self.registry.http_port()
        self.upstreams = [Upstream("i-%d" % index, "chat", [port]) for index in range(UPSTREAMS)]
        for upstream in self.upstreams:
            self.addCleanup(upstream.stop)
        document = json.dumps(configuration(1))
        self.site.wait_for(lambda: call(port, "PUT", "/-/config", document)[0] == 200, "a configuration")
        self.site.wait_for(lambda: all(map(self.knows_all, self.gateways)), "the gateways")
        self.count = itertools.count()

    def knows_all(self, gateway):
        status, body = self.page(gateway, "/v1/status")
        page = json.loads(body) if status == 200 else {"revision": 0, "upstreams": []}
        return page["revision"] > 0 and len(page["upstreams"]) >= UPSTREAMS

    @staticmethod
    def page(gateway, path):
        return call(int(gateway.settings["readiness_listen"].rsplit(":", 1)[1]), "GET", path)

    def ask(self, kind, gateway):
        request = "g%d-%s-%d" % (gateway, kind, next(self.count))
        connection = http.client.HTTPConnection("127.0.0.1", self.gateways[gateway].http_port(), timeout=8.0)
        begun = time.monotonic()
        try:
            connection.request("POST", "/%s/%s" % (kind, request), "{}", {
                "Host": "api.example", "Attempt-Id": request, "Authorization": "Bearer key-1",
                "Deadline-Ms": "4000"})
            answer = connection.getresponse()
            answer.read()
            return Reply(request, answer.status, answer.headers["Retry-After"], time.monotonic() - begun)
        except (OSError, http.client.HTTPException):
            return Reply(request, 0, None, time.monotonic() - begun)
        finally:
            connection.close()

    def arrivals(self, upstream, gateway):
        """When requests of a gateway came to an upstream."""
        return sorted(when for request, when in upstream.arrivals + upstream.refused
                      if request.startswith("g%d-" % gateway))

    def check_backoffs(self, upstream, span_s=BACKOFF_S):
        """No gateway sent more than the platform allows between a refusal and the end of its backoff."""
        for gateway in range(GATEWAYS):
            arrivals = self.arrivals(upstream, gateway)
            refusals = [when for request, when in upstream.refused if request.startswith("g%d-" % gateway)]
            self.assertNotEqual(refusals, [], "gateway %d was never refused" % gateway)
            counts = [sum(at + GRACE_S < when < at + span_s for when in arrivals) for at in refusals]
            self.assertLessEqual(max(counts), MOST_IN_BACKOFF, "from gateway %d: %s" % (gateway, counts))

    def test_an_upstream_that_asked_for_a_backoff_gets_no_requests_before_its_end(self):
        for upstream, kind in zip(self.upstreams, ("safe", "stream", "once")):
            with self.subTest(kind=kind):
                callers = Callers(self, kind)
                upstream.retry_after = "%g" % BACKOFF_S
                upstream.refuses = True
                time.sleep(2.0 * BACKOFF_S)
                upstream.refuses = False
                replies = callers.end()
                self.check_backoffs(upstream)
                refused = [reply for reply in replies if reply.status != 200]
                self.assertEqual(refused, [], "three upstreams were idle")

    def test_an_upstream_that_says_it_leaves_gets_no_new_requests(self):
        leaving = self.upstreams[0]
        callers = Callers(self, "safe")
        time.sleep(0.5)
        leaving.says_leaving = True  # and it still announces itself as ready
        said_at = time.monotonic()
        time.sleep(2.0 * DRAIN_S)
        replies = callers.end()
        self.assertEqual({reply.status for reply in replies}, {200})
        late = [when - said_at for _, when in leaving.arrivals if when > said_at + DRAIN_S]
        self.assertEqual(late, [])


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
