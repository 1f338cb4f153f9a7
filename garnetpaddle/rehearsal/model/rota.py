"""Whose turn it is: lines in even turns by weight, whatever their number."""

import heapq


class Rota:
    """Each line is due again 1 / weight after its last turn; who is due first is picked. A pick costs the
    logarithm of the lines, not a walk of them. Who sat out (avoided, shut out) comes back in the middle of a
    turn of its own: it does not catch up on what it missed. chance: its generator, for where turns begin."""

    def __init__(self, chance):
        self.chance, self.weights, self.due, self.heap, self.clock = chance, {}, {}, [], 0.0

    def clear(self):
        self.weights, self.due, self.heap = {}, {}, []

    def set(self, name, weight):
        """A line's weight; 0 takes it out. One that stands keeps its place in its turn."""
        old = self.weights.pop(name, 0.0)
        if weight <= 0:
            self.due.pop(name, None)
            return
        self.weights[name] = weight
        if old:
            due = self.clock + max(0.0, self.due[name] - self.clock) * old / weight
        else:
            due = self.clock + float(self.chance.random()) / weight
        self.put(name, due)

    def put(self, name, due):
        self.due[name] = due
        heapq.heappush(self.heap, (due, name))

    def pick(self, sits_out):
        """The name whose turn it is, of those for whom sits_out(name) is false; None where there is none."""
        aside, chosen = [], None
        while self.heap:
            due, name = self.heap[0]
            if self.due.get(name) != due:
                heapq.heappop(self.heap)  # an older place of its
            elif sits_out(name):
                aside.append(heapq.heappop(self.heap))
            else:
                chosen = name
                self.clock = max(self.clock, due)
                heapq.heappop(self.heap)
                self.put(name, max(due, self.clock) + 1 / self.weights[name])
                break
        for due, name in aside:
            self.put(name, max(due, self.clock + 0.5 / self.weights[name]) if chosen else due)
        return chosen
