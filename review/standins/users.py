"""Stand-in for users: submissions with retries, polls and cancellations through the balancer."""

import asyncio

from common import Balancer, now


class User:
    """The user of one job."""

    def __init__(self, record, balancer, submission):
        self.record, self.balancer, self.submission = record, balancer, submission
        self.ref = submission["ref"]
        self.accepted_at = None
        self.answers = []
        self.connection = self.node = None

    def drop(self):
        if self.connection is not None:
            Balancer.drop(self.connection)
            self.connection = None

    def connect(self):
        picked = self.balancer.connect()
        if picked is None:
            return False
        self.connection, self.node = picked
        return True

    def name(self):
        return self.balancer.controllers.names[self.node]

    async def request(self, method, path, body, timeout):
        """One request at a time on a connection. Returns (status, headers, value); the status is
        0 without an answer."""
        connection = self.connection
        async with connection.lock:
            try:
                return await connection.request(method, path, body, timeout)
            except (OSError, TimeoutError) as error:
                return 0, {}, str(error)

    async def submit(self, other=None):
        """Submits, with retries for up to 60 s. The first try is on a new connection. A further
        one is on the connection of `other`, a user of the same client, or on a new one. The
        connection of the last answer is kept for the polls."""
        begun = now()
        self.record.write(f"user of {self.ref}: will submit {self.submission}")
        while now() - begun < 60.0:
            pause = 1.0
            if self.connection is None and not self.connect():
                await asyncio.sleep(pause)
                continue
            self.record.write(f"user of {self.ref}: POST /work to {self.name()}")
            status, headers, value = await self.request("POST", "/work", self.submission, 5.0)
            pause = max(pause, min(30.0, float(headers.get("retry-after", 0))))
            self.record.write(f"user of {self.ref}: {self.name()} answers {status} {value}")
            if status in (200, 201):
                self.accepted_at = now()
                return True
            if other is not None and other.connection is not None:
                if self.connection is not other.connection:
                    self.drop()
                    self.connection, self.node = other.connection, other.node
            else:
                self.drop()
            if status in (400, 422):
                return False
            await asyncio.sleep(pause)
        return False

    async def poll(self, timeout=2.0):
        """One question; returns the answer's stage, 404, or None without an answer."""
        if self.connection is None and not self.connect():
            return None
        status, _, value = await self.request("GET", f"/work/{self.ref}", None, timeout)
        stage = value["stage"] if status == 200 else (404 if status == 404 else None)
        self.answers.append((now(), stage))
        self.record.write(f"user of {self.ref}: poll at {self.name()}: {status} {value}")
        if status == 0:
            self.drop()
        return stage

    async def poll_loop(self, interval):
        """Polls until the job is done or cancelled; `interval()` is the time between polls."""
        while await self.poll() not in ("done", "cancelled"):
            await asyncio.sleep(interval())

    async def abort(self):
        """Cancels, with retries until an answer says so; returns the time of that answer."""
        while True:
            if self.connection is None and not self.connect():
                await asyncio.sleep(1.0)
                continue
            self.record.write(f"user of {self.ref}: abort to {self.name()}")
            status, _, value = await self.request("POST", f"/work/{self.ref}/abort", None, 5.0)
            self.record.write(f"user of {self.ref}: {self.name()} answers {status} {value}")
            if status == 200:
                return now(), value["stage"]
            self.drop()
            await asyncio.sleep(1.0)
