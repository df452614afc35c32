"""The operator of a deployment: sends configurations and reads them back."""

import json
import threading
import time

from platform_standins import call
from soak.deployed.configurations import Series
from soak.deployed.records import Read, Version
from soak.promises import now

FINAL = (400, 409, 412, 413, 422)  # answers that end a call at once
LOST_ANSWER_S = 0.02  # within which the answer to a call is given up


class Operator:
    """Sends configurations; each is kept until a registrar has acknowledged it. Thread-safe."""

    def __init__(self, deployment, seed=0):
        self.deployment, self.records = deployment, deployment.records
        self.series = Series(deployment.description, seed) if deployment.description.changes_routes else None
        self.lock = threading.Lock()
        self.version = 0
        self.refused_paths = []  # of routes that no version has

    @property
    def acknowledged(self):
        """The newest version that was acknowledged; 0 if none was."""
        return max((number for number, item in list(self.records.versions.items())
                    if item.acknowledged_at < float("inf")), default=0)

    def next(self):
        """The number of the next version, which is on record as being sent."""
        with self.lock:
            if self.series:
                document = self.series.next()
            else:
                document = self.deployment.description.configuration(self.version + 1)
            self.version = document["version"]
            self.records.versions[self.version] = Version(document, now())
            return self.version

    def change(self, limit_s=20.0, loses_answers=False):
        return self.send(self.next(), limit_s, loses_answers)

    def send(self, number, limit_s=20.0, loses_answers=False):
        """Sends a version until it is acknowledged. `loses_answers`: the first answers don't arrive."""
        version = self.records.versions[number]
        body, sent, tries = json.dumps(version.document), now(), 0
        while now() < sent + limit_s:
            for address in self.deployment.control_addresses("operator-%d" % number):
                tries += 1
                patience = LOST_ANSWER_S if loses_answers and tries <= 2 else 1.0
                status, answer = call(address, "PUT", "/-/config", body, limit_s=patience)
                if status == 200:
                    if now() < version.acknowledged_at:
                        version.acknowledged_at, version.registrar = now(), address
                    self.records.add(self.records.changes, (sent, now()))
                    return True
                if status in FINAL or (400 <= status < 500 and status not in (408, 429)):
                    self.records.fail("configurations", "version %d was refused: %d %s" %
                                      (number, status, answer[:200]))
                    return False
            time.sleep(0.05)
        return False

    def send_invalid(self):
        """Sends one that must be refused, once to each registrar."""
        with self.lock:
            newest = self.records.versions[self.version].document
            self.series.version += 1
            kind, document = self.series.invalid(newest, self.series.version)
        self.refused_paths.append(document["routes"][-1]["path-prefix"])
        for address in self.deployment.control_addresses("invalid"):
            status, _ = call(address, "PUT", "/-/config", json.dumps(document), limit_s=1.0)
            if 200 <= status < 300:
                self.records.fail("invalid", "%s: acknowledged with %d by %s" % (kind, status, address))

    def send_other_content(self):
        """Sends other content under the number that is held; it must change nothing."""
        number = self.acknowledged
        document = self.series.other_content(self.records.versions[number].document)
        self.refused_paths.append(document["routes"][-1]["path-prefix"])
        for address in self.deployment.control_addresses("other"):
            call(address, "PUT", "/-/config", json.dumps(document), limit_s=1.0)

    def read(self):
        for address in self.deployment.control_addresses("reader"):
            sent = now()
            status, body = call(address, "GET", "/-/config", limit_s=1.0)
            if status == 200:
                self.records.add(self.records.reads, Read(address, sent, json.loads(body)))

    def check_read_back(self, limit_s):
        """Behind the final fault the newest acknowledged version is read, as it was sent."""
        until, last = now() + limit_s, "no answer"
        while now() < until:
            for address in self.deployment.control_addresses("operator"):
                status, body = call(address, "GET", "/-/config", limit_s=1.0)
                if status == 200:
                    document = json.loads(body)
                    number = document["version"]
                    if number < self.acknowledged:
                        self.records.fail("final fault", "version %d was read after %d was acknowledged" %
                                          (number, self.acknowledged))
                    elif number not in self.records.versions or \
                            document != self.records.versions[number].document:
                        self.records.fail("final fault", "version %d was changed" % number)
                    return
                last = "%d %s" % (status, body[:100])
            time.sleep(0.1)
        self.records.fail("final fault", "no configuration was read: %s" % last)
