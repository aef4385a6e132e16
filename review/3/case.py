"""A controller ends and is back at once while a job's cancellation waits for a machine that lost the
network. A job that needs the cancelled one is called `aborted` by the controller that reads the
records, and `pending` by all of them afterwards."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins import CannotRun, job, play  # noqa: E402

FILLERS = 1_060
CANCELLED, DEPENDENT, LONG = "j-000100", "j-000101", "j-000102"


def submit_fillers(world):
    """Jobs that wait for a long one, so that the records take more than one page of a list."""
    names = [f"j-{200_000 + i:06d}" for i in range(FILLERS)]
    lock, accepted = threading.Lock(), []

    def user(first):
        while True:
            with lock:
                if not names:
                    return
                name = names.pop(0)
            spec = job(name, owner="franquicias", jobclass="royalty-sheet", vcpus=1.0, ramGb=1.6,
                       awaits=[LONG])
            if world.submit(spec, 8.0, first=first, quiet=True) in (200, 201):
                with lock:
                    accepted.append(name)

    users = [threading.Thread(target=user, args=(i,), daemon=True) for i in range(48)]
    for thread in users:
        thread.start()
    until = time.monotonic() + 75.0
    for thread in users:
        thread.join(max(0.1, until - time.monotonic()))
    world.record.line("user", f"{len(accepted)} of {FILLERS} jobs accepted that need {LONG}")
    if len(accepted) < FILLERS:
        raise CannotRun(f"only {len(accepted)} jobs accepted")


class Asker:
    """Asks all healthy controllers for one job, again and again."""

    def __init__(self, world):
        self.world, self.lock = world, threading.Lock()
        self.answers = []  # (asked at, answered at, controller, standing)
        self.is_over = False
        self.threads = [threading.Thread(target=self.ask, args=(node,), daemon=True)
                        for node in world.nodes for _ in range(2)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.is_over = True
        for thread in self.threads:
            thread.join(3.0)

    def ask(self, node):
        last = None
        while not self.is_over and not self.world.is_over:
            time.sleep(0.008)
            if not node.is_healthy:
                continue
            asked_at = time.monotonic()
            answer = self.world.request(node, "GET", f"/v2/runs/{DEPENDENT}", timeout=2.0, quiet=True)
            shown = "no answer" if answer is None else str(answer[0])
            if answer and answer[0] == 200:
                shown = answer[2]["standing"]
                with self.lock:
                    self.answers.append((asked_at, time.monotonic(), node.name, shown))
            if shown != last:
                self.world.record.line("user", f"{node.name} GET {DEPENDENT} -> {shown}"
                                       f" (asked {time.monotonic() - asked_at:.3f} s before)")
                last = shown

    def went_back(self):
        """A question asked after an answer `aborted` had arrived, and answered otherwise."""
        with self.lock:
            aborted = [a for a in self.answers if a[3] == "aborted"]
            if not aborted:
                return None
            first = min(aborted, key=lambda a: a[1])
            later = [a for a in self.answers if a[0] > first[1] and a[3] != "aborted"]
            return (first, later[0], len(later)) if later else None


def case(world, has_trouble):
    for yard in ("capital", "xela"):
        world.cloud.add("pepian", yard, False, is_up=True)
    names = list(world.cloud.hosts)
    world.start()

    # The long job keeps a machine of its own zone busy; the fillers wait for it.
    world.submit(job(LONG, owner="franquicias", vcpus=2.0, yard="xela", reclaimable=False), 600.0)
    world.submit(job(CANCELLED, vcpus=2.0, yard="capital", reclaimable=False), 600.0)
    world.submit(job(DEPENDENT, vcpus=2.0, awaits=[CANCELLED]), 10.0)
    world.wait_for(lambda: world.began(CANCELLED) and world.began(LONG), 20.0, "running tasks")
    submit_fillers(world)

    held_by = world.began(CANCELLED)[-1][2]
    machine = world.cloud.worker(held_by)
    if has_trouble:
        world.record.line("trouble", f"{held_by} loses the network")
        machine.is_cut = True
        time.sleep(3.0)

    # Its user asks to cancel the job. The answer is 503 while the machine can't be reached.
    asker = Asker(world)
    time.sleep(0.3)
    answer = world.request(world.nodes[0], "POST", f"/v2/runs/{CANCELLED}/withdraw")
    if has_trouble:
        if not answer or answer[0] == 200:
            raise CannotRun("the cancellation was confirmed although the machine is cut off")
        time.sleep(0.5)
        # Answers of the state service take a few hundred milliseconds now and then.
        world.state.list_delay_s = 0.3
        node = world.nodes[2]
        node.kill()
        time.sleep(0.1)
        node.start()
        time.sleep(4.0)
        world.state.list_delay_s = 0.0
    time.sleep(3.0)
    asker.stop()
    counts = {}
    for _, _, name, standing in asker.answers:
        counts[(name, standing)] = counts.get((name, standing), 0) + 1
    world.record.line("user", f"answers for {DEPENDENT}: {counts}")
    if not asker.answers:
        raise CannotRun("no answers")
    found = asker.went_back()
    if found:
        first, later, count = found
        world.record.line("judge", f"{DEPENDENT} was called aborted by {first[2]}; {later[2]}, asked "
                          f"{later[0] - first[1]:.3f} s after that answer, called it {later[3]}"
                          f" ({count} such answers)")
    return not found


play(HERE, case, capacity={})
