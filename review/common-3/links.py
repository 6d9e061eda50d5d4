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


class Links:
    """Proxies before some machines; cut() separates two of them."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.processes = lambda: {}
        self.cuts = set()
        self.healed = None
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._prepare(), self.loop).result()

    async def _prepare(self):
        self.healed = asyncio.Condition()

    def add(self, name, listen, target):
        """Carries what reaches listen to target, the machine called name."""
        asyncio.run_coroutine_threadsafe(
            self._serve(name, listen, target), self.loop
        ).result()

    def cut(self, one, others):
        """Separates the machine one from all others, both ways."""
        for other in others:
            self.cuts |= {(one, other), (other, one)}

    def heal(self):
        async def wake():
            self.cuts.clear()
            async with self.healed:
                self.healed.notify_all()

        asyncio.run_coroutine_threadsafe(wake(), self.loop).result()

    async def _serve(self, name, listen, target):
        async def accept(reader, writer):
            await self._carry(name, target, reader, writer)

        host, port = listen.split(":")
        await asyncio.start_server(accept, host, int(port))

    async def _carry(self, name, target, reader, writer):
        pids = self.processes()
        pid = opened_by(writer.get_extra_info("peername")[1], pids)
        pair = (pids.get(pid), name)
        back_writer = None
        try:
            await self._pass(pair)
            host, port = target.split(":")
            back_reader, back_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                self._pump(pair, reader, back_writer),
                self._pump(pair, back_reader, writer),
            )
        except OSError:
            pass
        finally:
            for end in (writer, back_writer):
                if end:
                    end.transport.abort()

    async def _pass(self, pair):
        """Waits until the pair is not cut."""
        async with self.healed:
            await self.healed.wait_for(lambda: pair not in self.cuts)

    async def _pump(self, pair, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._pass(pair)
                writer.write(data)
                await writer.drain()
        finally:
            # The end of one direction ends the connection: the processes keep
            # connections open while they are in use.
            writer.transport.abort() if reader.at_eof() else None
