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

    def test_callers_hear_at_once_when_all_upstreams_back_off(self):
        callers = Callers(self, "safe")
        time.sleep(0.3)
        begun = time.monotonic()
        for upstream in self.upstreams:
            upstream.retry_after = "%g" % BACKOFF_S
            upstream.refuses = True
        time.sleep(BACKOFF_S / 3)  # behind the first refusals, and before any wait would help
        told = len(callers.replies)
        time.sleep(0.3)
        hopeless = callers.replies[told:]
        for upstream in self.upstreams:
            upstream.refuses = False
        time.sleep(max(0.0, begun + 1.5 * BACKOFF_S - time.monotonic()))
        behind = len(callers.replies)
        time.sleep(1.0)
        replies = callers.end()
        for upstream in self.upstreams:
            self.check_backoffs(upstream)
        self.assertEqual({reply.status for reply in hopeless}, {503})
        self.assertLess(max(reply.took for reply in hopeless), 0.5)
        self.assertGreater(min(float(reply.retry_after) for reply in hopeless), BACKOFF_S / 3)
        self.assertEqual({reply.status for reply in replies[behind:]}, {200})
        refused = {request for upstream in self.upstreams for request, _ in upstream.refused}
        run = {request for upstream in self.upstreams for request, _ in upstream.arrivals}
        not_run = {reply.request for reply in replies if reply.status == 503}
        self.assertEqual(not_run & run, set())
        self.assertLess(len(refused & not_run), len(not_run) / 2, "most are refused without a try")

    def test_a_gateway_without_registries_heeds_notices(self):
        self.registry.kill()
        callers = Callers(self, "safe")
        time.sleep(0.3)
        backing_off, leaving = self.upstreams[:2]
        backing_off.retry_after = "%g" % BACKOFF_S
        backing_off.refuses = True
        leaving.says_leaving = True
        said_at = time.monotonic()
        time.sleep(BACKOFF_S + 0.5)
        self.assertEqual({reply.status for reply in callers.end()}, {200})
        self.check_backoffs(backing_off)
        self.assertEqual([when for _, when in leaving.arrivals if when > said_at + DRAIN_S], [])

    def test_backoffs_that_cannot_be_read_are_short_ones(self):
        refusing = self.upstreams[0]
        for value in ("soon", "-5", "1e99", ""):
            with self.subTest(value=value):
                callers = Callers(self, "safe")
                refusing.refused.clear()
                refusing.retry_after = value
                refusing.refuses = True
                time.sleep(2.5)
                refusing.refuses = False
                self.assertEqual({reply.status for reply in callers.end()}, {200})
                self.check_backoffs(refusing, 1.0)

    def test_a_new_incarnation_is_not_bound_by_what_the_old_one_said(self):
        renewed = self.upstreams[0]
        renewed.says_leaving = True
        renewed.retry_after = "60"
        callers = Callers(self, "safe")
        time.sleep(0.5)
        renewed.refuses = True
        time.sleep(0.5)
        renewed.refuses = renewed.says_leaving = False
        renewed.born = int(1000 * time.time())
        renewed.sequence = 0
        began = time.monotonic()
        self.site.wait_for(lambda: any(when > began for _, when in renewed.arrivals),
                           "requests at the new incarnation")
        time.sleep(1.0)
        self.assertEqual({reply.status for reply in callers.end()}, {200})


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
