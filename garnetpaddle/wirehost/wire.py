"""The external simulator's messages as msgspec structures, with the field names of its protocol.

Times (`wall`, `started_at`, `cost_time`, `span`) are in seconds; `i` is the instance's name."""

import msgspec

from garnetpaddle.boot import Settings

Load = dict[str, object]


class Incoming(msgspec.Struct, tag_field="msg"):
    """A message from the simulator to this adapter."""


class ForInstance(Incoming):
    """A message for one instance."""

    i: str


class Mark(Incoming, tag="MARK"):
    """Begins a batch; `wall` is its time in seconds."""

    wall: float


class Flush(Incoming, tag="FLUSH"):
    """Ends a batch."""

    pass


class Entry(msgspec.Struct):
    """A row of a task list; translate.task_lines converts it to a gp.TaskLine."""

    task: str
    status: str
    az: str | None = None
    pod: int | None = None
    machine: str | None = None
    size: float | None = None
    started_at: float | None = None


class SnapshotRows(Incoming, tag="SNAPSHOT_ROWS"):
    """A task list that later messages refer to by its number."""

    bank: int
    elements: list[Entry]


class Boot(ForInstance, tag="BOOT"):
    """Starts an instance."""

    rng_seed: int
    conf: Settings


class PowerOff(ForInstance, tag="POWER_OFF"):
    """Ends an instance."""

    pass


class Endpoints(ForInstance, tag="ENDPOINTS"):
    """The task list `bank` for an instance, or with form "lost" the loss of its subscription.

    form: a key of translate.UPDATE_TYPES."""

    form: str
    bank: int | None = None


class DeadlineHit(ForInstance, tag="DEADLINE_HIT"):
    """A timer is due."""

    key_back: str


class Probed(ForInstance, tag="PROBED"):
    """The result of a probe."""

    task: str
    verdict: str
    cost_time: float | None = None
    usage: Load | None = None


class Message(ForInstance, tag="MESSAGE"):
    """A message between assigners: ignored, since they share nothing."""


class Connected(ForInstance, tag="CONNECTED"):
    """A proxy has joined.

    size: its calls per second; flag: it has no ordered table yet, only the default one."""

    forwarder: int
    size: float | None = None
    flag: bool | None = None
    az: str | None = None


class LostStream(ForInstance, tag="LOST_STREAM"):
    """A proxy has left."""

    forwarder: int


class TrafficReport(ForInstance, tag="TRAFFIC_REPORT"):
    """A collector's report of the tries at a task. cost_time: mean of the successful ones."""

    task: str
    tries_n: int
    unanswered: int
    az: str | None = None
    cost_time: float | None = None
    span: float | None = None
    usage: Load | None = None


class Demand(ForInstance, tag="DEMAND"):
    """A proxy's report of the calls of the route named `band`."""

    forwarder: int
    band: str
    tries_n: int
    unanswered: int
    span: float | None = None


class Installed(ForInstance, tag="INSTALLED"):
    """A proxy's acknowledgement of all orders up to the mark `gen`."""

    forwarder: int
    gen: int
    cost_time: float | None = None


AnyMessage = (
    Mark
    | Flush
    | SnapshotRows
    | Boot
    | PowerOff
    | Endpoints
    | DeadlineHit
    | Probed
    | Message
    | Connected
    | LostStream
    | TrafficReport
    | Demand
    | Installed
)

decode = msgspec.json.Decoder(AnyMessage).decode
encode = msgspec.json.Encoder().encode
