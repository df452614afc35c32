"""A site of gateways and registrars over upstreams that end and come back, for sessions about what
ends them."""

import json
import os
import tempfile
import threading
import time
import unittest

from dewbeam_site import Site, free_port
from platform_standins import MortalUpstream, call, configuration, process_settings
from soak.deadly import MOST_LATE, SETTLED_S

GATEWAYS = 6
REGISTRIES = 3
UPSTREAMS = 6
SPAN_S = 14.0


class Repeater(threading.Thread):
    """Sends copies of a request to the gateways in turn."""

    def __init__(self, session, path, pause_s, name):
        super().__init__(daemon=True)
        self.session, self.path, self.pause_s, self.name = session, path, pause_s, name
        self.stop = threading.Event()
        self.answers = []  # (sent at, took, status, body)
        self.calls = []
        self.start()

    def run(self):
        index = 0
        while not self.stop.wait(self.pause_s):
            self.calls.append(threading.Thread(target=self.send, args=(index,)))
            self.calls[-1].start()
            index += 1

    def send(self, index):
        gateway = index % self.session.gateway_count
        begun = time.monotonic()
        status, body = self.ask(index, gateway, "%s-%d" % (self.name, index))
        took = time.monotonic() - self.session.seen_from(begun, gateway)
        self.answers.append((begun, took, status, body))

    def ask(self, index, gateway, request):
        return self.session.ask(self.path.replace("*", str(index)), gateway, request)

    def end(self):
        self.stop.set()
        self.join()
        for one in self.calls:
            one.join()
        return self.answers


class MortalSite(unittest.TestCase):
    bin = None  # folder of the programs
    gateway_count = GATEWAYS
    upstream_count = UPSTREAMS

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.work = folder.name
        self.site = Site(self.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        self.links = ["127.0.0.1:%d" % free_port() for _ in range(REGISTRIES)]
        for index in range(REGISTRIES):
            self.site.add("r%d" % index, "dewbeam-registrar", {
                **self.common("r%d" % index), "link": {"listen": self.links[index]},
                "data_folder": self.data_folder(index), "found": True,
                "stop": {"notice_ms": 0, "drain_ms": 2000}})
        for index in range(self.gateway_count):
            self.site.add("g%d" % index, "dewbeam-gateway", {
                **self.common("g%d" % index),
                "readiness_listen": "127.0.0.1:%d" % free_port(),
                "link": {"listen": "127.0.0.1:%d" % free_port()},
                "stop": {"notice_ms": 300, "drain_ms": 4000}})
        for process in self.site.processes.values():
            process.start()
        self.ports = [self.site.processes["r%d" % i].http_port() for i in range(REGISTRIES)]
        self.gateways = [self.site.processes["g%d" % i].http_port() for i in range(self.gateway_count)]
        self.upstreams = []
        self.adding = threading.Lock()
        self.ends = []  # of upstreams: (time, name)
        self.pauses = []  # of gateways: (name, from, to)
        self.closing = threading.Event()
        self.addCleanup(self.close)
        for _ in range(self.upstream_count):
            self.add_upstream()
        self.site.wait_for(lambda: self.put(configuration(1)), "a configuration")
        self.site.wait_for(lambda: all(self.knows_all(i) for i in range(self.gateway_count)), "the gateways")

    def common(self, name):
        return process_settings(self.site, name, self.links)

    def data_folder(self, index):
        return os.path.join(self.work, "data-r%d" % index)

    def put(self, document):
        return call(self.ports[0], "PUT", "/-/config", json.dumps(document))[0] == 200

    def knows_all(self, index):
        listen = self.site.processes["g%d" % index].settings["readiness_listen"]
        status, body = call(int(listen.rsplit(":", 1)[1]), "GET", "/v1/status")
        page = json.loads(body) if status == 200 else {"revision": 0, "upstreams": []}
        return page["revision"] > 0 and len(page["upstreams"]) >= self.upstream_count

    def add_upstream(self):
        with self.adding:
            self.upstreams.append(self.make_upstream("i-%d" % len(self.upstreams)))

    def make_upstream(self, name):
        return MortalUpstream(name, "chat", self.ports, self.on_end)

    def on_end(self, upstream):
        """Another one takes the place of an upstream that ended, after a while."""
        self.ends.append((time.monotonic(), upstream.name))
        if not self.closing.wait(2.5):
            self.add_upstream()

    def close(self):
        self.closing.set()
        for upstream in self.upstreams:
            upstream.stop()

    def ask(self, path, gateway, request, body="{}", **fields):
        head = {"Host": "api.example", "Attempt-Id": request, "Deadline-Ms": "4000",
                "Authorization": "Bearer key-1", **fields}
        return call(self.gateways[gateway], "POST", path, body, head)

    def logs(self):
        return "".join(self.site.processes["g%d" % i].log() for i in range(self.gateway_count))

    def seen_from(self, sent_at, gateway):
        """When a gateway could see a call: one that stands still can't."""
        return max([sent_at] + [until for name, since, until in self.pauses
                                if name == "g%d" % gateway and since <= sent_at <= until])

    def check_few_late(self, arrivals, ends, content="the content"):
        """Of one content, few arrivals come later than `SETTLED_S` behind the third end."""
        late = [at for at in arrivals if len(ends) >= 3 and at > ends[2] + SETTLED_S]
        self.assertLessEqual(len(late), MOST_LATE, "%s: %d ends" % (content, len(ends)))

    def check_all_answered(self, answers):
        failed = [(status, body) for _, _, status, body in answers if status != 200]
        self.assertEqual(failed, [], "%d of %d" % (len(failed), len(answers)))
