"""Immutable snapshots of the tables that the Brain has ordered and of the state of each task.

They depend on the Brain's events and orders alone: SnapshotBuilder.update(now, events, orders, addresses)
returns a Snapshot, which a SnapshotPublisher passes to the front ends. These keep no tables of their own."""

from garnetpaddle.snapshots.publisher import SnapshotPublisher
from garnetpaddle.snapshots.snapshot import EMPTY_SNAPSHOT, Level, Snapshot, Table, TaskRecord
from garnetpaddle.snapshots.snapshot_builder import SnapshotBuilder

__all__ = [
    "EMPTY_SNAPSHOT",
    "Level",
    "Snapshot",
    "SnapshotBuilder",
    "SnapshotPublisher",
    "Table",
    "TaskRecord",
]
