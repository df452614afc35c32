"""A short soak: seeds that once showed a fault, and one more, each a few seconds long."""

import argparse
import os
import socket
import sys
import threading
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "tool")]
from platform_standins import Upstream  # noqa: E402
from soak.promises import Promises, now  # noqa: E402
from soak.proxy import Proxy  # noqa: E402
from soak.run import run_seed, summary, wait_for  # noqa: E402

STANDARD_SEED = 1
SECONDS = 8.0
ARRIVAL_LIMIT_S = 20.0


def kept_seeds():
    """Seeds of `soak/kept_seeds.txt`: a number a line, and the cause of the fault that it showed."""
    with open(os.path.join(HERE, "soak", "kept_seeds.txt")) as file:
        return [int(line.split()[0]) for line in file if line.strip() and line[0] != "#"]


class ProxySession(unittest.TestCase):
    def test_a_reset_reaches_both_ends_at_once(self):
        """Guards against a rig whose reset shows only once an end sends something."""
        listener = socket.create_server(("127.0.0.1", 0))
        proxy = Proxy(listener.getsockname()[1], 1)
        client = socket.create_connection(("127.0.0.1", proxy.port))
        server = listener.accept()[0]
        client.sendall(b"request")
        self.assertEqual(server.recv(100), b"request")
        time.sleep(0.1)  # the proxy's threads wait for bytes again
        proxy.reset_all()
        for end in (client, server):
            end.settimeout(2.0)
            with self.assertRaises(ConnectionResetError):
                end.recv(100)
            end.close()
        proxy.close()
        listener.close()


class DrainCheckSession(unittest.TestCase):
    """What `check_drained` says of requests that meet a fault on the way to a leaving upstream. In
    each case the allowed moment is `allowed_until`; a request arrives behind it."""

    def setUp(self):
        self.upstream = Upstream("i-0", "chat", [])
        self.addCleanup(self.upstream.stop)
        self.proxy = Proxy(int(self.upstream.address.rsplit(":", 1)[1]), 1)
        self.addCleanup(self.proxy.close)

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.proxy.port))
        self.addCleanup(connection.close)
        return connection

    def send(self, request, connection=None, body=b"{}", length=2):
        connection = connection or self.connect()
        connection.sendall(b"POST /once/x HTTP/1.1\r\nAttempt-Id: %s\r\nExpect-Instance: i-0\r\n"
                           b"Content-Length: %d\r\n\r\n%s" % (request.encode(), length, body))
        return connection

    def wait_received(self, pieces):
        self.assertTrue(wait_for(lambda: len(self.proxy.pieces) >= pieces, ARRIVAL_LIMIT_S))

    def wait_arrived(self, count):
        self.assertTrue(wait_for(lambda: len(self.upstream.arrivals) >= count, ARRIVAL_LIMIT_S))

    def broken(self, allowed_until):
        promises = Promises()
        promises.check_drained(self.upstream, allowed_until - 2.0, 2.0, lambda *_: False,
                               self.proxy.received_at)
        return [what.split()[0] for what in promises.broken]

    def test_a_request_held_by_a_cut_across_the_end_is_allowed(self):
        """Soak seed 90002: a gateway had sent requests before it could know of the end."""
        for count, mode in enumerate(("cut_to_server", "silence"), 1):
            with self.subTest(mode=mode):
                self.proxy.mode = mode
                self.send("early")
                self.wait_received(count)
                allowed_until = now()
                self.proxy.mode = "pass"
                self.wait_arrived(count)
                self.assertGreater(self.upstream.arrivals[-1][1], allowed_until)
                self.assertEqual(self.broken(allowed_until), [])

    def test_a_request_sent_into_the_cut_after_the_end_is_not(self):
        self.proxy.mode = "cut_to_server"
        self.send("early")
        self.wait_received(1)
        allowed_until = now()
        self.send("late")
        self.wait_received(2)
        self.proxy.mode = "pass"
        self.wait_arrived(2)
        self.assertEqual(self.broken(allowed_until), ["late"])

    def test_a_request_whose_rest_is_sent_after_the_end_is_not(self):
        self.proxy.mode = "cut_to_server"
        connection = self.send("early", body=b"{", length=2)
        self.wait_received(1)
        allowed_until = now()
        connection.sendall(b"}")
        self.wait_received(2)
        self.proxy.mode = "pass"
        self.wait_arrived(1)
        self.assertEqual(self.broken(allowed_until), ["early"])

    def test_a_request_that_no_cut_held_is_not(self):
        for count, mode in enumerate(("pass", "delay", "cut_to_client"), 1):
            with self.subTest(mode=mode):
                allowed_until = now()
                self.proxy.mode = mode
                self.send("late-%d" % count)
                self.wait_arrived(count)
                self.assertEqual(self.broken(allowed_until), ["late-%d" % count])

    def test_a_request_that_is_only_slow_behind_the_proxy_is_not(self):
        released = threading.Event()
        self.proxy.random.uniform = lambda *_: 0.0 if released.wait(ARRIVAL_LIMIT_S) else 1.0
        self.proxy.mode = "delay"
        self.send("slow")
        self.wait_received(1)
        allowed_until = now()
        released.set()
        self.wait_arrived(1)
        self.assertEqual(self.broken(allowed_until), ["slow"])

    def test_an_attempt_behind_one_that_was_held_is_not(self):
        self.proxy.mode = "cut_to_server"
        connection = self.send("twice")
        self.wait_received(1)
        allowed_until = now()
        self.proxy.mode = "pass"
        self.wait_arrived(1)
        self.send("twice", connection)
        self.wait_arrived(2)
        self.assertEqual(self.broken(allowed_until), ["twice"])


class SoakSession(unittest.TestCase):
    def test_seeds_break_no_promise(self):
        for seed in [STANDARD_SEED, *kept_seeds()]:
            with self.subTest(seed=seed):
                result = run_seed(OPTIONS.bin, seed, SECONDS)
                print(summary(result))
                self.assertEqual(result["broken"], [], "\n".join(result["faults"]))

    def test_contents_that_end_upstreams_break_no_promise(self):
        result = run_seed(OPTIONS.bin, STANDARD_SEED, SECONDS, deadly=True)
        print(summary(result))
        self.assertEqual(result["broken"], [], "\n".join(result["faults"]))

    def test_answers_that_end_in_any_way_break_no_promise(self):
        result = run_seed(OPTIONS.bin, STANDARD_SEED, SECONDS, broken=True)
        print(summary(result))
        self.assertEqual(result["broken"], [], "\n".join(result["faults"]))

    def test_notices_of_upstreams_break_no_promise(self):
        result = run_seed(OPTIONS.bin, STANDARD_SEED, SECONDS, notices=True)
        print(summary(result))
        self.assertEqual(result["broken"], [], "\n".join(result["faults"]))

    def test_bytes_of_other_writers_break_no_promise(self):
        result = run_seed(OPTIONS.bin, STANDARD_SEED, SECONDS, foreign=True)
        print(summary(result))
        self.assertEqual(result["broken"], [], "\n".join(result["faults"]))


if __name__ == "__main__":
    PARSER = argparse.ArgumentParser()
    PARSER.add_argument("--bin", required=True)
    OPTIONS, REST = PARSER.parse_known_args()
    unittest.main(argv=[sys.argv[0], *REST], verbosity=2)
