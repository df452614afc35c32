"""One seed of the soak of a deployment."""

import collections
import json
import tempfile
import threading
import time

from soak.deployed.answer_checks import check_answers
from soak.deployed.budget_checks import check_budget
from soak.deployed.clients import Balancer, Client, DeadlySender, Operator
from soak.deployed.faults import Faults
from soak.deployed.hosts import START_LIMIT_S, Deployment
from soak.deployed.records import Records
from soak.promises import now

RECOVERY_S = 12.0
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


def run_deployed(bin_folder, deploy_folder, seed, seconds, size, script=None, work=None):
    """Runs a seed, or the faults that `script(faults)` begins. Gives what was broken and what was seen."""
    records = Records()
    with tempfile.TemporaryDirectory(dir=work) as folder, \
            Deployment(bin_folder, deploy_folder, folder, size, records, seed) as deployment:
        stop = threading.Event()
        operator = Operator(deployment)
        if not operator.change(START_LIMIT_S):
            raise TimeoutError("no registrar acknowledged the first configuration")
        wait_for(lambda: all(deployment.knows_all(name) for name in deployment.gateways),
                 START_LIMIT_S, "the gateways to know all upstreams")
        balancer = Balancer(deployment, stop)
        faults = Faults(seed, deployment)
        threads = [balancer, *(Client(index, seed, deployment, balancer, stop)
                               for index in range(size.clients))]
        begun = now()
        for thread in threads:
            thread.start()
        changes_end = threading.Event()
        changes = threading.Thread(target=change_until, args=(operator, changes_end, faults.random))
        if script:
            script(faults)
        else:
            faults.draw()
            if faults.random.random() < 0.5:
                changes.start()
            if faults.random.random() < 0.3:
                threads.append(DeadlySender(1, seed, deployment, balancer, 20))
                threads[-1].start()
        time.sleep(max(0.0, begun + seconds - now()))
        changes_end.set()
        faults.end()
        if changes.ident:
            changes.join(10.0)
        if not script:
            faults.end_deployment(operator, faults.random.random() < 0.6)
            operator.check_read_back(RECOVERY_S)
        time.sleep(SETTLE_S)
        stop.set()
        for thread in threads:
            thread.join(12.0)
        worst = check_budget(records)
        lost = check_answers(records)
        return result_of(seed, records, faults, worst, lost, deployment)


def result_of(seed, records, faults, worst, lost, deployment):
    statuses = collections.Counter(item.status if item.is_whole else 0 for item in records.exchanges)
    result = {"seed": seed, "broken": records.broken, "worst": worst, "lost": lost,
              "answers": dict(statuses), "faults": faults.log, "logs": {}}
    if records.broken:
        result["logs"] = {name: deployment.processes[name].log()
                          for name in deployment.gateways + deployment.registrars}
    return result


def summary(result):
    """One line a seed."""
    worst = {service: "%d of %.0f" % counts for service, counts in result["worst"].items()}
    return json.dumps({key: result[key] for key in ("seed", "broken", "answers", "lost")} |
                      {"retries": worst, "faults": len(result["faults"])})
