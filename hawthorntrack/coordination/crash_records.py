"""Decides from the crashes of targets which task caused them.

Load pattern: a task crashes each target that starts it. All runs on a target are lost
with it, so one crash puts all of their tasks under suspicion, and most did nothing.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from hawthorntrack.protocol.run_messages import CrashedRun
from hawthorntrack.state.plans import RunName, TaskName

# A task that crashes its target mostly does so while it starts.
EARLY_RUN_MS = 100
# Crashes at any age that make a task suspect.
CRASHES_OF_SUSPECT = 3
# Early crashes in a row that no innocent task is likely to meet.
EARLY_CRASHES_OF_CULPRIT = 2
# Crashes at any age after which a task is given up.
MAX_CRASHES = 4
# Possible crashes, unconfirmed ones included, after which a task is not started again.
MAX_POSSIBLE_CRASHES = 5
# Longer than callers submit a job again.
RECORD_RETENTION_S = 120.0
MAX_RECORDED_JOBS = 10_000


class CrashId(NamedTuple):
    """Identifies a run of a task that was lost in a crash: guard and run number."""

    guard: str
    number: int


class CrashEvidence(NamedTuple):
    """What a crash says about a task that ran on the target.

    Attributes
    ----------
    confirmed : bool
        Whether the task is known to have been in progress.
    age_ms : int
        How long its run had lasted, in milliseconds.
    isolated : bool
        Whether no other job that is under suspicion had runs there.
    """

    confirmed: bool
    age_ms: int
    isolated: bool = False

    @property
    def early(self) -> bool:
        """Return whether the task had just been started."""
        return self.age_ms <= EARLY_RUN_MS

    @property
    def strength(self) -> tuple[bool, int]:
        """Return what stronger evidence on the same crash has more of."""
        return self.confirmed, -self.age_ms


# A run ended with its target, and the guard's report on it has not arrived.
UNKNOWN_CRASH = CrashEvidence(False, 3_600_000)


def is_culprit(crashes: Mapping[CrashId, CrashEvidence]) -> bool:
    """Return whether a task is taken to crash the targets that start it.

    Examples
    --------
    >>> early, late = CrashEvidence(True, 15), CrashEvidence(True, 900)
    >>> first, second = CrashId("guard-1:1", 1), CrashId("guard-2:1", 2)
    >>> is_culprit({first: early}), is_culprit({first: early, second: early})
    (False, True)
    >>> is_culprit({first: late, second: late})
    False
    """
    confirmed = [evidence for evidence in crashes.values() if evidence.confirmed]
    early = sum(evidence.early for evidence in confirmed)
    caught = len(confirmed) > 1 and any(evidence.isolated for evidence in confirmed)
    return caught or early >= EARLY_CRASHES_OF_CULPRIT or len(confirmed) >= MAX_CRASHES


def is_suspect(crashes: Mapping[CrashId, CrashEvidence]) -> bool:
    """Return whether a task may be what crashed the targets, and is run in isolation.

    Explanation
    -----------
    Load pattern: a machine fails under the usual work. If all of its tasks had to wait
    for the few targets that are set apart, most would be too late. Those that had been
    running for a while are therefore placed as before.

    Examples
    --------
    >>> is_suspect({CrashId("guard-1:1", 1): CrashEvidence(True, 15)})
    True
    >>> is_suspect({CrashId("guard-1:1", 1): CrashEvidence(True, 900)})
    False
    """
    early = any(evidence.early for evidence in crashes.values())
    return early or len(crashes) >= CRASHES_OF_SUSPECT


class JobRecord(NamedTuple):
    """The crashes under the tasks of one job.

    Attributes
    ----------
    updated_at : float
        Time of the newest crash, in seconds.
    """

    updated_at: float
    tasks: dict[TaskName, dict[CrashId, CrashEvidence]]


class CrashRecords:
    """The crashes under tasks, by job; they outlive the submission of the job."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobRecord] = {}

    def add(
        self, task: TaskName, crash: CrashId, evidence: CrashEvidence, now: float
    ) -> bool:
        """Record a crash; return whether that says anything new.

        Explanation
        -----------
        The end of a run says less than its guard's report, and either may arrive first.
        """
        tasks = self.crashes_by_task(task.job)
        known = tasks.get(task, {}).get(crash)
        if known is not None and known.strength >= evidence.strength:
            return False
        tasks.setdefault(task, {})[crash] = evidence
        self.jobs.pop(task.job, None)
        self.jobs[task.job] = JobRecord(now, tasks)
        if len(self.jobs) > MAX_RECORDED_JOBS:
            del self.jobs[next(iter(self.jobs))]
        return True

    def crashes_by_task(self, job: str) -> dict[TaskName, dict[CrashId, CrashEvidence]]:
        """Return the crashes under the tasks of a job; empty if there is no record."""
        record = self.jobs.get(job)
        return record.tasks if record is not None else {}

    def count(self, task: TaskName) -> int:
        """Return the number of crashes under a task."""
        return len(self.crashes_by_task(task.job).get(task, ()))

    def crashed_runs(self) -> dict[str, list[CrashedRun]]:
        """Return the runs of all recorded crashes by guard."""
        runs: dict[str, list[CrashedRun]] = defaultdict(list)
        for record in self.jobs.values():
            for task, crashes in record.tasks.items():
                for crash, evidence in crashes.items():
                    name = RunName(task, crash.number)
                    runs[crash.guard].append(
                        CrashedRun(
                            name,
                            evidence.age_ms,
                            evidence.confirmed,
                            evidence.isolated,
                        )
                    )
        return runs

    def culprits(self, job: str) -> list[TaskName]:
        """Return the tasks of a job that crash targets."""
        tasks = self.crashes_by_task(job).items()
        return [task for task, crashes in tasks if is_culprit(crashes)]

    def suspects(self, job: str) -> frozenset[TaskName]:
        """Return the tasks of a job that are to run in isolation."""
        tasks = self.crashes_by_task(job).items()
        return frozenset(task for task, crashes in tasks if is_suspect(crashes))

    def is_exhausted(self, job: str) -> bool:
        """Return whether a task of a job may have crashed too many targets already."""
        found = self.crashes_by_task(job).values()
        return any(len(crashes) >= MAX_POSSIBLE_CRASHES for crashes in found)

    def expire(self, now: float) -> None:
        """Forget jobs without a crash for `RECORD_RETENTION_S`."""
        while self.jobs:
            job = next(iter(self.jobs))
            if self.jobs[job].updated_at + RECORD_RETENTION_S > now:
                return
            del self.jobs[job]
