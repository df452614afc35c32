"""Clients that don't behave: each process lives on, stays within a bound of memory and descriptors, and
answers an ordinary request afterwards. Real processes, one crowd at a time."""

import argparse
import json
import os
import resource
import socket
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
sys.path.insert(0, os.path.dirname(__file__))
import client_crowd as ways  # noqa: E402
from client_crowd import Crowd, Gauge  # noqa: E402
from dewbeam_site import DOMAINS, STANDARD_CONFIGURATION, Site, free_port  # noqa: E402
from platform_standins import Upstream, call, configuration, process_settings  # noqa: E402

MOST_CONNECTIONS = 128
MOST_MEMORY_KB = 128 * 1024
MOST_UPSTREAM_CONNECTIONS = 100  # `max-connections` of the service
MOST_DESCRIPTORS = MOST_CONNECTIONS + MOST_UPSTREAM_CONNECTIONS + 40
HOLD_S = 5.0
LARGE_ANSWER = 8 * 1024 * 1024


def is_listening(port):
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


class SlowUpstream(Upstream):
    """Holds each request to `/safe/slow`, and answers `/safe/large` with a large body."""

    def serve(self, handler):
        self.hold_s = HOLD_S if "/slow" in handler.path else 0.0
        if "/large" not in handler.path:
            return super().serve(handler)
        return self.answer(handler, 200, handler.headers["Attempt-Id"], b"z" * LARGE_ANSWER)


