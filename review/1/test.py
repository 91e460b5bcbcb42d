"""Case 1: an accepted job that no controller runs after an outage of the state service."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from common import NoAnswer, TROUBLE, now, run_script  # noqa: E402
from deployment import TIMBER, Deployment  # noqa: E402
from users import User  # noqa: E402

OUTAGE_S = 13.0
WAIT_S = 90.0
JOBS = 2
SLOW_S = 0.0 if os.environ.get("SLOW") == "0" else 2.0


async def main(record):
    deployment = Deployment(record, TIMBER)
    state, tasks = deployment.state, []
    try:
        await deployment.begin(tasks)
        await deployment.healthy()
        # A client with a job that runs for long; it polls on a connection that it keeps.
        first = User(record, deployment.balancer, deployment.job(
            "j-000001", "stock-count", "yard-office", "standard", 1, 1.0, 2.2, 200.0))
        if not await first.submit():
            raise RuntimeError("the first job was not accepted")
        until = now() + 10.0
        while await first.poll() != "running":
            if now() > until:
                raise RuntimeError("the first job did not start")
            await asyncio.sleep(0.5)

        # It submits two more jobs, on new connections, which the balancer gives to the other nodes.
        users = [
            User(record, deployment.balancer, deployment.job(
                f"j-{100 + n:06}", "stock-count", "yard-office", "standard", 2, 1.0, 2.2, 20.0))
            for n in range(JOBS)
        ]
        refs = {user.ref for user in users}
        outage = asyncio.Event()

        def after(path, body, result):
            """The outage begins while the submissions are written: these transactions are
            carried out, and their answers do not get out any more."""
            if path != "/txn" or result[0] != 200:
                return
            written = [w["set"][2:] for w in json.loads(body)["writes"] if w.get("set", "").startswith("j/")]
            if refs.intersection(written):
                record.write(f"state service: acceptance of {written} is carried out, its answer is lost")
                outage.set()
                raise NoAnswer

        if TROUBLE:
            state.after = after
            state.gate = outage

        async def live(user):
            if user is not first:
                await user.submit(other=first)
            await user.poll_loop(lambda: 5.0 * random.uniform(0.9, 1.1))

        lives = [asyncio.create_task(live(user)) for user in [first] + users]
        if TROUBLE:
            await asyncio.wait_for(outage.wait(), 5.0)
            # What was under way in the last tenth of a second is carried out as well.
            await asyncio.sleep(0.1)
            state.after = None
            state.begin_outage()
            begun = now()
            await asyncio.sleep(OUTAGE_S)
            # "Responses usually take under 10 ms, and occasionally a few hundred": those to leases
            # and transactions take 200 to 400 ms for the first two seconds. With SLOW=0 they don't.
            state.slow_until = now() + SLOW_S
            state.end_outage()
            state.gate = None
            state.notify()
            record.write(f"the outage took {now() - begun:.1f} s")
        over = now()
        broken = []
        while now() < over + WAIT_S:
            if all(user.accepted_at and len(deployment.started(user.ref)) == 2 for user in users):
                break
            await asyncio.sleep(0.5)
        for user in users:
            starts = deployment.started(user.ref)
            last = user.answers[-1] if user.answers else None
            if user.accepted_at is None:
                record.say(f"{user.ref}: never accepted")
            elif not starts:
                free = sum(not any(a["stage"] != "ended" for a in w.attempts.values())
                           for w in deployment.workers)
                record.say(f"{user.ref}: accepted at {user.accepted_at:.1f} s by {user.name()}, "
                           f"no task started within {now() - over:.1f} s after the outage, "
                           f"{free} of {len(deployment.workers)} machines idle, last answer {last}")
                broken.append(user.ref)
            else:
                record.say(f"{user.ref}: accepted at {user.accepted_at:.1f} s, {len(starts)} tasks "
                           f"started from {starts[0]['at']:.1f} s on")
        for name in deployment.controllers.ended_by_itself():
            record.say(f"controller {name} ended by itself")
        record.write(f"requests over the state service's limits: {state.over_limit}")
        for life in lives:
            life.cancel()
        record.say("rule broken" if broken else "rule held")
        return 1 if broken else 0
    finally:
        deployment.end(tasks)


run_script(main, FOLDER)
