"""The checks of the soak of a deployment, on records made by hand: each finds what it is for, and excuses
only what the platform excuses."""

import argparse
import os
import sys
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "tool")]
from soak.deployed.answer_checks import check_answers  # noqa: E402
from soak.deployed.budget_checks import check_budget  # noqa: E402
from soak.deployed.configuration_checks import check_configurations  # noqa: E402
from soak.deployed.configurations import MISTAKES, Meaning, Series  # noqa: E402
from soak.deployed.description import load  # noqa: E402
from soak.deployed.records import Arrival, Exchange, Probe, Read, Records, Span, Version  # noqa: E402
from soak.deployed.settings import settings_of  # noqa: E402

T = 100.0


class Case(unittest.TestCase):
    def setUp(self):
        self.records = Records(load("hvv"))
        self.number = 0

    def request(self, at=T, name=None, **changes):
        self.number += 1
        name = name or "c-%d" % self.number
        exchange = Exchange(name, "log-explain", "g0", 8.0, False, at, at + 1.0, 200, True)
        for key, value in changes.items():
            setattr(exchange, key, value)
        self.records.exchanges.append(exchange)
        return name

    def arrive(self, name, at=T, upstream="i-0", left_s=8.0, **changes):
        arrival = Arrival(name, "assist-lm", upstream, at, left_s, ended_at=at + 0.5)
        for key, value in changes.items():
            setattr(arrival, key, value)
        self.records.arrivals.append(arrival)

    def fault(self, host, begun, ended, kind="kill"):
        self.records.faults.append(Span(kind, host, begun, ended))

    def broken(self):
        self.records.broken = []
        check_budget(self.records)
        check_answers(self.records)
        return sorted({what.split(":")[0] for what in self.records.broken})


class BudgetChecks(Case):
    def retry(self, count, span=9.0):
        for index in range(count):
            at = T + span * index / count
            name = self.request(at)
            self.arrive(name, at)
            self.arrive(name, at + 0.1, "i-1")

    def test_retries_beyond_share_and_slack(self):
        self.retry(112)  # 0.2 x 112 + 90 = 112.4
        self.assertEqual(self.broken(), [])
        self.retry(2)
        self.assertEqual(self.broken(), ["retries"])

    def test_restarts_excuse_no_retries(self):
        self.fault("g0", T - 1.0, T + 20.0)
        self.retry(114)
        self.assertEqual(self.broken(), ["retries"])

    def test_refused_and_cancelled_arrivals_count(self):
        for index in range(114):
            name = self.request(T)
            self.arrive(name, T, is_rejected=index % 2 == 0)
            self.arrive(name, T + 0.1, "i-1")
        self.assertEqual(self.broken(), ["retries"])

    def test_requests_of_the_window_before_count(self):
        for _ in range(200):
            self.request(T - 8.0)
        self.retry(114)
        self.assertEqual(self.broken(), [])

    def test_more_upstreams_than_attempts(self):
        for index in range(4):
            name = self.request()
            for place in range(3):
                self.arrive(name, T + place, "i-%d" % place)
            if index == 2:
                self.assertEqual(self.broken(), [])
        self.assertEqual(self.broken(), ["attempts"])
        self.records.upstream_faults.append(Span("crash", "i-1", T, T + 5.0))
        self.assertEqual(self.broken(), [])

    def test_attempts_of_requests_that_no_client_recorded(self):
        for index in range(4):
            for place in range(3):
                self.arrive("unrecorded-%d" % index, T + place, "i-%d" % place)
        self.assertEqual(self.broken(), ["attempts"])

    def test_routes_with_one_attempt(self):
        for _ in range(4):
            name = self.request(route="restore-run")
            for place in range(2):
                self.arrive(name, T + place / 10, "i-%d" % place, left_s=1.0)
        self.assertEqual(self.broken(), ["attempts"])

    def test_time_left_of_repeats(self):
        for _ in range(25):
            name = self.request()
            self.arrive(name, T, left_s=8.0)
            self.arrive(name, T + 1.0, "i-1", left_s=8.0)
        self.assertEqual(self.broken(), ["time left"])
        self.fault("g0", T - 2.0, T - 1.0)
        self.assertEqual(self.broken(), [])

    def test_time_left_unstated(self):
        for _ in range(25):
            self.arrive(self.request(), T, left_s=None)
        self.assertEqual(self.broken(), ["time left"])

    def test_requests_in_a_backoff(self):
        self.arrive(self.request(), T, is_rejected=True, backoff_s=3.0)
        for index in range(3):
            self.assertEqual(self.broken(), [])
            self.arrive(self.request(T + 1.0 + index / 10), T + 1.0 + index / 10)
        self.assertEqual(self.broken(), ["backoffs"])
        self.fault("g1", T + 0.5, T + 0.6)
        self.assertEqual(self.broken(), ["backoffs"])
        self.fault("g0", T + 0.5, T + 0.6)
        self.assertEqual(self.broken(), [])

    def test_contents_that_crash_upstreams(self):
        for index in range(7):
            at = T + (index if index < 3 else index + 4)
            name = self.request(at, "deadly-content-%d" % index)
            self.arrive(name, at, "i-%d" % index, is_broken_off=True)
            self.assertEqual(self.broken(), ["contents"] if index == 6 else [])
        self.fault("g0", T + 6.0, T + 6.1)
        self.assertEqual(self.broken(), [])

    def test_contents_that_crash_upstreams_after_their_answer(self):
        for kind in ("unframed", "answered"):
            self.setUp()
            for index in range(8):
                at = T + (index if index < 3 else index + 3)  # the third crashes at 3 s
                name = self.request(at, "deadly-%s-%d" % (kind, index))
                self.arrive(name, at, "i-%d" % index, is_broken_off=True, ended_at=at + 1.0)
                self.assertEqual(self.broken(), ["contents"] if index == 7 else [])

    def test_parts_of_prompts_that_crash_upstreams(self):
        for index in range(9):
            at = T + (index if index < 5 else index + 4)
            name = self.request(at, "deadly-part-%d" % index)
            self.arrive(name, at, "i-%d" % index, is_broken_off=True)
            self.assertEqual(self.broken(), ["contents"] if index == 8 else [])


