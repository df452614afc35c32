"""One content that ends the upstreams that run it, at six gateways: few upstreams may end, and nobody
else may be blamed. Real gateways and registrars, stand-ins of upstreams that come back."""

import argparse
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
sys.path.insert(0, os.path.dirname(__file__))
from dewbeam_site import Site, free_port  # noqa: E402
from platform_standins import MortalUpstream, call, configuration  # noqa: E402
from soak.deadly import MOST_LATE, SETTLED_S  # noqa: E402

GATEWAYS = 6
REGISTRIES = 3
UPSTREAMS = 6
SPAN_S = 14.0
MOST_ENDS = 6


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
        path = self.path.replace("*", str(index))
        begun = time.monotonic()
        status, body = self.session.ask(path, index % GATEWAYS, "%s-%d" % (self.name, index))
        took = time.monotonic() - self.session.seen_from(begun, index % GATEWAYS)
        self.answers.append((begun, took, status, body))

    def end(self):
        self.stop.set()
        self.join()
        for one in self.calls:
            one.join()
        return self.answers


class CrashContentSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.work = folder.name
        self.site = Site(OPTIONS.bin, folder.name)
        self.addCleanup(self.site.kill_all)
        self.links = ["127.0.0.1:%d" % free_port() for _ in range(REGISTRIES)]
        for index in range(REGISTRIES):
            self.site.add("r%d" % index, "dewbeam-registrar", {
                **self.common("r%d" % index), "link": {"listen": self.links[index]},
                "data_folder": self.data_folder(index), "found": True,
                "stop": {"notice_ms": 0, "drain_ms": 2000}})
        for index in range(GATEWAYS):
            self.site.add("g%d" % index, "dewbeam-gateway", {
                **self.common("g%d" % index),
                "readiness_listen": "127.0.0.1:%d" % free_port(),
                "link": {"listen": "127.0.0.1:%d" % free_port()},
                "stop": {"notice_ms": 300, "drain_ms": 4000}})
        for process in self.site.processes.values():
            process.start()
        self.ports = [self.site.processes["r%d" % i].http_port() for i in range(REGISTRIES)]
        self.gateways = [self.site.processes["g%d" % i].http_port() for i in range(GATEWAYS)]
        self.upstreams = []
        self.ends = []  # of upstreams: (time, name)
        self.pauses = []  # of gateways: (name, from, to)
        self.closing = threading.Event()
        self.addCleanup(self.close)
        for _ in range(UPSTREAMS):
            self.add_upstream()
        self.site.wait_for(lambda: self.put(configuration(1)), "a configuration")
        self.site.wait_for(lambda: all(self.knows_all(i) for i in range(GATEWAYS)), "the gateways")

    def common(self, name):
        return {"deployment": self.site.deployment, "host": name, "failure_domain": "z1",
                "threads": 1, "http": {"listen": "127.0.0.1:%d" % free_port()},
                "registries": {"seeds": self.links}}

    def data_folder(self, index):
        return os.path.join(self.work, "data-r%d" % index)

    def put(self, document):
        return call(self.ports[0], "PUT", "/-/config", json.dumps(document))[0] == 200

    def knows_all(self, index):
        listen = self.site.processes["g%d" % index].settings["readiness_listen"]
        status, body = call(int(listen.rsplit(":", 1)[1]), "GET", "/v1/status")
        page = json.loads(body) if status == 200 else {"revision": 0, "upstreams": []}
        return page["revision"] > 0 and len(page["upstreams"]) >= UPSTREAMS

    def add_upstream(self):
        name = "i-%d" % len(self.upstreams)
        self.upstreams.append(MortalUpstream(name, "chat", self.ports, self.on_end))

    def on_end(self, upstream):
        """Another one takes the place of an upstream that ended, after a while."""
        self.ends.append((time.monotonic(), upstream.name))
        if not self.closing.wait(2.5):
            self.add_upstream()

    def close(self):
        self.closing.set()
        for upstream in self.upstreams:
            upstream.stop()

    def ask(self, path, gateway, request):
        head = {"Host": "api.example", "Attempt-Id": request, "Deadline-Ms": "4000",
                "Authorization": "Bearer key-1"}
        return call(self.gateways[gateway], "POST", path, "{}", head)

    def logs(self):
        return "".join(self.site.processes["g%d" % i].log() for i in range(GATEWAYS))

    def seen_from(self, sent_at, gateway):
        """When a gateway could see a call: one that stands still can't."""
        return max([sent_at] + [until for name, since, until in self.pauses
                                if name == "g%d" % gateway and since <= sent_at <= until])

    def check_few_ends(self, kind, how, pause_s=0.4, disturb=None):
        deadly = Repeater(self, "/%s/deadly-%s" % (kind, how), pause_s, "deadly")
        calm = Repeater(self, "/safe/calm-*", 0.1, "calm")
        if disturb:
            disturb()
        time.sleep(max(0.0, SPAN_S if not disturb else 4.0))
        deadly_answers, calm_answers = deadly.end(), calm.end()
        arrivals = sorted(at for upstream in self.upstreams
                          for request, at in upstream.arrivals if request.startswith("deadly"))
        ends = sorted(at for at, _ in self.ends)
        self.assertGreaterEqual(len(ends), 1, "the content ended no upstream")
        late = [at for at in arrivals if len(ends) >= 3 and at > ends[2] + SETTLED_S]
        self.assertLessEqual(len(late), MOST_LATE, "%d ends" % len(ends))
        self.assertLessEqual(len(ends), MOST_ENDS)
        settled = [answer for answer in deadly_answers if answer[0] > ends[-1] + SETTLED_S]
        self.assertTrue(settled, "the content was never settled")
        for _, took, status, body in settled:
            self.assertEqual(status, 503, body)
            self.assertLess(took, 1.0, "a refusal that could come at once")
        return calm_answers

    def check_all_answered(self, answers):
        failed = [(status, body) for _, _, status, body in answers if status != 200]
        self.assertEqual(failed, [], "%d of %d" % (len(failed), len(answers)))

    def test_a_content_that_resets_its_upstreams_ends_few(self):
        self.check_all_answered(self.check_few_ends("safe", "reset"))

    def test_a_content_that_breaks_off_its_answers_ends_few(self):
        self.check_all_answered(self.check_few_ends("safe", "part"))

    def test_a_stream_that_ends_its_upstreams_ends_few(self):
        self.check_all_answered(self.check_few_ends("stream", "part"))

    def test_a_stream_without_a_frame_that_ends_its_upstreams_ends_few(self):
        self.check_all_answered(self.check_few_ends("stream", "unframed"))

    def test_a_stream_that_ends_its_upstreams_behind_its_end_ends_few(self):
        self.check_all_answered(self.check_few_ends("stream", "after"))

    def test_a_content_that_may_not_run_twice_ends_few(self):
        self.check_all_answered(self.check_few_ends("once", "reset"))

    def test_a_content_that_silences_its_upstreams_ends_few(self):
        self.check_few_ends("safe", "silent")

    def test_a_content_ends_few_while_gateways_and_registrars_come_and_go(self):
        def disturb():
            time.sleep(1.0)
            self.restart("g1", kill=True)
            self.restart("r0", kill=True, wipe=True)
            time.sleep(2.0)
            self.restart("g2", kill=False)
            self.pause("g3", 1.5)
            self.restart("r1", kill=True)
            time.sleep(2.0)
        self.check_few_ends("safe", "reset", pause_s=0.2, disturb=disturb)

    def test_copies_of_a_content_at_all_gateways_at_once_end_few(self):
        waves = [Repeater(self, "/safe/deadly-reset", 0.8, "deadly-%d" % i) for i in range(4)]
        time.sleep(SPAN_S)
        for wave in waves:
            wave.end()
        ends = sorted(at for at, _ in self.ends)
        late = [at for upstream in self.upstreams for _, at in upstream.arrivals
                if len(ends) >= 3 and at > ends[2] + SETTLED_S]
        self.assertLessEqual(len(late), MOST_LATE, "%d ends" % len(ends))

    def restart(self, name, kill, wipe=False):
        process = self.site.processes[name]
        if kill:
            process.kill()
        else:
            process.stop()
        if wipe:
            shutil.rmtree(self.data_folder(int(name[1:])))
        if name.startswith("r"):
            process.settings["found"] = False
        process.start()

    def pause(self, name, span_s):
        begun = time.monotonic()
        self.site.processes[name].send(signal.SIGSTOP)
        time.sleep(span_s)
        self.site.processes[name].send(signal.SIGCONT)
        self.pauses.append((name, begun, time.monotonic()))

    def test_a_hot_content_is_not_blamed_for_upstreams_that_end_beside_it(self):
        draws = random.Random(7)
        hot = Repeater(self, "/safe/hot", 0.05, "hot")
        stream = Repeater(self, "/stream/hot", 0.1, "stream")
        deadline = time.monotonic() + SPAN_S
        while time.monotonic() < deadline:
            time.sleep(draws.uniform(0.3, 0.9))
            alive = [upstream for upstream in self.upstreams if not upstream.has_ended]
            if len(alive) > 2:
                draws.choice(alive).end("reset")
        self.check_all_answered(hot.end() + stream.end())
        self.assertGreater(len(self.ends), 10)

    def test_a_hot_content_is_not_held_back_for_upstreams_that_fall_silent(self):
        draws = random.Random(9)
        hot = Repeater(self, "/safe/hot", 0.05, "hot")
        deadline = time.monotonic() + SPAN_S
        time.sleep(1.0)
        while time.monotonic() < deadline:
            alive = [upstream for upstream in self.upstreams if not upstream.has_ended]
            if len(alive) > 3:
                threading.Thread(target=draws.choice(alive).end, args=("silent",),
                                 daemon=True).start()
            time.sleep(draws.uniform(0.5, 1.5))
        refused = [body for _, _, _, body in hot.end() if "quarantined" in body]
        self.assertEqual(refused, [])
        self.assertGreater(len(self.ends), 4)

    def test_nothing_is_blamed_for_resets_and_planned_ends(self):
        draws = random.Random(8)
        warm = [Repeater(self, "/safe/warm-%d" % i, 0.5, "warm-%d" % i) for i in range(4)]
        deadline = time.monotonic() + SPAN_S
        while time.monotonic() < deadline:
            time.sleep(0.7)
            alive = [upstream for upstream in self.upstreams if not upstream.has_ended]
            draws.choice(alive).reset_connections()
            if len(self.ends) < 6:
                draws.choice(alive).end_as_planned()
        answers = [answer for one in warm for answer in one.end()]
        self.check_all_answered(answers)
        self.assertNotIn("event=content_suspected", self.logs())


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
