"""Operators that change the configuration in many ways, and requests whose handling tells by which version
a gateway decided."""

import http.client
import itertools
import random
import threading
import time

from soak.deployed.configurations import FIRST, HELD_PATHS, HOST, STABLE, STABLE_KEY
from soak.deployed.records import Probe
from soak.promises import now

PROBERS = 10
PROBE_GAP_S = 0.03
PROBE_LIMIT_S = 2.5
READ_GAP_S = 0.25
STORM, STORM_GAPS_S = 6, [0.02, 0.1, 0.33]
RECENT = 12  # of the paths and keys that ever were, the latest are probed most


class Prober(threading.Thread):
    def __init__(self, number, load):
        super().__init__(daemon=True)
        self.number, self.load = number, load
        self.random = random.Random("%d-%d" % (load.seed, number))

    def run(self):
        gateways = list(self.load.deployment.gateways)
        for count in itertools.count():
            if self.load.is_over.is_set():
                return
            gateway = gateways[(self.number + count) % len(gateways)]
            self.probe(gateway, *self.draw(), "p%d-%d" % (self.number, count))
            time.sleep(PROBE_GAP_S)

    def draw(self):
        """A path and a key."""
        series, draws = self.load.operator.series, self.random
        kind = draws.random()
        if kind < 0.25:
            return STABLE, latest(draws, series.all_keys)
        if kind < 0.35:
            return draws.choice(HELD_PATHS), STABLE_KEY
        if kind < 0.4 and self.load.operator.refused_paths:
            return draws.choice(self.load.operator.refused_paths), STABLE_KEY
        if kind < 0.7:
            return draws.choice([STABLE, *FIRST]), STABLE_KEY
        return latest(draws, series.paths), STABLE_KEY

    def probe(self, gateway, path, key, request):
        probe = Probe(gateway, path, key, now())
        address = self.load.deployment.view.gateways[gateway][1]
        connection = http.client.HTTPConnection(*address, timeout=PROBE_LIMIT_S)
        try:
            connection.request("GET", path + request, None, {
                "Host": HOST, "Attempt-Id": request, "Authorization": "Bearer " + key,
                "Deadline-Ms": "%d" % (PROBE_LIMIT_S * 1000)})
            answer = connection.getresponse()
            body = answer.read().decode()
            probe.status = answer.status
            if probe.status == 200:
                probe.service = self.load.deployment.services.get(body.rpartition(" ")[2], "")
        except (OSError, http.client.HTTPException):
            pass  # no answer
        finally:
            connection.close()
        probe.ended_at = now()
        self.load.records.add(self.load.records.probes, probe)


def number_of(name):
    digits = "".join(letter for letter in name if letter.isdigit())
    return int(digits or 0)


def latest(draws, names):
    """One of those that ever were; the latest are drawn most."""
    ordered = sorted(list(names), key=number_of)
    return draws.choice(ordered[-RECENT:] if draws.random() < 0.8 else ordered)


class ConfigurationLoad:
    def __init__(self, deployment, operator, seed):
        self.deployment, self.operator, self.seed = deployment, operator, seed
        self.records = deployment.records
        self.random = random.Random(seed * 32452843)
        self.is_over, self.is_changing_over = threading.Event(), threading.Event()
        self.probers = [Prober(number, self) for number in range(PROBERS)]
        self.reader = threading.Thread(target=self.read, daemon=True)
        self.operators = [threading.Thread(target=self.change, args=(index, self.random.random()),
                                           daemon=True) for index in range(2)]

    def start(self):
        for thread in (*self.probers, self.reader, *self.operators):
            thread.start()

    def read(self):
        while not self.is_over.wait(READ_GAP_S):
            try:
                self.operator.read()
            except Exception as error:
                self.records.fail("reads", "a read could not be taken: %r" % error)
                raise

    def change(self, index, seed):
        """The first operator changes all the time; the second one now and then, so that they race."""
        draws = random.Random(seed)
        actions = [self.operator.change] * 6 + [
            lambda: self.operator.change(loses_answers=True), self.storm, self.operator.send_invalid,
            self.operator.send_other_content, self.repeat_newest, lambda: self.repeat_older(draws)]
        while not self.is_changing_over.wait(draws.uniform(0.2, 1.2) * (1 + 3 * index)):
            try:
                draws.choice(actions)()
            except Exception as error:
                self.records.fail("rig", "an operator ended: %r" % error)
                raise

    def storm(self):
        gap = self.random.choice(STORM_GAPS_S)
        for _ in range(STORM):
            if self.is_changing_over.wait(gap):
                return
            self.operator.change(limit_s=8.0)

    def repeat_newest(self):
        if number := self.operator.acknowledged:
            self.operator.send(number, limit_s=8.0)

    def repeat_older(self, draws):
        self.operator.send(draws.choice(list(self.records.versions)), limit_s=8.0)

    def end_changes(self):
        self.is_changing_over.set()
        for thread in self.operators:
            thread.join(25.0)

    def change_after_final(self, span_s):
        """Changes and probes go on behind the final fault until gateways are in touch again, and then for
        as long."""
        ends = now() + 2 * span_s
        while now() < ends:
            self.operator.change(limit_s=8.0)
            time.sleep(self.random.uniform(0.3, 1.0))

    def end(self):
        self.is_over.set()
        for thread in (*self.probers, self.reader):
            thread.join(PROBE_LIMIT_S + 1.0)
