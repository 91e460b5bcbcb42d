"""Case 2: a repeated direct command runs a task beside its next attempt after a controller's end."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from common import TROUBLE, now, run_script  # noqa: E402
from deployment import GRID, Deployment  # noqa: E402
from users import User  # noqa: E402

LOW_JOBS = 16
# The brief: "back about 6 s after an end".
BACK_S = 6.0
COPY_AFTER_S = 1.0


def running(worker, ref=None):
    return [plank for (plank, _), a in worker.attempts.items()
            if a["stage"] != "ended" and (ref is None or plank.startswith(ref + "/"))]


def find_command(worker, plank, number):
    """The direct command that ran an attempt on a machine, as it came; None if there was none."""
    for body in worker.direct:
        for order in json.loads(body)["orders"]:
            if order["verb"] == "run" and (order["plank"], order["try"]) == (plank, number):
                return body
    return None


async def until_true(condition, limit_s, what):
    until = now() + limit_s
    while not condition():
        if now() > until:
            raise RuntimeError(what)
        await asyncio.sleep(0.1)


async def main(record):
    deployment = Deployment(record, GRID)
    controllers, tasks = deployment.controllers, []
    try:
        await deployment.begin(tasks)
        await deployment.healthy()
        lows = [User(record, deployment.balancer, deployment.job(
            f"j-{n + 1:06}", "asset-bake", "nen-tang", "low", 1, 4.0, 9.7, 110.0,
            pull_gb=1.2, notch_s=20.0, stack_s=4.0)) for n in range(LOW_JOBS)]
        if not all(await asyncio.gather(*(user.submit() for user in lows))):
            raise RuntimeError("a first job was not accepted")
        await until_true(lambda: all(deployment.started(u.ref) for u in lows), 30.0,
                         "the first jobs did not fill the machines")
        # Urgent work preempts some of them for a while.
        urgent = User(record, deployment.balancer, deployment.job(
            "j-000100", "hotfix-build", "rong-vang", "high", 12, 2.0, 5.0, 4.0, pull_gb=1.2))
        if not await urgent.submit():
            raise RuntimeError("the urgent job was not accepted")

        def moved():
            """(job, first machine, its command) of jobs whose second attempt runs elsewhere."""
            found = []
            for user in lows:
                starts = deployment.started(user.ref)
                if len(starts) != 2 or starts[0]["machine"] == starts[1]["machine"]:
                    continue
                first = next(w for w in deployment.workers if w.name == starts[0]["machine"])
                second = next(w for w in deployment.workers if w.name == starts[1]["machine"])
                command = find_command(first, user.ref + "/0", starts[0]["try"])
                known = any(p == user.ref + "/0" for p, _ in first.attempts)
                fits = first.baton == json.loads(command)["baton"] if command else False
                if command and fits and not known and running(second, user.ref):
                    found.append((user, first, second, command))
            return found

        await until_true(moved, 40.0, "no preempted task went on elsewhere")
        await until_true(lambda: not any(running(w, urgent.ref) for w in deployment.workers), 20.0,
                         "the urgent job did not end")
        await asyncio.sleep(3.0)
        user, first, second, command = moved()[0]
        record.say(f"{user.ref}/0 ran on {first.name}, was preempted and cleared there, and runs on {second.name}")
        # The users of what now runs on the first machine call it off, so that it has room.
        for plank in running(first):
            other = next(u for u in lows if plank.startswith(u.ref + "/"))
            told_at, stage = await other.abort()
            record.say(f"{other.ref} on {first.name} confirmed as {stage}")
        await until_true(lambda: not first.attempts, 20.0, "the first machine did not become idle")
        await asyncio.sleep(2.0)
        node = first.node
        if TROUBLE:
            controllers.signal(node, signal.SIGKILL)
            record.say(f"{controllers.names[node]}, which leads {first.name}, is killed")
            killed = now()
            await asyncio.sleep(COPY_AFTER_S)
            status, _ = await first.handle("POST", "/do", command)
            record.say(f"a copy of its earlier command reaches {first.name} {now() - killed:.1f} s later: "
                       f"{status}, {command.decode()}")
            await asyncio.sleep(BACK_S - COPY_AFTER_S)
            controllers.start(node)
        await asyncio.sleep(15.0)
        broken = False
        on = {}
        for event in deployment.events:
            key = event["plank"]
            machines = on.setdefault(key, set())
            if event["kind"] == "started":
                if machines - {event["machine"]}:
                    broken = True
                    record.say(f"{key} try {event['try']} started on {event['machine']} at {event['at']:.2f} s "
                               f"while it was on {sorted(machines)}")
                machines.add(event["machine"])
            elif event["kind"] in ("ended", "killed"):
                machines.discard(event["machine"])
        record.say("rule broken" if broken else "rule held")
        return 1 if broken else 0
    finally:
        deployment.end(tasks)


run_script(main, FOLDER)
