"""Tracks which proxies are joined to the relay, across gaps and moves of its event stream."""

from garnetpaddle import interface as gp


class StreamView:
    """What one event stream has reported since it opened."""

    def __init__(self, address=None):
        # complete: the stream has listed all joined proxies; joined: proxy -> its latest ProxyJoined event
        self.address, self.complete, self.joined = address, False, {}
        # Whether it opened while another stream was current; once it has replaced that one, whether that one
        # was alive until then, so that no event was missed.
        self.overlapping = False
        # Turns False when a successor opens, and True again with the next byte: the stream was then not cut
        # off before the successor opened.
        self.alive = True
        self.start_tracking()

    def start_tracking(self):
        """Starts recording proxies that rejoin or leave (`changed`) and acknowledgements (`applied`), which
        are compared with those of another stream."""
        self.changed, self.applied = {}, {}

    def record(self, event, tracking):
        """Records an event of the stream; changes are recorded only while tracking."""
        match event:
            case gp.ProxyJoined(proxy=proxy):
                if tracking and proxy in self.joined:
                    self.changed[proxy] = True
                self.joined[proxy] = event
            case gp.ProxyLeft(proxy=proxy):
                self.joined.pop(proxy, None)
                if tracking:
                    self.changed[proxy] = True
            case gp.OrdersApplied() if tracking:
                self.applied[event.proxy, event.mark] = event


class ProxyMembership:
    """The joined proxies as published to the brain.

    After a gap, every proxy in the new stream's initial list is published as joined again, since it may have
    left in between, and every other one as left. A stream that opens while another is alive leaves no gap:
    the previous stream reports what the new one's initial list cannot. The previous stream counts as alive
    if a byte arrives on it after the new one has opened; otherwise it may have been cut off before that."""

    def __init__(self, publish):
        # current: the stream whose events are published; successor: a later one that is to replace it
        self.publish, self.joined, self.current, self.successor = publish, {}, None, None

    def open(self, view):
        """Registers a new stream; returns whether another one is current and stays so until the new one is
        complete."""
        view.overlapping = self.current is not None
        if view.overlapping:
            self.successor, self.current.alive = view, False
            self.current.start_tracking()
        else:
            self.current = view
        return view.overlapping

    def close(self, view):
        """Removes a stream that has ended; returns whether its successor replaces it."""
        if view is self.successor:
            self.successor = None
        if view is not self.current:
            return False
        if self.successor:
            self.switch()
            return True
        self.current = None
        return False

    def receive(self, view, event):
        """Records an event of a stream and publishes it if the stream is the current one, except a proxy of
        the initial list that is joined already."""
        # The first event about a proxy before the initial list is complete. It tells nothing new about a
        # joined proxy where the stream overlaps the previous one.
        initial = view.overlapping and not view.complete and event.proxy not in view.joined
        view.alive = True
        view.record(event, self.successor is not None)
        match event:
            case _ if view is not self.current:
                pass
            case gp.ProxyJoined(proxy=proxy) if initial and proxy in self.joined:
                pass  # already joined before the move
            case _:
                self.apply(event)

    def apply(self, event):
        """Updates the set of joined proxies and publishes the event."""
        match event:
            case gp.ProxyJoined():
                self.joined[event.proxy] = True
            case gp.ProxyLeft():
                self.joined.pop(event.proxy, None)
        self.publish(event)

    def mark_complete(self, view):
        """Marks the initial list of the stream as complete."""
        if not view.complete:
            view.complete = True
            if view is self.current:
                self.remove_unlisted()

    def can_switch(self):
        """Whether the successor can become current: it is complete, and the current stream has been alive
        since the successor opened."""
        return self.successor is not None and self.successor.complete and self.current.alive

    def switch(self):
        """Makes the successor current; publishes what it has reported and the previous stream has not.

        If the previous stream was not alive, events may have been missed: all proxies join again.
        """
        previous, self.current, self.successor = self.current, self.successor, None
        view = self.current
        view.overlapping = previous.alive
        if not previous.alive:
            self.publish(gp.ChannelStateUnknown())
        if view.complete:
            self.remove_unlisted()
        for proxy, event in list(view.joined.items()):
            rejoined = not previous.alive or proxy in view.changed and proxy not in previous.changed
            if rejoined or proxy not in self.joined:
                self.apply(event)
        for key, event in view.applied.items():
            if key not in previous.applied:
                self.apply(event)
        view.start_tracking()

    def remove_unlisted(self):
        """Publishes proxies that the current stream does not list as left."""
        for proxy in [proxy for proxy in self.joined if proxy not in self.current.joined]:
            self.apply(gp.ProxyLeft(proxy))
