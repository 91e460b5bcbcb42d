"""The two small deployments of the users' pages, as settings and stand-ins."""

import asyncio

from common import Balancer, Controllers, free_ports, now
from services import Cloud, StateService
from workers import Worker

TIMBER = {
    "members": ["lathe-0", "lathe-1", "lathe-2"],
    "zones": ["klang-shed", "ipoh-office", "penang-depot", "rented-rack"],
    "teams": [("yard-office", 0.0, 0.0)],
    "objectives": [("finished", "stock-count", 90.0, 0.8), ("wait", "dispatch-list", 4.0, 0.82),
                   ("finished", "dispatch-list", 50.0, 0.9), ("finished", "offcut-report", 180.0, 0.9)],
    "state": {"rps": 150.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 8},
    "workers": {"report_s": 3.0, "lease_s": 45.0, "cancel_s": 70.0},
    "cloud": {"rps": 5.0, "list_lag_s": 3.0},
    "limits": {"cores": 0.16, "mem_mb": 264.0, "fd_limit": 5000},
    "types": [{"label": "papan-box", "cpus": 4.0, "gpus": 0.0, "ramGb": 16.0, "localGb": 60.0,
               "fetchGbPerS": 0.4, "price": 0.19, "lowPrice": 0.05, "startupS": 35.0}],
    "machines": [("papan-box", zone) for zone in
                 ["klang-shed", "ipoh-office", "penang-depot", "rented-rack"] for _ in range(2)],
}

GRID = {
    "members": ["lathe-0", "lathe-1", "lathe-2"],
    "zones": ["danang-a", "hcm-a", "hcm-b", "hanoi-a"],
    "teams": [("rong-vang", 16.0, 72.0), ("sao-bang", 24.0, 56.0), ("ho-guom", 48.0, 160.0),
              ("tre-xanh", 40.0, 136.0), ("nen-tang", 24.0, 72.0)],
    "objectives": [("finished", "replay-audit", 80.0, 0.82), ("deadline", "hotfix-build", 0.0, 0.9),
                   ("wait", "hotfix-build", 30.0, 0.85), ("finished", "asset-bake", 200.0, 0.85),
                   ("finished", "asset-bake", 300.0, 0.93)],
    "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 16},
    "workers": {"report_s": 3.0, "lease_s": 22.0, "cancel_s": 52.0},
    "cloud": {"rps": 5.0, "list_lag_s": 10.0},
    "limits": {"cores": 0.096, "mem_mb": 72.0, "fd_limit": 2500},
    "types": [{"label": "quad-lane", "cpus": 4.0, "gpus": 0.0, "ramGb": 16.0, "localGb": 30.0,
               "fetchGbPerS": 0.6, "price": 0.29, "lowPrice": 0.09, "startupS": 40.0},
              {"label": "octo-lane", "cpus": 8.0, "gpus": 0.0, "ramGb": 32.0, "localGb": 80.0,
               "fetchGbPerS": 0.2, "price": 0.61, "lowPrice": 0.2, "startupS": 50.0}],
    "machines": [("quad-lane", zone) for zone in ["hcm-a", "hcm-b", "hanoi-a"] for _ in range(4)]
                + [("octo-lane", "danang-a"), ("octo-lane", "hcm-a")],
}


def settings_text(site):
    text = "[settings]\ninitial_size = 3\nskew_ms = 5.0\n"
    text += "zones = [" + ", ".join(f'"{z}"' for z in site["zones"]) + "]\n"
    for name, cpus, cpus_max in site["teams"]:
        text += f'[[settings.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {cpus_max}\n'
        text += "gpus = 0.0\ngpus_max = 0.0\n"
    for kind, grade, within_s, share in site["objectives"]:
        text += f'[[settings.objectives]]\nkind = "{kind}"\nclass = "{grade}"\nshare = {share}\n'
        text += f"within_s = {within_s}\n" if within_s else "times = 1.0\n"
    workers = site["workers"]
    text += "[settings.workers]\n" + "".join(f"{k} = {v}\n" for k, v in workers.items())
    text += "gang_wait_s = 35.0\ngang_peer_s = 6.0\n"
    for part, key in [("state", "state"), ("cloud", "cloud"), ("machine_limits", "limits")]:
        text += f"[settings.{part}]\n" + "".join(f"{k} = {v}\n" for k, v in site[key].items())
    return text


class Deployment:
    """Controllers with the stand-ins around them."""

    def __init__(self, record, site):
        self.record, self.site = record, site
        members = site["members"]
        types = {t["label"]: t for t in site["types"]}
        machines = site["machines"]
        ports = free_ports(2 + len(machines))
        self.state_port, self.cloud_port = ports[:2]
        self.state = StateService(record, **site["state"])
        self.controllers = Controllers(record, members, site["zones"], settings_text(site),
                                       self.cloud_port, self.state_port)
        self.jobs, self.events = {}, []
        self.workers = []
        for number, (bench, yard) in enumerate(machines):
            kind = types[bench]
            self.workers.append(Worker(
                record, f"vm-{number + 1:06}", bench, yard, kind["cpus"], kind["ramGb"],
                kind["fetchGbPerS"], ports[2 + number], site["workers"],
                members, self.controllers.ports, self.jobs, self.events))
        offered = [{**t, "yards": sorted({y for b, y in machines if b == t["label"]})} for t in site["types"]]
        self.cloud = Cloud(record, offered, self.workers)
        self.balancer = Balancer(record, self.controllers)

    async def begin(self, tasks):
        """Starts everything; `tasks` gets the background tasks."""
        await self.state.server.listen(self.state_port)
        await self.cloud.server.listen(self.cloud_port)
        self.controllers.write_settings()
        tasks.append(asyncio.create_task(self.state.expire()))
        for i in range(len(self.controllers.names)):
            self.controllers.start(i)
        for worker in self.workers:
            worker.lease_from = now()
            await worker.begin()
        for i in range(len(self.controllers.names)):
            tasks.append(asyncio.create_task(self.balancer.probe(i)))

    async def healthy(self, limit_s=15.0):
        """Waits until all controllers are healthy."""
        until = now() + limit_s
        while not all(self.balancer.healthy):
            if now() > until:
                raise RuntimeError("the controllers did not become healthy")
            await asyncio.sleep(0.1)

    def job(self, ref, grade, crew, urgency, planks, cpus, ram_gb, run_s, pattern="img-01",
            pull_gb=0.6, notch_s=0.0, stack_s=0.0, upstream=None):
        """Uploads a job's description, and returns its submission."""
        submission = {
            "ref": ref, "grade": grade, "crew": crew, "cut": "batch", "urgency": urgency,
            "planks": planks, "cpus": cpus, "gpus": 0.0, "ramGb": ram_gb, "pattern": pattern,
            "pullGb": pull_gb, "benches": None, "yard": None, "together": False, "apart": False,
            "loaners": True, "expectedS": run_s, "notchS": notch_s, "stackS": stack_s, "dueS": None,
        }
        if upstream:
            submission["upstream"] = upstream
        self.jobs[ref] = {**submission, "runS": run_s}
        return submission

    def started(self, ref):
        return [e for e in self.events if e["kind"] == "started" and e["plank"].startswith(ref + "/")]

    def end(self, tasks):
        for task in tasks:
            task.cancel()
        for worker in self.workers:
            for task in worker.tasks:
                task.cancel()
            worker.server.close()
        self.controllers.stop()
        self.state.server.close()
        self.cloud.server.close()
