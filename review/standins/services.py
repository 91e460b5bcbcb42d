"""Stand-ins for the state service and the cloud, as PROTOCOL says."""

import asyncio
import bisect
import json
import random
from urllib.parse import parse_qsl

from common import Server, now


class Bucket:
    """A rate limit that allows a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, now()

    def take(self, amount):
        t = now()
        self.level = min(self.rate, self.level + (t - self.at) * self.rate)
        self.at = t
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    """The state service."""

    KEPT = 10_000

    def __init__(self, record, rps, write_rps, value_kb, txn_ops, latency_s=0.004):
        self.record = record
        self.values = {}
        self.sorted = []
        self.leases = {}
        self.changes = []
        self.revision = 0
        self.next_lease = 1
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.latency_s = latency_s
        self.outage = False
        self.changed = asyncio.Event()
        self.over_limit = 0
        # A case may hook in: called after a request was carried out; may raise NoAnswer.
        self.after = None
        # Until then leases and transactions are answered after a few hundred milliseconds.
        self.slow_until = 0.0
        # Once this event is set, watches wait, as in an outage.
        self.gate = None
        self.server = Server(self.handle)

    # Faults.

    def begin_outage(self):
        self.outage = True
        self.record.say("state service: outage begins")

    def end_outage(self):
        for lease in self.leases.values():
            lease["until"] = now() + lease["ttl"]
        self.outage = False
        self.record.say("state service: outage over; all leases have their full time again")
        self.notify()

    # Data.

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease):
        if key not in self.values:
            bisect.insort(self.sorted, key)
        self.values[key] = (value, self.revision, lease)
        self.changes.append({"set": key, "value": value, "mark": self.revision})

    def remove(self, key):
        if key in self.values:
            del self.values[key]
            self.sorted.pop(bisect.bisect_left(self.sorted, key))
            self.changes.append({"drop": key, "mark": self.revision})

    def end_lease(self, number):
        del self.leases[number]
        keys = [k for k, (_, _, lease) in self.values.items() if lease == number]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.record.write(f"state service: lease {number} ended, removed {keys}")
            self.notify()

    async def expire(self):
        """Ends leases that were not renewed, up to 100 ms late and never early."""
        while True:
            if not self.outage:
                for number in [n for n, l in self.leases.items() if now() > l["until"]]:
                    self.end_lease(number)
            await asyncio.sleep(0.03)

    def transact(self, txn):
        writes, conditions = txn.get("writes", []), txn.get("if", [])
        if len(writes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, {"error": "too many operations"}
        for write in writes:
            if "set" in write and len(json.dumps(write["value"], separators=(",", ":"))) > self.value_bytes:
                return 400, {"error": "value too large"}
        if any(w.get("permit") is not None and w["permit"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        mark = lambda key: self.values[key][1] if key in self.values else 0
        failed = [c["k"] for c in conditions if mark(c["k"]) != c["mark"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if writes:
            self.revision += 1
            for write in writes:
                if "set" in write:
                    self.put(write["set"], write["value"], write.get("permit"))
                else:
                    self.remove(write["drop"])
            self.notify()
        return 200, {"ledger": self.revision}

    def listing(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        limit = min(int(query.get("limit", 1000)), 1000)
        first = max(bisect.bisect_left(self.sorted, prefix), bisect.bisect_right(self.sorted, after))
        pairs, size, more = [], 0, False
        for key in self.sorted[first:]:
            if not key.startswith(prefix):
                break
            value, mark, _ = self.values[key]
            size += len(json.dumps(value)) + len(key) + 40
            if len(pairs) == limit or (pairs and size > 512 * 1024):
                more = True
                break
            pairs.append({"k": key, "value": value, "mark": mark})
        return 200, {"pairs": pairs, "hasNext": more, "ledger": self.revision}

    async def follow(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        until = now() + min(int(query.get("blockMs", 0)), 60_000) / 1000
        while True:
            # During an outage open watches wait.
            if not self.outage and not (self.gate and self.gate.is_set()):
                first = bisect.bisect_right(self.changes, after, key=lambda c: c["mark"])
                if len(self.changes) - first > self.KEPT:
                    return 410, {"error": "too old"}
                events = [c for c in self.changes[first:] if c.get("set", c.get("drop")).startswith(prefix)]
                if events or now() >= until:
                    return 200, {"ledger": self.revision, "events": events}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.01, min(until - now(), 0.5)))
            except (asyncio.TimeoutError, TimeoutError):
                pass

    # Requests.

    async def handle(self, method, path, body):
        delay = self.latency_s * random.uniform(0.75, 1.25)
        if method == "POST" and now() < self.slow_until:
            delay = random.uniform(0.2, 0.4)
        await asyncio.sleep(delay / 2)
        if self.outage:
            return 503, {"error": "trouble"}
        result = self.execute(method, path, body)
        if result is None:
            target, query = path.split("?", 1)
            return await self.follow(dict(parse_qsl(query)))
        if self.after:
            self.after(path, body, result)
        await asyncio.sleep(delay / 2)
        return result

    def execute(self, method, path, body):
        """The result of a request; None if it is a watch."""
        if not self.requests.take(1):
            self.over_limit += 1
            return 429, {"error": "too many requests"}
        target, _, query = path.partition("?")
        if method == "POST" and target == "/txn":
            txn = json.loads(body)
            if len(body) > 64 * 1024:
                return 400, {"error": "too large"}
            if txn.get("writes") and not self.writes.take(len(txn["writes"])):
                self.over_limit += 1
                return 429, {"error": "too many changes"}
            return self.transact(txn)
        if method == "GET" and target == "/follow":
            return None
        if method == "GET" and target == "/kv":
            return self.listing(dict(parse_qsl(query)))
        if method == "GET" and target.startswith("/kv/"):
            key = target[4:]
            if key not in self.values:
                return 404, {"ledger": self.revision}
            value, mark, lease = self.values[key]
            pair = {"k": key, "value": value, "mark": mark}
            return 200, pair if lease is None else {**pair, "permit": lease}
        if method == "POST" and target == "/leases":
            number, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = json.loads(body)["ttlMs"] / 1000
            self.leases[number] = {"ttl": ttl, "until": now() + ttl}
            return 200, {"permit": number}
        if target.startswith("/leases/"):
            number = int(target.split("/")[2])
            if number not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_lease(number)
            else:
                self.leases[number]["until"] = now() + self.leases[number]["ttl"]
            return 200, {}
        return 400, {"error": "malformed"}


class Cloud:
    """The cloud: the machines that are up at the start, and no further capacity."""

    def __init__(self, record, types, machines):
        self.record, self.types, self.machines = record, types, machines
        self.server = Server(self.handle)

    async def handle(self, method, path, body):
        await asyncio.sleep(0.12)
        target, _, query = path.partition("?")
        if method == "GET" and target == "/flavors":
            return 200, {"benches": self.types}
        if method == "GET" and target == "/machines":
            after = dict(parse_qsl(query)).get("after", "")
            listed = [
                {"ref": w.name, "address": w.address, "bench": w.bench, "yard": w.yard,
                 "loaners": False, "stage": "running", "heldS": 600.0 + now()}
                for w in self.machines if w.name > after and not w.gone
            ]
            return 200, {"lathes": listed, "hasNext": False}
        if method == "POST" and target == "/machines":
            return 503, {"error": "no capacity"}
        if method == "POST" and target == "/machines/return":
            for worker in self.machines:
                if worker.name in json.loads(body)["lathes"]:
                    worker.end("returned")
            return 200, {}
        return 400, {"error": "malformed"}
