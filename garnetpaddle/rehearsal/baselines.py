"""Baseline policies for comparison with the Brain. A policy is called with (call, excluded) and returns a
node's name, or None."""


class EvenPolicy:
    """Smooth round robin, with equal weights, over all nodes that the assigner knows as ready."""

    def __init__(self, simulation):
        self.simulation, self.credit = simulation, {}

    def ready_nodes(self):
        """Names of the nodes that are ready in the task list as the assigner has it."""
        states = self.simulation.states_at_assigner
        return [k for k in self.simulation.nodes if states.get(k) == "ready"]

    def __call__(self, call, excluded):
        """Picks the node with the most credit, and charges it one round."""
        names = [k for k in self.ready_nodes() if k != excluded] or self.ready_nodes()
        if not names:
            return None
        for k in names:
            self.credit[k] = self.credit.get(k, 0) + 1
        best = max(names, key=lambda k: (self.credit[k], k))
        self.credit[best] -= len(names)
        return best


class LeastLoadedPolicy:
    """Fewest calls in hand for a node's speed, by the true state of the nodes: a bound that no assigner can
    reach."""

    def __init__(self, simulation):
        self.simulation = simulation

    def __call__(self, call, excluded):
        """Picks the node that would be free first."""
        nodes, listed_states = self.simulation.nodes, self.simulation.listed_states
        speeds = {
            k: n.core_speed() * n.kind.cores
            for k, n in nodes.items()
            if n.up and not n.silent and not n.errors and listed_states[k].state == "ready"
        }
        speeds = {k: speed for k, speed in speeds.items() if speed > 0 and k != excluded}
        return min(speeds, key=lambda k: ((nodes[k].calls_in_hand() + 1) / speeds[k], k), default=None)


POLICIES = {"brain": None, "even": EvenPolicy, "least": LeastLoadedPolicy}
