"""A loopback proxy that harms connections from outside the processes."""

import asyncio
import socket
import struct
import threading

PASS = "pass"
DELAY = "delay"
SILENT = "silent"
NO_ANSWERS = "no_answers"
NO_REQUESTS = "no_requests"
RESET = "reset"
MODES = (DELAY, SILENT, NO_ANSWERS, NO_REQUESTS, RESET)


class Link:
    """One listening address and where its connections go."""

    def __init__(self, name, listen, target):
        self.name = name
        self.listen = listen
        self.target = target
        self.mode = PASS
        self.delay = 0.0
        self.open = set()


class Proxy:
    """Carries all links on one loop in a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.links = {}
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, name, listen, target):
        link = Link(name, listen, target)
        self.links[name] = link
        asyncio.run_coroutine_threadsafe(self._serve(link), self.loop).result()
        return link

    def harm(self, name, mode, delay=0.0):
        """Changes a link; connections that are open feel it too."""
        link = self.links[name]
        link.delay = delay
        link.mode = mode
        if mode in (RESET, PASS):
            # What was silenced stays silent until its ends give it up, as
            # behind a middlebox that has lost track; a reset ends all.
            self.loop.call_soon_threadsafe(self._reset, link, mode)

    def close(self):
        async def end():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(end(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)

    def _reset(self, link, mode):
        if mode != RESET:
            return
        for writer in list(link.open):
            abort(writer)

    async def _serve(self, link):
        host, port = link.listen.split(":")

        async def accept(reader, writer):
            try:
                await self._carry(link, reader, writer)
            except asyncio.CancelledError:
                # The soak has ended.
                abort(writer)

        await asyncio.start_server(accept, host, int(port))

    async def _carry(self, link, reader, writer):
        if link.mode == RESET:
            return abort(writer)
        host, port = link.target.split(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            return abort(writer)
        for end in (writer, back_writer):
            link.open.add(end)
        await asyncio.gather(
            self._pump(link, reader, back_writer, NO_REQUESTS),
            self._pump(link, back_reader, writer, NO_ANSWERS),
        )
        for end in (writer, back_writer):
            link.open.discard(end)
            end.close()

    async def _pump(self, link, reader, writer, dropped_in):
        lost = False
        try:
            while data := await reader.read(65536):
                if link.mode == DELAY:
                    await asyncio.sleep(link.delay)
                # A stream that has lost bytes stays silent.
                lost = lost or link.mode in (SILENT, dropped_in)
                if not lost:
                    writer.write(data)
                    await writer.drain()
            if not lost and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            abort(writer)


def abort(writer):
    """Ends a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            pass
    writer.transport.abort()