class AnswerChecks(Case):
    def lose(self, at=T, **changes):
        name = self.request(at, status=0, is_whole=False, ended_at=at + 0.3, **changes)
        self.arrive(name, at)
        return name

    def test_kept_connections(self):
        for _ in range(3):
            self.lose(is_kept=True)
        self.assertEqual(self.broken(), [])
        self.lose(is_kept=True)
        self.assertEqual(self.broken(), ["kept connections"])
        self.fault("r-r0", T - 2.0, T - 1.9)
        self.assertEqual(self.broken(), [])

    def test_kept_connections_of_unsound_upstreams(self):
        self.records.upstream_faults.append(Span("hang", "i-0", T - 1.0, T + 1.0))
        for _ in range(4):
            self.lose(is_kept=True)
        self.assertEqual(self.broken(), [])

    def test_new_connections_are_no_kept_ones(self):
        for _ in range(4):
            self.lose()
        self.assertEqual(self.broken(), [])

    def test_stops(self):
        self.records.stops.append(("g0", T - 2.0))
        self.lose()
        self.assertEqual(self.broken(), ["stops"])
        self.fault("g0", T - 2.9, T - 2.8)
        self.assertEqual(self.broken(), [])

    def test_stops_of_other_gateways(self):
        self.records.stops.append(("g1", T - 2.0))
        self.lose()
        self.assertEqual(self.broken(), [])

    def test_stops_may_cut_what_takes_the_whole_grace(self):
        self.records.stops.append(("g0", T))
        for sent, is_lost in ((2.0, False), (3.5, True)):
            with self.subTest(sent):
                self.records.exchanges.clear()
                self.records.arrivals.clear()
                name = self.request(T + sent, status=200, is_whole=False, ended_at=T + 7.3)
                self.arrive(name, T + sent, ended_at=T + 7.4)
                self.assertEqual(self.broken(), ["stops"] if is_lost else [])

    def test_streams_cut_by_a_stop(self):
        self.records.stops.append(("g0", T - 2.0))
        self.arrive(self.request(T, status=200, is_whole=False), T, ended_at=T + 0.9)
        self.assertEqual(self.broken(), ["stops"])

    def test_requests_read_and_not_passed_on(self):
        self.records.stops.append(("g0", T - 2.0))
        self.request(T, status=0, is_whole=False, ended_at=T + 0.1)
        self.assertEqual(self.broken(), [], "it crossed the close")
        self.request(T, status=0, is_whole=False, ended_at=T + 0.3)
        self.assertEqual(self.broken(), ["stops"])

    def test_reloads(self):
        self.records.reloads.append(("g0", T - 1.0))
        self.assertEqual(self.broken(), [])
        self.lose(T - 1.2)
        self.assertEqual(self.broken(), ["reloads"])

    def test_configurations(self):
        self.records.changes.append((T - 0.5, T - 0.2))
        self.lose()
        self.assertEqual(self.broken(), ["configurations"])
        self.lose(T + 20.0)
        self.assertEqual(self.broken(), [], "it cuts as often at other times")


