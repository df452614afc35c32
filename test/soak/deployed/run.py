"""One seed of the soak of a deployment."""

import collections
import json
import random
import tempfile
import threading
import time

from soak.deployed.answer_checks import check_answers
from soak.deployed.budget_checks import check_budget
from soak.deployed.clients import ClientProcesses, DeadlySender
from soak.deployed.configuration_checks import check_configurations
from soak.deployed.configuration_load import ConfigurationLoad
from soak.deployed.faults import Faults
from soak.deployed.hosts import START_LIMIT_S, Deployment
from soak.deployed.operator import Operator
from soak.deployed.records import Records
from soak.promises import now

SETTLE_S = 2.0  # of clients that wait for their answers
CHANGE_GAP_S = 0.8


def wait_for(condition, limit_s, what):
    deadline = now() + limit_s
    while not condition():
        if now() > deadline:
            raise TimeoutError("waited in vain for " + what)
        time.sleep(0.05)


def change_until(operator, stop, draws):
    while not stop.wait(CHANGE_GAP_S * draws.uniform(0.5, 2.0)):
        operator.change(limit_s=8.0)


def run_deployed(bin_folder, deploy_folder, seed, seconds, description, script=None, keeps_settings=None):
    """Runs a seed, or the faults that `script(faults)` begins. Gives what was broken and what was seen.
    `keeps_settings`: as in `Deployment`; drawn if empty."""
    records = Records(description)
    if keeps_settings is None:
        keeps_settings = random.Random(seed * 7919).random() < 0.5
    with tempfile.TemporaryDirectory() as folder, \
            Deployment(bin_folder, deploy_folder, folder, description, records, seed,
                       keeps_settings) as deployment:
        clients = ClientProcesses(deployment.view)
        try:
            return play(seed, seconds, deployment, clients, script)
        finally:
            clients.kill()


def play(seed, seconds, deployment, clients, script):
    records, recovery = deployment.records, deployment.description.seconds("recover-s")
    operator = Operator(deployment, seed)
    probing = ConfigurationLoad(deployment, operator, seed) if operator.series else None
    if not operator.change(START_LIMIT_S):
        raise TimeoutError("no registrar acknowledged the first configuration")
    wait_for(lambda: all(deployment.knows_all(name) for name in deployment.gateways),
             START_LIMIT_S, "the gateways to know all upstreams")
    faults = Faults(seed, deployment, clients)
    changes_end = threading.Event()
    changes = threading.Thread(target=change_until, args=(operator, changes_end, faults.random))
    senders = {kind: DeadlySender(kind, deployment.view, 20, records.exchanges)
               for kind in DeadlySender.KINDS}
    deadly = list(senders.values())
    clients.start()
    if probing:
        probing.start()
    begun = now()
    if script:
        script(faults)
    else:
        faults.draw()
        if faults.random.random() < 0.5 and not probing:
            changes.start()
        if faults.random.random() < 0.3:
            senders[faults.random.choice(["content", "part"])].start()
        own = random.Random(seed * 104729)
        if own.random() < 0.4:
            senders[own.choice(["unframed", "answered"])].start()
    time.sleep(max(0.0, begun + seconds - now()))
    changes_end.set()
    if probing:
        probing.end_changes()
    faults.end()
    for thread in (changes, *deadly):
        if thread.ident:
            thread.join(10.0)
    if not script:
        faults.end_deployment(operator, faults.random.random() < 0.6)
        operator.check_read_back(recovery)
        if probing:
            probing.change_after_final(2 * deployment.description.seconds("contact-ms"))
    time.sleep(SETTLE_S)
    if probing:
        probing.end()
    exchanges, unsent = clients.end()
    records.exchanges += exchanges
    deployment.collect_arrivals()
    worst = check_budget(records)
    lost = check_answers(records)
    probes = check_configurations(records) if probing else (0, 0)
    return result_of(seed, records, faults, worst, lost, unsent, deployment, probes)


def result_of(seed, records, faults, worst, lost, unsent, deployment, probes):
    statuses = collections.Counter(item.status if item.is_whole else 0 for item in records.exchanges)
    result = {"seed": seed, "broken": records.broken, "worst": worst, "lost": lost,
              "unsent": unsent, "probes": probes, "versions": versions_of(records),
              "keeps_settings": deployment.keeps_settings,
              "answers": dict(statuses), "faults": faults.log, "logs": {}}
    if records.broken:
        result["logs"] = {name: deployment.processes[name].log()
                          for name in deployment.gateways + deployment.registrars}
    return result


def versions_of(records):
    """Of all versions: when they were sent and acknowledged, and by whom."""
    return {number: (item.sent_at, item.acknowledged_at, item.registrar)
            for number, item in records.versions.items()}


def summary(result):
    """One line a seed."""
    worst = {service: "%d of %.0f" % counts for service, counts in result["worst"].items()}
    return json.dumps({key: result[key] for key in (
        "seed", "broken", "answers", "lost", "unsent", "keeps_settings") if key in result} |
                      {"retries": worst, "faults": len(result["faults"]),
                       "probes": result.get("probes"), "versions": len(result.get("versions", {}))})
