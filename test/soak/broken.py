"""Answers that end in any frame, at any place and in any way, beside the other faults of a soak."""

import http.client
import itertools
import random
import threading
import time

from platform_standins import BreakingUpstream, read_pieces
from soak.promises import now
from soak.proxy import Proxy

GATEWAYS = ["g0", "g1", "g2"]
SENDERS = 3
FRAMES = ["length", "chunks", "last", "close"]
PLACES = ["head", "inside", "line", "between", "whole"]
ENDS = ["fin", "reset"]
LINES = ["lf", "crlf", "cr"]


class BrokenAnswers:
    """Sends requests whose answers end as their paths say, and compares what upstreams sent with what
    callers were told."""

    def __init__(self, seed, site, promises, seconds):
        self.site = site
        self.promises = promises
        self.until = now() + seconds
        self.numbers = itertools.count()
        self.threads = [threading.Thread(target=self.run, args=(random.Random(seed * 6007 + index),))
                        for index in range(SENDERS)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def end(self):
        for thread in self.threads:
            thread.join()

    def run(self, draws):
        while now() < self.until:
            kind = draws.choice(["stream", "stream", "safe", "once"])
            frame, place, end, lines = (draws.choice(all_of_it)
                                        for all_of_it in (FRAMES, PLACES, ENDS, LINES))
            last = draws.choice(list(BreakingUpstream.TAILS)) if place == "whole" \
                else str(draws.randint(1, 2))
            end = "fin" if place == "whole" else end  # without a frame, what is reset isn't whole
            gateway = draws.choice(GATEWAYS)
            request = "broken-answer-%s-%d" % (gateway, next(self.numbers))
            plan = (frame, place, end, lines, last)
            self.check(request, kind, plan, *self.ask(gateway, kind, plan, request))
            time.sleep(draws.uniform(0.05, 0.4))

    def ask(self, gateway, kind, plan, request):
        """Gives the status, the body and whether the caller was told that it is whole."""
        status, body = 0, b""
        connection = http.client.HTTPConnection("127.0.0.1", self.site.port(gateway), timeout=6.0)
        try:
            connection.request("POST", "/%s/%s/%s" % (kind, "-".join(plan), request), "{}", {
                "Host": "api.example", "Attempt-Id": request, "Deadline-Ms": "4000",
                "Authorization": "Bearer key-1"})
            answer = connection.getresponse()
            status = answer.status
            for piece in read_pieces(answer):
                body += piece
            return status, body, True
        except (OSError, http.client.HTTPException):
            return status, body, False
        finally:
            connection.close()

    def check(self, request, kind, plan, status, body, is_whole):
        if status != 200:
            return
        frame, place, end, lines, last = plan
        is_short_of_frame = frame in ("length", "chunks") or (frame == "close" and end == "reset")
        if kind != "stream":
            is_told = place == "whole" or is_short_of_frame
            self.check_plain(request, plan, body, is_whole and is_told)
            return
        # A stream that ends between two events, as its frame allows, is no different from a whole one.
        is_told = place in ("whole", "inside", "line") or is_short_of_frame or \
            (frame, place) == ("close", "head")
        events = b"".join(BreakingUpstream.events(lines, 0, ""))
        whole = events + BreakingUpstream.TAILS.get(last, b"")
        if is_whole and is_told and body != whole:
            self.promises.fail("%s %s looks whole with %r" % (request, plan, body[-40:]))
        elif body not in itertools.accumulate(BreakingUpstream.events(lines, 0, ""), initial=b"") \
                and not (body.startswith(events) and whole.startswith(body)):
            self.promises.fail("%s %s has a part of an event: %r" % (request, plan, body[-40:]))

    def check_plain(self, request, plan, body, must_be_whole):
        names = [upstream.name for upstream in self.site.upstreams]
        whole = [("%s ran at %s" % (request, name)).encode() for name in names]
        if must_be_whole and body not in whole:
            self.promises.fail("%s %s looks whole with %r" % (request, plan, body))
        elif not any(one.startswith(body) for one in whole):
            self.promises.fail("%s %s got another's answer: %r" % (request, plan, body[-60:]))


def breaking_upstream(site, seed):
    """An upstream behind a proxy that ends answers as their paths say."""
    if not hasattr(site, "answers_begun"):
        site.answers_begun = {}
    upstream = BreakingUpstream("i-%d" % len(site.upstreams), "chat", site.registry_ports,
                                site.answers_begun)
    return upstream, Proxy(int(upstream.address.rsplit(":", 1)[1]),
                           seed * 1000 + len(site.upstreams))