class RenderedSettings(unittest.TestCase):
    FIELDS = {"node-name": "n", "zone": "z2", "ip": "127.0.0.1", "internal-ports": [7340, 7355],
              "bootstrap": True, "bounds": load("hvv").bounds, "fault-tolerance": {"machines": 1},
              "limits": {"link-mbps": 20.0}, "zones": {"z1": "r", "z2": "r"}, "data-dir": "/d",
              "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", "control": "127.0.0.1:3"},
              "seeds": ["127.0.0.1:8229"], "app": "127.0.0.1:9"}
    DEPLOY = os.path.join(HERE, "..", "deploy")

    def test_deployed_templates_are_rendered(self):
        registrar = settings_of(self.DEPLOY, "registrar", self.FIELDS)
        self.assertEqual(registrar["failure_domains"], ["z1", "z2"])
        self.assertEqual(registrar["registries"], {"seeds": ["127.0.0.1:8229"], "link_port": 7340})
        self.assertIs(registrar["found"], True)
        gateway = settings_of(self.DEPLOY, "gateway", self.FIELDS)
        self.assertIs(gateway["drains"]["wait_at_start"], False)
        self.assertEqual(settings_of(self.DEPLOY, "rank", self.FIELDS)["engine"]["address"], "127.0.0.1:9")


