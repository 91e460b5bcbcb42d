"""Stand-in for a worker, as PROTOCOL says: reports, commands, tokens, leases, images."""

import asyncio
import json
import random

from common import HOST, Connection, Server, now


class Worker:
    """One machine with its worker."""

    def __init__(self, record, name, bench, yard, cpus, ram_gb, fetch_gb_per_s, port, workers,
                 members, member_ports, jobs, events):
        """`jobs` has the submitted descriptions with `runS`; `events` gets starts and ends."""
        self.record, self.name, self.bench, self.yard = record, name, bench, yard
        self.cpus, self.ram_gb, self.fetch_gb_per_s = cpus, ram_gb, fetch_gb_per_s
        self.port, self.address = port, f"{HOST}:{port}"
        self.report_s, self.lease_s = workers["report_s"], workers["lease_s"]
        self.members, self.member_ports = members, member_ports
        self.jobs, self.events = jobs, events
        self.shift, self.tally, self.baton = 1, 0, 0
        self.attempts = {}
        self.images, self.fetching = set(), {}
        self.lease_from = now()
        self.node = random.randrange(len(members))
        self.wake = asyncio.Event()
        self.last_report = -10.0
        self.baton_told_at = -1000.0
        self.gone = False
        # The direct commands that were carried out, as they came.
        self.direct = []
        self.server = Server(self.handle)
        self.connection = None
        self.tasks = []

    async def begin(self):
        await self.server.listen(self.port)
        self.tasks = [asyncio.create_task(self.report_loop()), asyncio.create_task(self.lease_loop())]

    def end(self, why):
        self.gone = True
        for task in self.tasks:
            task.cancel()
        self.kill_all(why)
        self.server.close()

    # Tasks.

    def event(self, kind, plank, attempt, more=""):
        self.events.append({"at": now(), "kind": kind, "plank": plank, "try": attempt, "machine": self.name})
        self.record.write(f"{self.name} {kind} {plank} try {attempt} {more}".rstrip())

    def kill_all(self, why):
        for (plank, number), attempt in self.attempts.items():
            if attempt["timer"]:
                attempt["timer"].cancel()
            if attempt["stage"] in ("running", "flushing"):
                self.event("killed", plank, number, why)
        self.attempts.clear()
        for fetch in self.fetching.values():
            fetch.cancel()
        self.fetching.clear()

    def exit(self, plank, number, cause):
        attempt = self.attempts[(plank, number)]
        was = attempt["stage"]
        attempt.update(stage="ended", cause=cause, timer=None)
        if was in ("running", "flushing"):
            self.event("ended", plank, number, cause)
        self.give_up_fetches()
        self.wake.set()

    def give_up_fetches(self):
        for image in list(self.fetching):
            waits = any(a["stage"] == "fetching" and a["job"]["pattern"] == image for a in self.attempts.values())
            if not waits:
                self.fetching.pop(image).cancel()

    def run(self, plank, number, route):
        if (plank, number) in self.attempts:
            return
        ref, _, index = plank.partition("/")
        job = self.jobs.get(ref)
        attempt = {"stage": "ended", "cause": None, "timer": None, "job": job}
        active = [a for a in self.attempts.values() if a["stage"] != "ended"]
        self.record.write(f"{self.name} got run {plank} try {number} by {route}")
        self.events.append({"at": now(), "kind": "got run", "plank": plank, "try": number,
                            "machine": self.name, "route": route})
        if job is None or int(index) >= job["planks"]:
            attempt["cause"] = "no_such"
        elif any(p == plank and a["stage"] != "ended" for (p, _), a in self.attempts.items()):
            attempt["cause"] = "busy"
        elif (sum(a["job"]["cpus"] for a in active) + job["cpus"] > self.cpus + 1e-9
              or sum(a["job"]["ramGb"] for a in active) + job["ramGb"] > self.ram_gb + 1e-9):
            attempt["cause"] = "full"
        self.attempts[(plank, number)] = attempt
        if attempt["cause"] is None:
            attempt["stage"] = "fetching"
            if job["pattern"] in self.images:
                self.start_attempt(plank, number)
            elif job["pattern"] not in self.fetching:
                image = job["pattern"]
                self.fetching[image] = asyncio.get_running_loop().call_later(
                    job["pullGb"] / self.fetch_gb_per_s, self.fetched, image)
        self.wake.set()

    def fetched(self, image):
        self.fetching.pop(image, None)
        self.images.add(image)
        for (plank, number), attempt in list(self.attempts.items()):
            if attempt["stage"] == "fetching" and attempt["job"]["pattern"] == image:
                self.start_attempt(plank, number)

    def start_attempt(self, plank, number):
        attempt = self.attempts[(plank, number)]
        attempt["stage"] = "running"
        self.event("started", plank, number)
        attempt["timer"] = asyncio.get_running_loop().call_later(
            attempt["job"]["runS"], self.exit, plank, number, "done")
        self.wake.set()

    def halt(self, plank, number, wind_down):
        attempt = self.attempts.get((plank, number))
        if attempt is None or attempt["stage"] == "ended":
            return
        if attempt["stage"] == "flushing" and wind_down > 0:
            return
        job = attempt["job"]
        if attempt["timer"]:
            attempt["timer"].cancel()
        saves = attempt["stage"] == "running" and job["notchS"] > 0 and wind_down >= job["stackS"]
        self.record.write(f"{self.name} got halt {plank} try {number} windDownS {wind_down}")
        if saves:
            attempt["stage"] = "flushing"
            attempt["timer"] = asyncio.get_running_loop().call_later(
                job["stackS"], self.exit, plank, number, "stopped")
            self.wake.set()
        else:
            self.exit(plank, number, "stopped")

    def execute(self, orders, route):
        for order in orders:
            plank, number = order["plank"], order["try"]
            if order["verb"] == "run":
                self.run(plank, number, route)
            elif order["verb"] == "halt":
                self.halt(plank, number, order["windDownS"])
            elif self.attempts.get((plank, number), {}).get("stage") == "ended":
                del self.attempts[(plank, number)]
                self.record.write(f"{self.name} got clear {plank} try {number}")
                self.wake.set()

    def see(self, baton):
        if baton > self.baton:
            self.baton = baton
            if now() - self.baton_told_at >= self.lease_s / 2:
                self.baton_told_at = now()
                self.wake.set()

    # Reports and direct commands.

    def report(self):
        self.tally += 1
        planks = []
        for (plank, number), attempt in self.attempts.items():
            plank = {"plank": plank, "try": number, "stage": attempt["stage"]}
            if attempt["cause"]:
                plank["cause"] = attempt["cause"]
            planks.append(plank)
        return {"lathe": self.name, "address": self.address, "bench": self.bench, "yard": self.yard,
                "loaners": False, "shift": self.shift, "tally": self.tally, "baton": self.baton,
                "recallS": None, "planks": planks}

    async def handle(self, method, path, body):
        if method == "GET" and path == "/inspect":
            return 200, self.report()
        if method != "POST" or path != "/do":
            return 404, {}
        command = json.loads(body)
        if "baton" not in command or "shift" not in command:
            return 400, {}
        self.record.write(f"{self.name} POST /do {body.decode()}")
        if command["baton"] < self.baton or command["shift"] != self.shift:
            self.record.write(f"{self.name} answers 409")
            return 409, self.report()
        self.see(command["baton"])
        self.direct.append(body)
        self.execute(command["orders"], "direct command")
        return 200, self.report()

    async def lease_loop(self):
        while True:
            await asyncio.sleep(max(0.01, self.lease_from + self.lease_s - now()))
            if now() - self.lease_from > self.lease_s:
                self.record.write(f"{self.name} lease expired: session {self.shift + 1} begins")
                self.kill_all("lease")
                self.shift += 1
                self.lease_from = now()
                self.wake.set()

    async def report_loop(self):
        pause, retry = random.uniform(0.0, self.report_s), False
        while True:
            if retry:
                await asyncio.sleep(pause)
            else:
                try:
                    await asyncio.wait_for(self.wake.wait(), pause)
                except (asyncio.TimeoutError, TimeoutError):
                    pass
            retry = False
            await asyncio.sleep(max(0.0, self.last_report + 0.5 - now()))
            self.wake.clear()
            self.last_report = now()
            sent, shift = now(), self.shift
            pause = self.report_s * random.uniform(0.75, 1.25)
            if self.connection is None:
                self.connection = Connection(self.member_ports[self.node])
            try:
                status, _, answer = await self.connection.request("POST", "/v1/report", self.report(), 4.0)
            except (OSError, TimeoutError):
                status, answer = 0, None
            if status == 200:
                if shift == self.shift and answer.get("baton", -1) >= self.baton:
                    self.see(answer["baton"])
                    self.lease_from = max(self.lease_from, sent)
                    self.execute(answer["orders"], f"answer of {self.members[self.node]}")
                continue
            self.connection.close()
            self.connection = None
            foreman = (answer or {}).get("foreman") if status == 421 else None
            if foreman in self.members and self.members.index(foreman) != self.node:
                self.node = self.members.index(foreman)
                pause = random.uniform(0.0, 0.5)
            else:
                self.node = (self.node + 1) % len(self.members)
                pause = 1.0
            retry = True
