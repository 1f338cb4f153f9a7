"""A node: cores that serve a FIFO queue, a connection limit, a speed ramp-up after a start, and faults."""

import collections

RAMP_UP_STEP = 5_000  # 0.5 s between speed updates of a cold node


class Job:
    """A try at a node. remaining_work: in core seconds at speed 1; finish_serial: of the latest scheduled
    finish, which outdates earlier ones."""

    __slots__ = ("call", "on_done", "finish_serial", "remaining_work", "accounted_at", "state")

    def __init__(self, call, work, on_done):
        self.call, self.remaining_work, self.on_done = call, work, on_done
        self.state, self.accounted_at, self.finish_serial = "queued", 0, 0


class Node:
    """kind: script.Kind; rules: a RuleChecker or None.

    `submit` begins a try; its `on_done(outcome)` is called with "ok", "failed" or "refused" (it never ran),
    or never if the node does not answer. Faults are keyed by name, so that they may overlap and end in any
    order. failed_cold: overloaded while cold, so that it crashed for good."""

    def __init__(self, scheduler, name, kind, zone, started_at=None, rules=None):
        self.scheduler, self.name, self.kind, self.zone, self.rules = scheduler, name, kind, zone, rules
        self.running, self.queue = {}, collections.deque()
        self.up, self.started_at, self.failed_cold = True, started_at or 0, False
        self.ramp_up_time = int(kind.warm_after * 10_000) if started_at is not None else 0
        self.slow, self.stolen, self.errors = {}, {}, {}  # fault -> amount
        self.silent, self.paused = {}, {}
        self.connections, self.random = {}, scheduler.random_stream(f"node {name}")
        self.work_done, self.started_jobs, self.recent_cold_work = 0.0, 0, collections.deque()
        self.scheduled_speed = None  # the core speed by which running jobs were last scheduled
        if self.ramp_up_time:
            scheduler.call_later(RAMP_UP_STEP, self.ramp_up)

    def calls_in_hand(self):
        """The number of running and queued jobs."""
        return len(self.running) + len(self.queue)

    def speed_fraction(self):
        """Its share of full speed: rises linearly from start_share to 1 over the ramp-up time."""
        age = self.scheduler.now - self.started_at
        if age >= self.ramp_up_time:
            return 1.0
        return self.kind.start_share + (1 - self.kind.start_share) * age / self.ramp_up_time

    def core_speed(self):
        """Work that one core does per second, faults included."""
        if self.paused or not self.up:
            return 0.0
        core_speed = self.kind.speed * self.speed_fraction()
        for amount in self.slow.values():
            core_speed /= amount
        for amount in self.stolen.values():
            core_speed *= 1 - amount
        return core_speed

    def ramp_up(self):
        """Updates the speed periodically until it is full."""
        if self.up and self.speed_fraction() < 1:
            self.reschedule_running()
            self.scheduler.call_later(RAMP_UP_STEP, self.ramp_up)

    def reschedule_running(self):
        """Reschedules the finish of running jobs after a change of speed."""
        core_speed = self.core_speed()
        for job in self.running:
            self.account_work(job)
            self.schedule_finish(job, core_speed)
        self.scheduled_speed = core_speed

    def account_work(self, job):
        """Accounts for the work done on a job since it was last accounted for."""
        core_speed = self.scheduled_speed if self.scheduled_speed is not None else self.core_speed()
        progress = min(job.remaining_work, (self.scheduler.now - job.accounted_at) / 10_000 * core_speed)
        job.remaining_work, job.accounted_at = job.remaining_work - progress, self.scheduler.now
        self.work_done += progress

    def schedule_finish(self, job, core_speed):
        """Schedules the finish of a job at this speed; none at speed 0."""
        job.finish_serial += 1
        if core_speed > 0:
            self.scheduler.call_later(
                int(job.remaining_work / core_speed * 10_000) + 1, self.finish_job, job, job.finish_serial
            )

    def submit(self, call, proxy, on_done):
        """A try arrives. Returns its Job, or None if it was answered at once or never will be."""
        if not self.up:
            on_done("refused")
            return None
        handshake = 0.0
        if proxy not in self.connections:
            if len(self.connections) >= self.kind.accept:
                on_done("refused")
                return None
            self.connections[proxy], handshake = True, self.kind.handshake
        if self.speed_fraction() < 1 and self.overload_while_cold(call.work + handshake):
            on_done("refused")
            return None
        if self.silent:
            return None
        if self.errors and self.random.random() < max(self.errors.values()):
            on_done("failed")
            return None
        job = Job(call, call.work + handshake, on_done)
        if len(self.running) < self.kind.cores:
            self.start_job(job)
        elif len(self.queue) < self.kind.queue:
            self.queue.append(job)
        else:
            on_done("refused")
            return None
        return job

    def overload_while_cold(self, work):
        """Crashes a cold node, and returns True, if the work that it received within the cold window exceeds
        fall_multiple times its capacity."""
        rules, now = self.rules, self.scheduler.now
        if rules is None:
            return False
        self.recent_cold_work.append((now, work))
        while self.recent_cold_work[0][0] <= now - rules.cold_window:
            self.recent_cold_work.popleft()
        capacity = self.kind.cores * self.kind.speed * self.speed_fraction() * rules.cold_window / 10_000
        if sum(w for _, w in self.recent_cold_work) <= rules.fall_multiple * capacity:
            return False
        self.failed_cold = True
        self.stop()
        rules.record_cold_overload(self.name)
        return True

    def start_job(self, job):
        """Starts a job on a free core."""
        job.state, job.accounted_at = "running", self.scheduler.now
        self.started_jobs += 1
        if self.rules is not None:
            self.rules.record_execution(job.call, self.name)
        self.running[job] = True
        self.scheduled_speed = self.core_speed()
        self.schedule_finish(job, self.scheduled_speed)

    def finish_job(self, job, serial):
        """Finishes a job, unless it was rescheduled or ended since."""
        if job.state != "running" or serial != job.finish_serial:
            return
        self.account_work(job)
        self.remove_job(job)
        job.on_done("ok")

    def remove_job(self, job):
        """Removes a job; queued ones get the free core."""
        if job.state == "running":
            del self.running[job]
        elif job.state == "queued" and job in self.queue:
            self.queue.remove(job)
        job.state = "ended"
        while self.queue and len(self.running) < self.kind.cores and self.up:
            self.start_job(self.queue.popleft())

    def cancel(self, job):
        """Cancels a job whose client has given up: its remaining work is not done."""
        if job.state == "running":
            self.account_work(job)
        self.remove_job(job)

    def stop(self):
        """Ends the process: running and queued jobs fail alike, and callers can't tell whether they ran."""
        self.up = False
        jobs = [*self.running, *self.queue]
        self.running, self.queue, self.connections = {}, collections.deque(), {}
        for job in jobs:
            job.state = "ended"
            job.on_done("failed")

    def start(self):
        """The process restarts cold, unless the node failed for good."""
        if self.up or self.failed_cold:
            return
        self.up, self.started_at = True, self.scheduler.now
        self.ramp_up_time = int(self.kind.warm_after * 10_000)
        self.scheduled_speed = None
        self.scheduler.call_later(RAMP_UP_STEP, self.ramp_up)
