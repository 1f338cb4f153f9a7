"""What an instance is told at its start, and entries of the task list, in our words; for both hosts."""

from garnetpaddle.boot.tasks import load, task_line
from garnetpaddle.boot.told import Told, terms
from garnetpaddle.boot.words import Unknown, tenths, word

__all__ = ["Told", "Unknown", "load", "task_line", "tenths", "terms", "word"]