class CrowdSession(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.site = Site(OPTIONS.bin, folder.name,
                         common={"http": {"most_connections": MOST_CONNECTIONS}})
        self.addCleanup(self.site.kill_all)

    def check_withstands(self, name, port, path, kinds, count, ask, reads=True, stays=False,
                         most_descriptors=MOST_DESCRIPTORS):
        """`ask` sends an ordinary request and tells whether it was answered: behind the crowd, or beside it
        where that `stays`."""
        process = self.site.processes[name]
        gauge = Gauge(process.child.pid, port)
        crowd = Crowd(port, path, kinds, count, reads)
        try:
            crowd.send_all()
            if stays:
                self.site.wait_for(ask, "an ordinary answer of %s" % name)
        finally:
            gauge.end()
            crowd.close()
        self.assertTrue(process.is_running(), "%s has ended" % name)
        self.site.wait_for(ask, "an ordinary answer of %s" % name)
        self.assertLessEqual(gauge.most_memory_kb, MOST_MEMORY_KB)
        self.assertLessEqual(gauge.most_descriptors, most_descriptors)


class PlatformCrowdSession(CrowdSession):
    """A gateway and a registrar, and upstreams that hold requests or give large answers."""

    link_settings = {}

    def setUp(self):
        super().setUp()
        link = "127.0.0.1:%d" % free_port()
        self.site.add("r0", "dewbeam-registrar", {
            **self.common("r0", link), "link": {**self.link_settings, "listen": link}, "found": True,
            "data_folder": os.path.join(self.folder, "data")})
        self.site.add("g0", "dewbeam-gateway", {
            **self.common("g0", link), "link": {**self.link_settings, "listen": "127.0.0.1:%d" % free_port()},
            "readiness_listen": "127.0.0.1:%d" % free_port()})
        for process in self.site.processes.values():
            process.start()
        self.control = self.site.processes["r0"].http_port()
        self.front = self.site.processes["g0"].http_port()
        self.pages = int(self.site.processes["g0"].settings["readiness_listen"].rsplit(":", 1)[1])
        self.upstreams = [SlowUpstream("i-%d" % i, "chat", [self.control]) for i in range(3)]
        for upstream in self.upstreams:
            upstream.slots = 100
            self.addCleanup(upstream.stop)
        document = json.dumps(configuration(1))
        self.site.wait_for(lambda: call(self.control, "PUT", "/-/config", document)[0] == 200,
                           "a configuration")
        self.site.wait_for(self.ask_front, "the gateway")

    def common(self, name, link):
        settings = process_settings(self.site, name, [link])
        settings["http"]["most_connections"] = MOST_CONNECTIONS
        return settings

    def ask_front(self):
        fields = {"Host": "api.example", "Attempt-Id": "calm", "Authorization": "Bearer key-1",
                  "Deadline-Ms": "4000"}
        return call(self.front, "POST", "/safe/calm", "{}", fields)[0] == 200

    def ask_pages(self):
        return call(self.pages, "GET", "/v1/status")[0] == 200

    def ask_control(self):
        return call(self.control, "GET", "/-/config")[0] == 200


class GatewayCrowdSession(PlatformCrowdSession):
    def check_front(self, kinds, count, path="/safe/x", **options):
        self.check_withstands("g0", self.front, path, kinds, count, self.ask_front, **options)

    def check_control(self, kinds, count, **options):
        self.check_withstands("r0", self.control, "/-/config", kinds, count, self.ask_control, **options)

    def test_a_request_of_the_largest_size_is_served_in_calm(self):
        fields = {"Host": "api.example", "Attempt-Id": "large", "Authorization": "Bearer key-1",
                  "Deadline-Ms": "8000", "X-More": "y" * (ways.HEADER - 512)}
        status, body = call(self.front, "POST", "/safe/whole", b"b" * ways.BODY, fields, 8.0)
        self.assertEqual(status, 200, body)

    def test_trailers_without_end(self):
        self.check_front([ways.trailers], 20)

    def test_one_trailer_without_end(self):
        self.check_front([ways.one_trailer], 20)

    def test_an_extension_without_end(self):
        self.check_front([ways.extension], 20)

    def test_large_chunks_that_stop_short_of_their_end(self):
        self.check_front([ways.large_chunks], 60)

    def test_small_chunks_that_stop_short_of_their_end(self):
        self.check_front([ways.small_chunks], 60)

    def test_announced_bodies_that_stop_short_of_their_end(self):
        self.check_front([ways.announced], 60)

    def test_bodies_over_the_limit(self):
        self.check_front([ways.announced_too_much, ways.sent_too_much], 30)

    def test_headers_without_end(self):
        self.check_front([ways.endless_header], 60)

    def test_whole_bodies_that_wait_for_upstreams(self):
        self.check_front([ways.whole_body], 60, path="/safe/slow")

    def test_requests_sent_ahead_of_an_answer(self):
        self.check_front([ways.sent_ahead], 60, path="/safe/slow")

    def test_headers_of_many_fields(self):
        self.check_front([ways.many_fields], 120, path="/safe/slow")

    def test_large_answers_that_nobody_reads(self):
        self.check_front([ways.short], 40, path="/safe/large", reads=False)

    def test_all_kinds_together(self):
        self.check_front(ways.UNFINISHED, 12)

    def test_connections_over_the_limit(self):
        self.check_front([ways.nothing, ways.announced], 200)

    def test_idle_connections_that_take_all_places(self):
        self.check_front([ways.nothing], 200, stays=True)

    def test_idle_connections_that_take_all_places_of_a_registrar(self):
        self.check_control([ways.nothing], 200, stays=True)

    def test_all_kinds_at_a_readiness_address(self):
        self.check_withstands("g0", self.pages, "/v1/status", ways.UNFINISHED, 12, self.ask_pages)

    def test_trailers_without_end_at_a_registrar(self):
        self.check_control([ways.trailers, ways.one_trailer, ways.extension], 8)

    def test_unfinished_bodies_at_a_registrar(self):
        self.check_control([ways.large_chunks, ways.announced], 30)

    def test_all_kinds_at_a_registrar(self):
        self.check_control(ways.UNFINISHED, 12)


class LargeHeaderCrowdSession(PlatformCrowdSession):
    """A limit that lets one header be large doesn't let a crowd of them be."""

    def common(self, name, link):
        settings = super().common(name, link)
        settings["http"]["most_header_bytes"] = ways.LARGE_HEADER
        return settings

    def test_headers_that_stop_short_of_their_end(self):
        self.check_withstands("g0", self.front, "/safe/x", [ways.unfinished_header], 120, self.ask_front)


class ManyPlaces(PlatformCrowdSession):
    """The default limit of connections."""

    def common(self, name, link):
        settings = super().common(name, link)
        del settings["http"]["most_connections"]
        return settings


class ManyPlacesCrowdSession(ManyPlaces):
    def test_headers_of_many_fields_that_stop_short_of_their_end(self):
        count = 1600
        self.check_withstands("g0", self.front, "/safe/x", [ways.unfinished_header_of_many_fields], count,
                              self.ask_front, most_descriptors=count + MOST_DESCRIPTORS)


class FewDescriptorsCrowdSession(ManyPlaces):
    """A host that allows fewer descriptors than the limit of connections."""

    def setUp(self):
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MOST_DESCRIPTORS, limits[1]))
        try:
            super().setUp()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def test_idle_connections_that_take_all_descriptors(self):
        self.check_withstands("g0", self.front, "/safe/x", [ways.nothing], 400, self.ask_front, stays=True)


