"""A loopback proxy that can cut control VMs off from each other.

It stands before the address at which a control VM's peers call it. Who has
opened a connection is read from the tables of the processes that the case has
started. Bytes that meet a cut are held and go on when it has healed, as with a
network partition; new connections hang.
"""

import asyncio
import os
import threading


def opened_by(port, pids):
    """The process among pids that has the loopback socket with this local
    port; None if it is of another one."""
    inodes = set()
    with open("/proc/net/tcp") as table:
        for line in table.readlines()[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == port:
                inodes.add(fields[9])
    for pid in pids:
        folder = f"/proc/{pid}/fd"
        try:
            for name in os.listdir(folder):
                try:
                    target = os.readlink(os.path.join(folder, name))
                except OSError:
                    continue
                if target.startswith("socket:[") and target[8:-1] in inodes:
                    return pid
        except OSError:
            # The process has ended.
            continue
    return None


class Link:
    """A connection to the machine `to`, opened from a loopback port."""

    def __init__(self, to, port):
        self.to = to
        self.port = port
        self.looked_up = False
        self.opened_by = None


class Links:
    """Proxies before some machines; cut() separates two of them."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.processes = lambda: {}
        self.cuts = set()
        self.on_request = None
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, name, listen, target):
        """Carries what reaches listen to target, the machine called name."""
        asyncio.run_coroutine_threadsafe(
            self._serve(name, listen, target), self.loop
        ).result()

    def cut(self, one, others):
        """Separates the machine one from all others, both ways."""
        for other in others:
            self.cuts = self.cuts | {(one, other), (other, one)}

    def call_at(self, one, text, action):
        """Calls action once, when a request to the machine one holds text and
        before it is passed on; returns an event that is set then."""
        seen = threading.Event()

        def check(link, data):
            if link.to == one and text in data and not seen.is_set():
                action()
                seen.set()

        self.on_request = check
        return seen

    def heal(self):
        self.on_request = None
        self.cuts = set()

    async def _serve(self, name, listen, target):
        async def accept(reader, writer):
            await self._carry(name, target, reader, writer)

        host, port = listen.split(":")
        await asyncio.start_server(accept, host, int(port))

    async def _carry(self, name, target, reader, writer):
        link = Link(name, writer.get_extra_info("peername")[1])
        back_writer = None
        try:
            await self._pass(link)
            host, port = target.split(":")
            back_reader, back_writer = await asyncio.open_connection(
                host, int(port)
            )
            await self._both(
                self._pump(link, reader, back_writer, True),
                self._pump(link, back_reader, writer, False),
            )
        except OSError:
            pass
        finally:
            for end in (writer, back_writer):
                if end:
                    end.transport.abort()

    def _is_cut(self, link):
        # Who has opened it is looked up only when that matters.
        if not any(link.to in pair for pair in self.cuts):
            return False
        if not link.looked_up:
            pids = self.processes()
            link.opened_by = pids.get(opened_by(link.port, pids))
            link.looked_up = True
        return (link.opened_by, link.to) in self.cuts

    async def _pass(self, link):
        """Waits until the link is not cut."""
        while self._is_cut(link):
            await asyncio.sleep(0.005)

    @staticmethod
    async def _both(*directions):
        """Runs until one direction has ended: the processes keep connections
        open while they are in use."""
        tasks = [asyncio.ensure_future(each) for each in directions]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _pump(self, link, reader, writer, is_request):
        while data := await reader.read(65536):
            if is_request and self.on_request:
                self.on_request(link, data)
            await self._pass(link)
            writer.write(data)
            await writer.drain()
