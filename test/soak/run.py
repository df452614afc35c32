"""One soak of one seed. `python3 -m soak.run` is run by tool/soak."""

import collections
import json
import random
import tempfile
import threading
import time

from soak.broken import BrokenAnswers, breaking_upstream
from soak.callers import Caller, Operator
from soak.deadly import DeadlyContents, mortal_upstream
from soak.faults import GATEWAYS, REGISTRIES, Faults
from soak.foreign import ForeignWriters
from soak.notices import Notices
from soak.promises import Promises, now
from soak.site import SoakSite, UPSTREAMS

CALLERS = 9
START_LIMIT_S = 30.0
RECOVERY_S = 12.0
DRAIN_GRACE_S = 2.0
IDLE_LIMIT_S = 2.0


def wait_for(condition, limit_s):
    deadline = now() + limit_s
    while not condition():
        if now() > deadline:
            return False
        time.sleep(0.05)
    return True


def begin(site, operator):
    def is_served(name):
        page = site.status(name)
        return page is not None and page["revision"] > 0 and len(page["upstreams"]) >= UPSTREAMS
    if not wait_for(lambda: operator.send(1), START_LIMIT_S):
        raise TimeoutError("no registry acknowledged the first revision")
    if not wait_for(lambda: all(is_served(name) for name in GATEWAYS), START_LIMIT_S):
        raise TimeoutError("the gateways do not know the upstreams")


def check_recovery(site, promises, callers):
    """Behind the last fault everything is served again, and the newest revision is everywhere."""
    if not wait_for(lambda: all(site.is_ready(name) for name in GATEWAYS), RECOVERY_S):
        promises.fail("a gateway is not ready %.0f s after the last fault" % RECOVERY_S)
    def is_read_back(name):
        page = site.status(name)
        return page is not None and page["revision"] >= promises.acknowledged
    for name in GATEWAYS + REGISTRIES:
        if not wait_for(lambda n=name: is_read_back(n), RECOVERY_S):
            promises.fail("%s lacks revision %d" % (name, promises.acknowledged))
    since = now()
    time.sleep(2.0)
    results = [status for caller in callers for when, _, status in caller.latest if when > since]
    served = sum(status == 200 for status in results)
    if not results or served < 0.95 * len(results):
        promises.fail("%d of %d requests were served after the last fault: %s" %
                      (served, len(results), count_by_gateway(callers, since)))


def count_by_gateway(callers, since):
    """Answers since a moment, as `{gateway: {(kind, status): count}}`."""
    counts = {}
    for caller in callers:
        of_gateway = counts.setdefault(caller.gateway, collections.Counter())
        of_gateway.update((kind, status) for when, kind, status in caller.latest if when > since)
    return {gateway: dict(of_gateway) for gateway, of_gateway in counts.items()}


def check_places(site, promises):
    """Without callers no gateway counts an attempt: each would take a place for good."""
    for name in GATEWAYS:
        def is_idle(gateway=name):
            page = site.status(gateway)
            return page is not None and page["attempts"] == 0
        if not wait_for(is_idle, IDLE_LIMIT_S):
            promises.fail("%s counts attempts of callers that are gone" % name)


def run_seed(bin_folder, seed, seconds, work=None, deadly=False, broken=False, notices=False,
             foreign=False):
    """Runs one seed, with contents that end upstreams if `deadly`, with answers that end in any
    way if `broken`, with upstreams that ask for backoffs or say that they leave if `notices`, or with
    bytes of other writers if `foreign`. Gives what was broken, the faults in order, and the counts of answers."""
    make_upstream = mortal_upstream if deadly else breaking_upstream if broken else None
    with tempfile.TemporaryDirectory(dir=work) as folder, \
            SoakSite(bin_folder, folder, seed, make_upstream) as site:
        promises = Promises()
        stop = threading.Event()
        operator = Operator(seed, site, promises, stop)
        begin(site, operator)
        callers = [Caller(index, seed, site, promises, stop) for index in range(CALLERS)]
        for thread in [operator, *callers]:
            thread.start()
        faults = Faults(seed, site, promises)
        contents = DeadlyContents(seed, site, promises, seconds) if deadly else None
        answers = BrokenAnswers(seed, site, promises, seconds) if broken else None
        given = Notices(seed, site, promises, seconds) if notices else None
        writers = ForeignWriters(seed, site, promises, seconds) if foreign else None
        extras = [extra for extra in (contents, answers, given, writers) if extra]
        for extra in extras:
            extra.start()
        pauses = random.Random(seed + 1)
        until = now() + seconds
        while now() < until:
            faults.strike()
            time.sleep(pauses.uniform(0.2, 1.5))
        faults.end()
        for extra in extras:
            extra.end()
        check_recovery(site, promises, callers)
        stop.set()
        for thread in [operator, *callers]:
            thread.join(10.0)
        time.sleep(0.5)
        check_places(site, promises)
        promises.check_runs(site.upstreams)
        if contents:
            contents.check(faults.was_hit)
        if given:
            given.check(faults.was_interrupted)
        if writers:
            writers.check()
        for upstream, when in faults.drained:
            promises.check_drained(upstream, when, DRAIN_GRACE_S, faults.was_hit,
                                   site.proxies[upstream.name].received_at)
        logs = {name: site.process(name).log() for name in GATEWAYS + REGISTRIES} \
            if promises.broken else {}
        return {"seed": seed, "broken": promises.broken, "faults": faults.log,
                "answers": promises.counts, "revisions": promises.acknowledged, "logs": logs}


def summary(result):
    """One line a seed."""
    return json.dumps({key: result[key] for key in ("seed", "broken", "answers", "revisions")} |
                      {"faults": len(result["faults"])})