class LinkSite(PlatformCrowdSession):
    """With a rank, for crowds at link addresses."""

    def setUp(self):
        super().setUp()
        seeds = self.site.processes["g0"].settings["registries"]
        self.site.add("rank", "dewbeam-rank", {
            **self.common("rank", ""), "registries": seeds,
            "link": {**self.link_settings, "listen": "127.0.0.1:%d" % free_port()},
            "engine": {"address": "127.0.0.1:%d" % free_port()}}).settings.pop("http")
        self.site.processes["rank"].start()

    def check_link(self, name, kinds, count=12):
        port = int(self.site.processes[name].settings["link"]["listen"].rsplit(":", 1)[1])
        self.site.wait_for(lambda: is_listening(port), "the link of %s" % name)
        self.check_withstands(name, port, "", kinds, count, self.ask_front)


class LinkCrowdSession(LinkSite):
    def test_links_of_a_gateway(self):
        self.check_link("g0", [ways.link_frame, ways.no_link])

    def test_links_of_a_registrar(self):
        self.check_link("r0", [ways.link_frame, ways.no_link])

    def test_links_of_a_rank(self):
        self.check_link("rank", [ways.link_frame, ways.no_link])

    def test_frames_within_the_limit_at_a_gateway(self):
        self.check_link("g0", [ways.link_frame_within_the_limit])

    def test_frames_within_the_limit_at_a_registrar(self):
        self.check_link("r0", [ways.link_frame_within_the_limit])

    def test_frames_within_the_limit_at_a_rank(self):
        self.check_link("rank", [ways.link_frame_within_the_limit])

    def test_messages_of_many_parts_at_a_gateway(self):
        self.check_link("g0", [ways.link_parts])

    def test_messages_of_many_parts_at_a_registrar(self):
        self.check_link("r0", [ways.link_parts])

    def test_messages_of_many_parts_at_a_rank(self):
        self.check_link("rank", [ways.link_parts])

    def test_messages_of_empty_parts_at_a_gateway(self):
        self.check_link("g0", [ways.link_empty_parts])

    def test_messages_of_empty_parts_at_a_registrar(self):
        self.check_link("r0", [ways.link_empty_parts])

    def test_messages_of_empty_parts_at_a_rank(self):
        self.check_link("rank", [ways.link_empty_parts])


class LinkPlacesCrowdSession(LinkSite):
    """Link connections have a limit, too."""

    link_settings = {"most_connections": MOST_CONNECTIONS}

    def test_connections_over_the_limit_at_a_gateway(self):
        self.check_link("g0", [ways.nothing], 400)

    def test_connections_over_the_limit_at_a_registrar(self):
        self.check_link("r0", [ways.nothing], 400)


class EntryCrowdSession(CrowdSession):
    def setUp(self):
        super().setUp()
        for index in range(len(DOMAINS)):
            self.site.add_control(index)
        self.site.add_entry(0)
        self.site.add_upstream("a1", "d1", ["ad-copy"], "pool=ad-copy")
        self.site.start_all()
        self.site.wait_for(lambda: self.site.apply(STANDARD_CONFIGURATION, "first")[0] == 200,
                           "the configuration")
        self.site.wait_for(self.ask_entry, "the entry")

    def ask_entry(self):
        body = {"model": "ad-copy", "prompt": "one", "max_tokens": 2}
        return self.site.try_call("e1", "POST", "/v1/completions", body, limit_s=10.0)[0] == 200

    def check_all_kinds(self, name, path, ask):
        port = self.site.processes[name].http_port()
        self.check_withstands(name, port, path, ways.UNFINISHED, 12, ask)

    def test_all_kinds_at_an_entry(self):
        self.check_all_kinds("e1", "/v1/completions", self.ask_entry)

    def test_whole_bodies_at_an_entry(self):
        port = self.site.processes["e1"].http_port()
        self.check_withstands("e1", port, "/v1/completions", [ways.whole_body], 60, self.ask_entry)

    def test_all_kinds_at_an_agent(self):
        self.check_all_kinds("a1", "/v1/status", self.ask_entry)

    def test_all_kinds_at_a_control(self):
        self.check_all_kinds("c1", "/v1/changes", lambda: self.site.try_call(
            "c1", "GET", "/v1/configuration")[0] == 200)


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
