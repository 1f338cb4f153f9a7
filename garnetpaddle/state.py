"""What the Brain keeps of proxies, of its tables and of answers it waits for. No decision."""


class Proxy:
    def __init__(self, now, joined, messages):
        self.id, self.joined_at, self.rate = joined.proxy, now, max(0.1, joined.rate)
        self.fresh, self.aside = joined.fresh, joined.aside
        self.bound, self.table, self.messages = False, None, messages  # bound: None where that is in doubt

    def bind(self, bound, table):
        """True: to a table; None: perhaps, and it counts as its user all the same; False: to none."""
        if self.table:
            self.table.users.pop(self.id, None)
            self.table.calls -= 0.0 if self.aside else self.rate
        self.bound, self.table = bound, None if bound is False else table
        if self.table:
            self.table.calls += 0.0 if self.aside else self.rate
            if not self.aside:
                self.table.users[self.id] = self


class Table:
    def __init__(self, number, long_ago, levels):
        self.number, self.laid = number, {}  # present weights, 0 in doubt
        self.admitted, self.levelled = levels, False  # present levels; whether any was ever ordered
        self.pushed_at, self.users, self.calls = [long_ago] * 3, {}, 0.0  # users: proxies behind the channel


class Wait:
    """For the answers of proxies to marks; `calls` sums up what those carry who are still to answer."""

    def __init__(self):
        self.by, self.calls, self.all_told = {}, 0.0, False  # by: proxy -> the mark, its calls

    def ask(self, proxies, mark, all_told):
        """Once all have been told, who is told more later is not waited for."""
        for proxy in proxies if not self.all_told else ():
            self.calls += proxy.rate - self.by.get(proxy.id, (0, 0.0))[1]
            self.by[proxy.id] = mark, proxy.rate
        self.all_told = self.all_told or all_told

    def heard(self, proxy, upto):
        mark, rate = self.by.get(proxy, (None, 0.0))
        if mark is not None and (upto - mark) % 65_536 < 32_768:
            del self.by[proxy]
            self.calls = self.calls - rate if self.by else 0.0
