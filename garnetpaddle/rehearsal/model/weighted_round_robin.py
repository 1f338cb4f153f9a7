"""Weighted round robin over the entries of a routing table, scheduled in virtual time."""

import heapq


class WeightedRoundRobin:
    """Picks the entry with the earliest due time; an entry is due again 1 / weight after its last pick.

    A pick is O(log n) in the number of entries. An entry that was skipped as excluded (avoided or withdrawn)
    is due half an interval later at the earliest, so that it does not catch up on missed picks. random: for
    initial due times."""

    def __init__(self, random):
        self.random, self.weights, self.due, self.heap, self.virtual_time = random, {}, {}, [], 0.0

    def clear(self):
        """Removes all entries."""
        self.weights, self.due, self.heap = {}, {}, []

    def set(self, name, weight):
        """Sets an entry's weight; 0 removes it. An existing entry keeps its progress within its interval."""
        old_weight = self.weights.pop(name, 0.0)
        if weight <= 0:
            self.due.pop(name, None)
            return
        self.weights[name] = weight
        if old_weight:
            due = self.virtual_time + max(0.0, self.due[name] - self.virtual_time) * old_weight / weight
        else:
            due = self.virtual_time + float(self.random.random()) / weight
        self.enqueue(name, due)

    def enqueue(self, name, due):
        """Sets an entry's due time; its older heap items become outdated."""
        self.due[name] = due
        heapq.heappush(self.heap, (due, name))

    def pick(self, excluded):
        """The name with the earliest due time for which excluded(name) is false, or None."""
        skipped, chosen = [], None
        while self.heap:
            due, name = self.heap[0]
            if self.due.get(name) != due:
                heapq.heappop(self.heap)  # outdated
            elif excluded(name):
                skipped.append(heapq.heappop(self.heap))
            else:
                chosen = name
                self.virtual_time = max(self.virtual_time, due)
                heapq.heappop(self.heap)
                self.enqueue(name, max(due, self.virtual_time) + 1 / self.weights[name])
                break
        for due, name in skipped:
            self.enqueue(name, max(due, self.virtual_time + 0.5 / self.weights[name]) if chosen else due)
        return chosen
