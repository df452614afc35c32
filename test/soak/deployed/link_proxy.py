"""Processes that stand before the links of hosts, so that hosts can be cut from each other. Which host
opened a connection shows in the first message on it."""

import asyncio
import contextlib
import random
import re
import socket
import threading

from soak.deployed.processes import CONTEXT, end

KINDS = ["hold", "one way", "silent", "reset", "delay", "lossy"]
DELAY_S, STALL_S, STALL_SHARE = 0.3, 0.8, 0.05
LOOK_S = 0.02
PIECE = 65536


SENDER = re.compile(rb"\x0a(.)((?:[grk]|s-i-)[0-9]+)", re.DOTALL)  # the first field of a message


def sender_of(content):
    """The host that sent a message; empty if none begins in `content`."""
    for found in SENDER.finditer(content):
        if found[1][0] == len(found[2]):
            return found[2].decode()
    return None


class Connection:
    def __init__(self, proxy, registrar):
        self.proxy, self.registrar = proxy, registrar
        self.source = None
        self.begin = b""
        self.is_silenced = False

    def note(self, content):
        """Learns who sends."""
        if self.source is None and len(self.begin) < PIECE:
            self.begin += content
            self.source = sender_of(self.begin)

    def cut(self):
        return self.proxy.cuts.get((self.source, self.registrar))

    async def pump(self, reader, writer, is_to_registrar):
        try:
            while content := await reader.read(PIECE):
                if is_to_registrar:
                    self.note(content)
                await self.wait(is_to_registrar)
                if not self.is_silenced:
                    writer.write(content)
                    await writer.drain()
        except OSError:
            pass  # the other direction ends with it
        finally:
            writer.close()

    async def wait(self, is_to_registrar):
        """Until the cut lets bytes pass. What it held arrives then, but for a silenced connection, on
        which nothing passes any more."""
        kind = self.cut()
        if kind == "reset":
            raise ConnectionResetError
        self.is_silenced = self.is_silenced or kind == "silent"
        while self.cut() == "hold" or (self.cut() == "one way" and is_to_registrar):
            await asyncio.sleep(LOOK_S)
        if kind == "delay":
            await asyncio.sleep(DELAY_S)
        if kind == "lossy" and random.random() < STALL_SHARE:
            await asyncio.sleep(STALL_S)


class DroppingListener:
    """Listens with a full queue: the system drops the first packet of a new connection, and its sender
    repeats it after 1, then 2, then 4 s."""

    FILLERS = 3

    def __init__(self, address):
        self.listener = socket.create_server(address, backlog=0)
        self.fillers = [socket.socket() for _ in range(self.FILLERS)]
        for filler in self.fillers:
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(address)

    def close(self):
        for item in [*self.fillers, self.listener]:
            item.close()


class Proxy:
    def __init__(self):
        self.cuts = {}  # (host, registrar) -> kind
        self.served = {}  # name -> addresses
        self.listeners = {}  # name -> what listens

    async def drop_new(self, name, is_dropped):
        """Whether packets that begin connections to that host are dropped."""
        self.listeners[name].close()
        public, target = self.served[name]
        if is_dropped:
            self.listeners[name] = DroppingListener(public)
        else:
            await self.serve(name, public, target)

    async def release(self, name):
        """Nothing listens at that host's address any more."""
        self.listeners.pop(name).close()
        del self.served[name]

    async def serve(self, registrar, public, target):
        self.served[registrar] = (public, target)

        async def on_connection(reader, writer):
            connection = Connection(self, registrar)
            try:
                inner_reader, inner_writer = await asyncio.open_connection(*target)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(connection.pump(reader, inner_writer, True),
                                 connection.pump(inner_reader, writer, False))
        self.listeners[registrar] = await asyncio.start_server(on_connection, *public,
                                                               reuse_address=True)


def run_proxy(pipe):
    proxy = Proxy()
    loop = asyncio.new_event_loop()

    def take_commands():
        try:
            while True:
                command, *arguments = pipe.recv()
                if command in ("serve", "drop_new", "release"):
                    action = getattr(proxy, command)(*arguments)
                    asyncio.run_coroutine_threadsafe(action, loop).result()
                else:
                    proxy.cuts = dict(arguments[0])
                pipe.send("done")
        except (EOFError, OSError):
            loop.call_soon_threadsafe(loop.stop)

    threading.Thread(target=take_commands, daemon=True).start()
    loop.run_forever()


class LinkProcess:
    """The soak's end of such a process."""

    def __init__(self):
        self.pipe, other = CONTEXT.Pipe()
        self.child = CONTEXT.Process(target=run_proxy, args=(other,))
        self.child.start()
        self.lock = threading.Lock()

    def ask(self, *command):
        with self.lock:
            self.pipe.send(command)
            self.pipe.recv()

    def end(self):
        end(self.child)


class Links:
    """All links that can be cut. Links of registrars have a process each; the others share one."""

    def __init__(self):
        self.processes = {}  # by host
        self.shared = None
        self.cuts = {}
        self.lock = threading.Lock()

    def serve(self, name, public, target, is_shared=False):
        if is_shared:
            self.shared = self.shared or LinkProcess()
        with self.lock:
            self.processes[name] = self.shared if is_shared else LinkProcess()
            self.processes[name].ask("serve", name, public, target)
            self.tell([name])

    def drop_new(self, names, is_dropped):
        """Whether packets that begin connections to those hosts are dropped."""
        for name in names:
            self.processes[name].ask("drop_new", name, is_dropped)

    def release(self, name):
        """Nothing listens at the address any more."""
        with self.lock:
            process = self.processes.pop(name)
        process.ask("release", name)
        if process is not self.shared:
            process.end()

    def cut(self, pairs, kind):
        """Cuts hosts from others, also from those that are served later; joins them again if `kind` is
        empty."""
        with self.lock:
            for pair in pairs:
                self.cuts.pop(pair, None)
                if kind:
                    self.cuts[pair] = kind
            self.tell({name for _, name in pairs})

    def tell(self, names):
        """Sends the cuts to the processes of those hosts."""
        for process in {self.processes[name] for name in names if name in self.processes}:
            process.ask("cut", [item for item in self.cuts.items()
                                if self.processes.get(item[0][1]) is process])

    def end(self):
        for process in set(self.processes.values()):
            process.end()
