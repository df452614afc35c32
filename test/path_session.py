"""The whole path over real processes: a change through control, a whole and a streamed answer,
a plain service, and a planned stop of every program."""

import argparse
import json
import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tool"))
from dewbeam_site import STANDARD_CONFIGURATION, Site  # noqa: E402


def words(text):
    return [word.split("-")[0] for word in text.split()]


def events(body):
    """The contents of a stream's events; the last is `[DONE]`."""
    result = []
    for event in body.split("\n\n")[:-1]:
        data = event.removeprefix("data: ")
        result.append(data if data == "[DONE]"
                      else json.loads(data)["choices"][0]["delta"]["content"])
    return result


class PathSession(unittest.TestCase):
    def test_path(self):
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            site.start_all()
            for entry in ("e1", "e2", "e3"):
                site.wait_for_upstreams(entry, site.upstream_count())

            status, _, body = site.call("e1", "POST", "/v1/completions", {"prompt": "a"})
            self.assertEqual(status, 404)
            self.assertEqual(json.loads(body)["error"]["code"], "no_selector")

            status, answer = site.apply(STANDARD_CONFIGURATION, "first")
            self.assertEqual((status, answer["status"], answer["number"]), (200, "accepted", 1))
            site.wait_for_number(1)

            chat = {"model": "ad-copy", "messages": [{"role": "user", "content": "hello"}],
                    "max_tokens": 4}
            status, fields, body = site.call("e1", "POST", "/v1/chat/completions", chat)
            self.assertEqual(status, 200)
            self.assertIn("X-Request-Id", fields)
            content = json.loads(body)["choices"][0]["message"]["content"]
            self.assertEqual(words(content), ["w0", "w1", "w2", "w3"])

            status, fields, body = site.call("e2", "POST", "/v1/chat/completions",
                                             {**chat, "model": "assistant", "stream": True})
            self.assertEqual((status, fields["Content-Type"]), (200, "text/event-stream"))
            streamed = events(body)
            self.assertEqual(streamed[-1], "[DONE]")
            self.assertEqual(words("".join(streamed[:-1])), ["w0", "w1", "w2", "w3"])

            status, _, body = site.call("e3", "POST", "/services/bay/unlock", {"bay": 7})
            self.assertEqual((status, json.loads(body)["run"]), (200, 1))

            codes = site.stop_all()
            self.assertEqual(set(codes.values()), {0}, codes)

    def test_fields_that_are_no_utf8_reach_the_service(self):
        """Guards against a caller's field that makes the message to the agent unreadable."""
        with tempfile.TemporaryDirectory() as work, Site(OPTIONS.bin, work) as site:
            site.start_all()
            for entry in ("e1", "e2", "e3"):
                site.wait_for_upstreams(entry, site.upstream_count())
            site.apply(STANDARD_CONFIGURATION, "first")
            site.wait_for_number(1)
            for note in ("caf\u00e9", "\u00ff\u00fe"):  # sent as Latin-1
                status, _, body = site.call("e3", "POST", "/services/bay/unlock", {"bay": 7},
                                            {"X-Note": note, "Idempotency-Key": note}, limit_s=5.0)
                self.assertEqual(status, 200, body)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    OPTIONS, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0], *rest])
