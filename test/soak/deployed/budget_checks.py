"""The parts of the retry budget, from what reached upstreams."""

import bisect
import collections

MOST_OVER_ATTEMPTS = 3  # requests
LATE_REPEAT_S = 0.5
EXCESS_S = 0.5  # of the time handed on
MOST_EXCESSES, MOST_EXCESS_SHARE = 20, 0.2
BACKOFF_GRACE_S = 0.5
MOST_IN_BACKOFF = 2
MOST_COPIES = 3  # once the crashes are known
CRASHES = {"content": 3, "unframed": 3, "answered": 3, "part": 5}  # until they are
STOP_S = 12.0  # from a stop signal until the gateway that starts again serves


def check_budget(records):
    gateways = {item.request: item for item in records.exchanges}
    worst = check_retries(records)
    check_attempts(records, gateways)
    check_time_left(records, gateways)
    check_backoffs(records, gateways)
    check_contents(records, gateways)
    return worst


def by_request(arrivals):
    result = collections.defaultdict(list)
    for item in sorted(arrivals, key=lambda one: one.at):
        result[item.request].append(item)
    return result


def count(times, begin, end):
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, begin)


def check_retries(records):
    """Gives the most retries of those allowed in any window, by service: (retries, allowed)."""
    worst = {}
    bounds = records.description.bounds
    window, slack = bounds["budget-window-s"], bounds["budget-slack"]
    for service in sorted({records.service_of(item) for item in records.exchanges}):
        sent = sorted(item.sent_at for item in records.exchanges
                      if records.service_of(item) == service)
        found = by_request(item for item in records.arrivals if item.service == service)
        repeats = sorted(item.at for items in found.values() for item in items[1:])
        worst[service] = (0, slack)
        for end in repeats:
            retries = count(repeats, end - window, end)
            requests = max(count(sent, end - window - back, end - back)
                           for back in (0.0, window / 2, window))
            allowed = bounds["retry-budget-ratio"] * requests + slack
            if retries / allowed > worst[service][0] / worst[service][1]:
                worst[service] = (retries, allowed)
        if worst[service][0] > worst[service][1]:
            records.fail("retries", "%d retries of %.0f allowed in %.0f s reached %s" %
                         (*worst[service], window, service))
    return worst


def check_attempts(records, gateways):
    over = []
    routes = records.description.routes
    for request, items in by_request(records.arrivals).items():
        sent = gateways.get(request)  # empty where its client failed while it sent the request
        most = max(route.max_attempts for route in routes if sent is None or route.name == sent.route)
        ran = {item.upstream for item in items if not item.is_rejected and not was_cut_off(records, item)}
        if len(ran) > most:
            over.append(request)
    if len(over) > MOST_OVER_ATTEMPTS:
        records.fail("attempts", "%d requests ran at more upstreams than their route allows, as %s" %
                     (len(over), over[0]))


def was_cut_off(records, arrival):
    return any(span.host == arrival.upstream and span.kind in ("crash", "freeze")
               and span.begun <= arrival.ended_at and arrival.at <= span.ended
               for span in records.upstream_faults)


def check_time_left(records, gateways):
    counted = excesses = 0
    for request, items in by_request(records.arrivals).items():
        sent = gateways.get(request)
        if sent is None or not was_in_touch(records, sent.gateway, items[0].at):
            continue
        ends = sent.sent_at + sent.limit_s
        first_end = items[0].at + (items[0].left_s or 0.0)
        counted += 1
        excesses += items[0].left_s is None or items[0].left_s > sent.limit_s + EXCESS_S
        for item in items[1:]:
            if item.at - items[0].at <= LATE_REPEAT_S:
                continue
            counted += 1
            excesses += item.left_s is None or \
                item.at + item.left_s > max(first_end, ends) + EXCESS_S
    if excesses > MOST_EXCESSES and excesses > MOST_EXCESS_SHARE * counted:
        records.fail("time left", "%d of %d attempts were handed more time than was left" %
                     (excesses, counted))


def check_backoffs(records, gateways):
    sent_by = collections.defaultdict(list)
    for item in records.arrivals:
        if item.request in gateways:
            sent_by[item.upstream, gateways[item.request].gateway].append(item)
    for (upstream, gateway), items in sent_by.items():
        for refused in items:
            if not refused.backoff_s:
                continue
            begin, end = refused.at + BACKOFF_GRACE_S, refused.at + refused.backoff_s
            late = [item for item in items if begin < item.at < end]
            if len(late) > MOST_IN_BACKOFF and not disturbed(records, gateway, refused.at, end):
                records.fail("backoffs", "%s asked %s for %.1f s and got %d requests in it" %
                             (upstream, gateway, refused.backoff_s, len(late)))
                break


def check_contents(records, gateways):
    """Requests that share what crashes their upstreams are named `deadly-KIND-...`; a request of a
    content that is repeated counts each time, and so does any with a deadly part."""
    contents = collections.defaultdict(list)
    for item in sorted(records.arrivals, key=lambda one: one.at):
        if item.request.startswith("deadly-"):
            contents[item.request.split("-")[1]].append(item)
    for content, items in contents.items():
        needed = CRASHES[content]
        # Those of `soak.deployed.replicas.CRASHING_LATER` crash some time after the arrival.
        crashes = sorted(item.at if content in ("content", "part") else item.ended_at for item in items)
        if len(crashes) < needed:
            continue
        settled = crashes[needed - 1] + contact_s(records)
        late = [item for item in items if item.at > settled and item.request in gateways
                and was_in_touch(records, gateways[item.request].gateway, item.at)]
        if len(late) > MOST_COPIES:
            records.fail("contents", "a deadly %s reached %d upstreams later than %.0f s after crash %d" %
                         (content, len(late), contact_s(records), needed))


def contact_s(records):
    return records.description.seconds("contact-ms")


def disturbed(records, host, begin, end):
    """Whether a host, or all, stood still, started or was cut off in a span."""
    return is_stopped(records, host, begin, end) or has_fault(records, host, begin, end)


def is_stopped(records, host, begin, end):
    """Whether a host was stopped as planned in a span, or shortly before."""
    return any(gateway == host and begin <= at + STOP_S and at <= end for gateway, at in records.stops)


def has_fault(records, host, begin, end):
    """Whether a host, or all, had an unplanned disturbance in a span."""
    return any(span.host in ("", host) and span.begun <= end and begin <= span.ended
               for span in records.faults)


def was_in_touch(records, gateway, at):
    """Whether neither the gateway nor the registrars were disturbed for the contact time before."""
    hosts = [gateway, *{span.host for span in records.faults if span.host.startswith("r")}]
    return not any(disturbed(records, host, at - contact_s(records), at) for host in hosts)