class ConfigurationChecks(unittest.TestCase):
    """Version 1 has `/stable/` and `/moved-0/` at probed-a; 4 moves the latter to probed-b and adds
    `/added-1/` and `key-added-1`; 6 drops that key."""

    def setUp(self):
        self.records = Records(load("kilima-adops"))
        series = Series(self.records.description, 1)
        self.version(1, series, T - 20.0)
        series.services.update({"/moved-0/": ["probed-b"], "/added-1/": ["probed-c"]})
        series.keys["key-added-1"] = "t0"
        self.version(4, series, T)
        del series.keys["key-added-1"]
        self.version(6, series, T + 10.0)

    def version(self, number, series, at):
        self.records.versions[number] = Version(series.document(number), at - 0.1, at, "r0")

    def probe(self, at, status=200, path="/moved-0/", service="probed-b", key="key-t0", gateway="g0",
              took_s=0.01):
        self.records.probes.append(Probe(gateway, path, key, at, at + took_s, status,
                                         service if status == 200 else ""))

    def fault(self, host, begun, ended, kind="kill"):
        self.records.faults.append(Span(kind, host, begun, ended))

    def broken(self):
        self.records.broken = []
        check_configurations(self.records)
        return sorted({what.split(":")[0] for what in self.records.broken})

    def test_a_moved_route_at_its_old_service(self):
        self.probe(T + 1.9, service="probed-a")
        self.assertEqual(self.broken(), [])
        self.probe(T + 2.1, service="probed-a")
        self.assertEqual(self.broken(), ["in force"])

    def test_an_added_route_and_key_that_are_refused(self):
        self.probe(T + 1.9, 404, "/added-1/")
        self.probe(T + 1.9, 401, "/stable/", key="key-added-1")
        self.assertEqual(self.broken(), [])
        self.probe(T + 2.1, 404, "/added-1/", gateway="g1")
        self.assertEqual(self.broken(), ["in force"])
        self.records.probes.pop()
        self.probe(T + 2.1, 401, "/stable/", key="key-added-1", gateway="g2")
        self.assertEqual(self.broken(), ["in force"])

    def test_a_revoked_key_that_is_let_in(self):
        self.probe(T + 11.9, path="/stable/", service="probed-a", key="key-added-1")
        self.assertEqual(self.broken(), [])
        self.probe(T + 12.1, path="/stable/", service="probed-a", key="key-added-1")
        self.assertEqual(self.broken(), ["in force"])

    def test_a_gateway_out_of_touch_is_excused(self):
        self.fault("g0", T - 2.0, T - 0.5)
        self.probe(T + 2.1, service="probed-a")
        self.assertEqual(self.broken(), [])
        self.probe(T + 2.6, service="probed-a")
        self.assertEqual(self.broken(), ["in force"])

    def test_a_lost_registrar_puts_the_bound_off(self):
        self.fault("r-r1", T - 1.0, T + 30.0)
        self.probe(T + 6.9, service="probed-a")
        self.assertEqual(self.broken(), [])
        self.probe(T + 7.1, service="probed-a")
        self.assertEqual(self.broken(), ["in force"])

    def test_a_gateway_that_goes_back(self):
        self.fault("g0", T + 0.1, T + 0.2, "freeze")
        self.probe(T + 0.3)
        self.probe(T + 0.5, service="probed-a")
        self.assertEqual(self.broken(), [], "within the slack")
        self.probe(T + 0.7, service="probed-a")
        self.assertEqual(self.broken(), ["regression"])
        self.records.starts.append(("g0", T + 0.6))
        self.assertEqual(self.broken(), [], "started again meanwhile")

    def test_what_no_version_allows(self):
        self.probe(T + 20.0, path="/refused-5/", service="probed-a")
        self.assertEqual(self.broken(), ["never allowed"])
        self.records.probes.pop()
        self.probe(T + 20.0, 404, "/stable/")
        self.assertEqual(self.broken(), ["denied"])

    def test_a_read_of_an_older_version(self):
        read = Read("r0", T + 1.9, self.records.versions[1].document)
        self.records.reads.append(read)
        self.assertEqual(self.broken(), [])
        read.sent_at = T + 2.1
        self.assertEqual(self.broken(), ["reads"])

    def test_a_read_of_other_content(self):
        document = dict(self.records.versions[4].document, routes=[])
        self.records.reads.append(Read("r0", T + 1.0, document))
        self.assertEqual(self.broken(), ["reads"])

    def test_added_routes_that_are_served_less_than_first_ones(self):
        for index in range(20):
            at = T + 3.0 + index / 10
            self.probe(at, path="/stable/", service="probed-a")
            self.probe(at, 200 if index < 5 else 503, "/added-1/", "probed-c")
        self.assertEqual(self.broken(), [])
        self.records.probes[1].status = 503
        self.assertEqual(self.broken(), ["added routes"])

    def test_added_routes_that_hang(self):
        for index in range(20):
            at = T + 3.0 + index / 10
            self.probe(at, path="/stable/", service="probed-a")
            self.probe(at, 0, "/added-1/", took_s=2.5)
        self.assertEqual(self.broken(), ["added routes"])

    def test_refusals_that_come_late(self):
        for index in range(8):
            self.probe(T + 3.0 + index / 10, 503, "/held-0/", took_s=1.6)
        self.assertEqual(self.broken(), ["time limits"])

    def test_time_limits_that_are_not_kept(self):
        for index in range(8):
            self.probe(T + 3.0 + index / 10, 504, "/held-0/", took_s=1.4)
        self.assertEqual(self.broken(), [])
        for probe in self.records.probes:
            probe.ended_at = probe.sent_at + 1.6
        self.assertEqual(self.broken(), ["time limits"])

    def test_a_time_limit_that_was_shortened(self):
        for number, limit in ((1, 1500), (4, 400), (6, 400)):
            for route in self.records.versions[number].document["routes"]:
                if route["path-prefix"] == "/held-0/":
                    route["timeout-ms"] = limit
        for index in range(8):
            self.probe(T + 3.0 + index / 10, 504, "/held-0/", took_s=1.6)
        self.assertEqual(self.broken(), ["time limits"])

    def test_each_mistake_stands_beside_a_sound_route(self):
        series = Series(self.records.description, 1)
        for seed in range(20):
            series.random.seed(seed)
            kind, document = series.invalid(self.records.versions[4].document, 5)
            self.assertIn(kind, MISTAKES)
            self.assertIn("/refused-5/", Meaning(document).services)

    def test_versions_grow_in_uneven_steps(self):
        series = Series(self.records.description, 3)
        numbers = [series.next()["version"] for _ in range(50)]
        self.assertEqual({1, 2, 3}, {after - before for before, after in zip(numbers, numbers[1:])})


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin")
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
