"""A huge array of small tasks puts more than a thousand of them on one machine. The machine's reports
keep the protocol's limit of 64 KiB, and every controller answers them with 400, so that its lease ends
and all its tasks are killed, those of other teams too, again and again."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import SMALL_SITE, CannotRun, job, play  # noqa: E402

ROUTER, HUGE = "j-000500", "j-000501"
RUN_S, WAIT_S = 20.0, 75.0
GUESTS = {"name": "univ-geodatos", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}


def case(world, has_trouble):
    name = world.cloud.add("jocon", "capital", False, is_up=True)
    machine = world.cloud.worker(name)
    world.start()
    world.submit(job(ROUTER, jobclass="rider-router", owner="despacho", shape="daemon",
                     rank="critical", vcpus=1.0, ramGb=1.6, expectS=0.0, reclaimable=False), 0.0)
    world.wait_for(lambda: world.began(ROUTER), 20.0, "running service")

    # By its memory the machine takes 1,085 of these tasks beside the service, by its CPUs more.
    drops = 5_000 if has_trouble else 900
    status = world.submit(job(HUGE, jobclass="ortofoto-pais", owner="univ-geodatos", rank="low",
                              drops=drops, vcpus=0.05, ramGb=0.47, pullGb=0.5, expectS=RUN_S,
                              reclaimable=False), RUN_S)
    if status != 201:
        raise CannotRun("the array was not accepted")
    until = time.monotonic() + WAIT_S
    turn, standing = 0, None
    while time.monotonic() < until and standing != "done":
        answer = world.request(world.nodes[turn % 3], "GET", f"/v2/runs/{HUGE}", timeout=2.0)
        standing = answer[2]["standing"] if answer and answer[0] == 200 else None
        turn += 1
        time.sleep(2.5)
    completed = sum(1 for drop in world.finished if drop.startswith(HUGE))
    refused = [r for r in machine.reports if r[3] == 400]
    largest = max((r[2] for r in machine.reports), default=0)
    world.record.line("judge", f"{completed} of {drops} tasks completed; {len(refused)} of "
                      f"{len(machine.reports)} reports answered with 400; most drops in a report "
                      f"{max((r[1] for r in machine.reports), default=0)}; largest report {largest} "
                      f"bytes; leases lost {machine.tenure - 1}; starts of the service's only replica "
                      f"{len(world.began(ROUTER))}")
    return not (completed == 0 and machine.tenure >= 3)


play(HERE, case, site={"teams": SMALL_SITE["teams"] + [GUESTS]}, capacity={})
