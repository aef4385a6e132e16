"""Three machines fail every task that they start, and later start tasks normally again. A service that
met all three gets no further replica for as long as one of its replicas runs, although a machine has
room for it."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import MELEKT_FLAVOURS, MELEKT_SITE, CannotRun, job, play  # noqa: E402

SERVICE, REPLICAS, WAIT_S = "j-000700", 2, 90.0


def running(world):
    """The replicas on machines, by machine."""
    found = []
    for host in list(world.cloud.hosts.values()):
        worker = host["worker"]
        for (drop, _), task in list(worker.drops.items()) if worker else []:
            if drop.startswith(SERVICE) and task["standing"] == "running":
                found.append((drop, worker.name))
    return sorted(found)


def case(world, has_trouble):
    small = [world.cloud.add("bunna", "addis", False, is_up=True) for _ in range(3)]
    large = [world.cloud.add("injera", "addis", False, is_up=True) for _ in range(2)]
    workers = {name: world.cloud.worker(name) for name in small + large}
    world.start()
    time.sleep(4.0)  # each machine has reported
    for name in small if has_trouble else []:
        workers[name].is_sick = True
        world.record.line("trouble", f"{name} fails every task that it starts")
    status = world.submit(job(SERVICE, jobclass="pusher", owner="hub-ops", shape="daemon",
                              rank="critical", drops=REPLICAS, vcpus=4.0, ramGb=7.3, pullGb=1.0,
                              expectS=0.0, reclaimable=False), 0.0)
    if status != 201:
        raise CannotRun("the service was not accepted")
    if has_trouble:
        failed = lambda: {e[2] for e in world.task_log if e[1] == "ended"}  # noqa: E731
        world.wait_for(lambda: set(small) <= failed(), 25.0, "failures on each sick machine")
        for name in small:
            workers[name].is_sick = False
            world.record.line("trouble", f"{name} starts tasks normally again")
    over_at = time.monotonic()
    shown, turn = None, 0
    while time.monotonic() < over_at + WAIT_S + 1.0:
        now_running = running(world)
        if len({drop for drop, _ in now_running}) == REPLICAS:
            # They have to stay up: none of them on a machine that fails it.
            time.sleep(2.0)
            if len({drop for drop, _ in running(world)}) == REPLICAS:
                world.record.line("judge", f"all replicas run {time.monotonic() - over_at:.1f} s after"
                                  f" the end of the trouble: {running(world)}")
                return True
            continue
        rooms = []
        for name, host in list(world.cloud.hosts.items()):
            worker = host["worker"]
            if worker and not worker.is_sick and not worker.is_gone:
                tasks = [t for t in list(worker.drops.values()) if t["standing"] != "exited"]
                free = worker.vcpus - sum(t["vcpus"] for t in tasks)
                if free >= 4.0 and worker.ram - sum(t["ram"] for t in tasks) >= 7.3:
                    rooms.append((name, free))
        if not rooms:
            raise CannotRun("no machine has room")
        line = f"running {now_running}; machines with room and their free CPUs {rooms}"
        if line != shown or turn % 30 == 0:
            world.record.line("judge", line)
            world.request(world.nodes[turn % 3], "GET", f"/v2/runs/{SERVICE}", timeout=2.0)
            shown = line
        turn += 1
        time.sleep(0.5)
    world.record.line("judge", f"{len(running(world))} of {REPLICAS} replicas run {WAIT_S} s after the"
                      " end of the trouble")
    return False


play(HERE, case, site=MELEKT_SITE, flavours=MELEKT_FLAVOURS, capacity={})
