"""What must hold during a soak, from what callers and upstreams see."""

import json
import threading
import time

from platform_standins import EVENTS

NOT_RUN = (408, 421, 429, 503)


class Promises:
    """Collects what callers, operators and upstreams saw; `broken` names what did not hold."""

    def __init__(self):
        self.lock = threading.Lock()
        self.broken = []
        self.answers = {}           # request id -> (path kind, status)
        self.counts = {}            # status -> answers
        self.acknowledged = 0       # highest revision that was acknowledged
        self.sent = {}              # revision -> document
        self.revisions = {}         # (gateway, process id) -> highest revision seen

    def fail(self, what):
        with self.lock:
            self.broken.append(what)

    def note_answer(self, request, kind, status, body):
        """A caller's answer; status 0 where there was none, or it visibly broke."""
        with self.lock:
            self.answers[request] = (kind, status)
            self.counts[status] = self.counts.get(status, 0) + 1
        if status != 200:
            return
        if kind != "stream":
            if not body.startswith(request + " ran at i-"):
                self.fail("%s got another's answer: %r" % (request, body[:60]))
        elif event_ids(body) != list(range(1, EVENTS + 1)):
            self.fail("%s got a stream that looks whole with events %s" % (request, event_ids(body)))

    def note_part(self, request, body):
        """What a caller had of a stream that visibly broke: events in order, from the first."""
        ids = event_ids(body)
        if ids != list(range(1, len(ids) + 1)):
            self.fail("%s got events %s of a broken stream" % (request, ids))

    def note_read(self, known_before, body):
        """A registry answered a read that began when `known_before` was acknowledged."""
        document = json.loads(body)
        number = document["version"]
        if number < known_before:
            self.fail("revision %d was read after %d was acknowledged" % (number, known_before))
        elif self.sent.get(number) != document:
            self.fail("revision %d was read with another content than was sent" % number)

    def note_revision(self, gateway, process, revision):
        with self.lock:
            last = self.revisions.get((gateway, process), 0)
            self.revisions[gateway, process] = max(last, revision)
        if revision < last:
            self.fail("%s went back from revision %d to %d" % (gateway, last, revision))

    def check_runs(self, upstreams):
        """Runs against answers, once everything has come to rest."""
        runs = {}
        for upstream in upstreams:
            for request, _ in list(upstream.runs):
                runs[request] = runs.get(request, 0) + 1
        for request, (kind, status) in self.answers.items():
            count = runs.get(request, 0)
            if kind == "once" and count > 1:
                self.fail("%s ran %d times" % (request, count))
            if kind == "once" and status in NOT_RUN and count > 0:
                self.fail("%s was answered %d, and ran" % (request, status))

    def check_drained(self, upstream, acknowledged_at, grace_s, exempt, received_at):
        """No request reached an upstream later than `grace_s` after its end was acknowledged, but
        from gateways that faults had hit, by `exempt(request, time)`. A request that a cut held on
        the way there is judged by when it reached the cut, by `received_at(request, time)`."""
        for request, when in upstream.arrivals:
            if received_at(request, when) > acknowledged_at + grace_s and not exempt(request, when):
                self.fail("%s reached %s %.1f s after its end was acknowledged" %
                          (request, upstream.name, when - acknowledged_at))


def event_ids(body):
    return [int(line[4:]) for line in body.splitlines() if line.startswith("id: ")]


def now():
    return time.monotonic()
