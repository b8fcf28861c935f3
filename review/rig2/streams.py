"""Clients of streams that take a broken stream up again, as the protocol page says."""

import asyncio
import random

__all__ = ["StreamClients"]

FAILURES = (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError, ValueError)
MAX_TRIES = 3
RETRY_S = 0.3


class Stream:
    """A stream of one client over all its tries.

    Attributes
    ----------
    keys : list of str
        Attempt ids, the first one first.
    pieces : list of (int, str)
        Id of each event and the version that wrote it.
    """

    def __init__(self, key):
        self.key = key
        self.keys = []
        self.first_key = ""
        self.pieces = []
        self.machine = ""
        self.complete = False
        self.ends_s = 0.0


class StreamClients:
    """Clients that begin streams and take them up again.

    Attributes
    ----------
    begun : list of (float, str, int)
        Time, machine and status of each request for a new stream; 0 for no answer.
    taken : list of (float, str, str, int, bool)
        Time, machine, stream, status and whether it goes on, of each first take-up.
    """

    def __init__(self, deployment, path, limit_s=15.0):
        self.deployment = deployment
        self.path = path
        self.limit_s = limit_s
        self.begun = []
        self.taken = []
        self.streams = []
        self.tasks = []
        self.addresses = {}

    def start(self, key, machine=None):
        """Begin a stream in the background."""
        stream = Stream(key)
        self.streams.append(stream)
        self.tasks.append(asyncio.ensure_future(self._run(stream, machine)))

    async def choose(self, avoid=()):
        """Return a machine that the directory names, or None."""
        deployment = self.deployment
        names = list(deployment.machines)
        random.shuffle(names)
        for name in names:
            machine = deployment.machines[name]
            try:
                found = await deployment.resolve(name, machine.zone)
            except FAILURES:
                continue
            usable = [
                other.name
                for other in deployment.machines.values()
                if other.listen["front"] in found and other.name not in avoid
            ]
            if usable:
                return random.choice(usable)
        return None

    async def _run(self, stream, machine):
        now_s = self.deployment.now_s
        stream.ends_s = now_s() + self.limit_s
        failed = set()
        for number in range(MAX_TRIES + 1):
            if stream.complete or now_s() >= stream.ends_s:
                return
            name = machine if machine and not number else await self.choose(failed)
            if name is None:
                await asyncio.sleep(RETRY_S)
                continue
            if not await self._try(stream, name, number):
                failed = {name} if not stream.pieces else failed | {name}
            await asyncio.sleep(0.0 if stream.pieces and number == 0 else RETRY_S)

    async def _try(self, stream, name, number):
        """Send one request; return whether it got events."""
        deployment = self.deployment
        key = f"{stream.key}-{number}"
        headers = {
            "X-Deadline-Ms": str(int(1000 * (stream.ends_s - deployment.now_s())))
        }
        resumes = bool(stream.pieces)
        if resumes:
            headers["Last-Event-Id"] = str(stream.pieces[-1][0])
            headers["Resumes"] = stream.first_key
        before = len(stream.pieces)
        sent_s, status = deployment.now_s(), 0
        stream.keys.append(key)
        deployment.log("client", key, "sends to", name, headers)
        try:
            left_s = stream.ends_s - deployment.now_s()
            async with asyncio.timeout(left_s):
                answer, writer = await deployment.call(name, self.path, key, headers)
                try:
                    status = answer.status
                    if status == 200:
                        stream.machine = name
                        await self._read(stream, answer, key)
                        stream.complete = True
                    else:
                        body = (await answer.body())[:200]
                        again = answer.headers.get("retry-after")
                        deployment.log("client", key, "gets", status, again, body)
                finally:
                    writer.close()
        except FAILURES as error:
            text = type(error).__name__
            deployment.log("client", key, "is cut after", len(stream.pieces), text)
        goes_on = len(stream.pieces) > before or stream.complete
        if resumes:
            self.taken.append((sent_s, name, stream.key, status, goes_on))
        elif not number:
            self.begun.append((sent_s, name, status if goes_on else 0))
        if stream.complete:
            deployment.log("client", key, "has all of", len(stream.pieces), "events")
        return goes_on

    async def _read(self, stream, answer, key):
        buffer = b""
        async for piece in answer.pieces():
            buffer += piece
            while b"\n\n" in buffer:
                raw, _, buffer = buffer.partition(b"\n\n")
                lines = dict(
                    line.split(": ", 1) for line in raw.decode().split("\n") if line
                )
                version = lines["data"].split(" ")[0]
                stream.pieces.append((int(lines["id"]), version))
                stream.first_key = stream.first_key or key
