"""The assigner's configuration: the JSON file that ROUTER_CONFIG names, decoded and checked."""

import msgspec

from garnetpaddle import boot
from garnetpaddle.net.task_list_codec import TaskList, task_lines

UPPER_LIMIT = 1e12  # far above any meaningful count, rate or time in seconds
FIELD_OF_VARIABLE = {"ROUTER_NAME": "name", "ROUTER_LISTEN": "listen", "ROUTER_DISCOVERY": "discovery"}
MAX_PORT = 65_535


class Limits(msgspec.Struct):
    """Resources that the process may use."""

    sockets: int = 1024


class Store(msgspec.Struct):
    """The relay that the orders are sent to."""

    address: str


class Configuration(msgspec.Struct):
    """The whole file; `settings` has the same type as in the simulator's BOOT message."""

    name: str
    listen: str
    discovery: str
    seed: str
    store: Store
    known: TaskList
    settings: boot.Settings
    limits: Limits = msgspec.field(default_factory=Limits)


class ConfigurationError(ValueError):
    """The configuration is invalid; the message names the field."""


def parse_address(text, field):
    """Parses host:port into (host, port); raises ConfigurationError naming the field."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigurationError(f"field {field}: {text!r} is not of the form host:port")
    return host.strip("[]"), int(port)


def read(path, variables):
    """Reads and validates a file; raises ConfigurationError.

    variables: the environment, which must agree with it."""
    try:
        with open(path, "rb") as file:
            config = msgspec.json.decode(file.read(), type=Configuration)
    except OSError as error:
        raise ConfigurationError(f"ROUTER_CONFIG: {path!r}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise ConfigurationError(f"ROUTER_CONFIG: {error}") from None
    for variable, field in FIELD_OF_VARIABLE.items():
        value = variables.get(variable, getattr(config, field))
        if value != getattr(config, field):
            raise ConfigurationError(
                f"{variable}: {value!r} differs from {field} in the file, {getattr(config, field)!r}"
            )
    try:
        validate(config)
    except ConfigurationError:
        raise
    except (ValueError, OverflowError) as error:
        raise ConfigurationError(str(error)) from None
    return config


def validate(configuration):
    """Raises ConfigurationError or ValueError for the first invalid value."""
    parse_seed(configuration)
    for field in ("listen", "discovery"):
        parse_address(getattr(configuration, field), field)
    parse_address(configuration.store.address, "store.address")
    task_lines(configuration.known)
    validate_ranges(configuration)
    validate_consistency(configuration.settings)
    boot.derive_parameters(configuration.settings)


def validate_ranges(configuration):
    """Raises ConfigurationError for a number outside its range."""
    for field, value in positive_numbers(configuration).items():
        if not 0 < value < UPPER_LIMIT:
            raise ConfigurationError(f"field {field}: {value!r} must be above 0 and below {UPPER_LIMIT:.0e}")
    for field, value in non_negative_numbers(configuration.settings).items():
        if not 0 <= value < UPPER_LIMIT:
            raise ConfigurationError(
                f"field {field}: {value!r} must be at least 0 and below {UPPER_LIMIT:.0e}"
            )
    quantum = configuration.settings.quantum
    if not 0 <= quantum < 1:
        raise ConfigurationError(f"field settings.quantum: {quantum!r} must be at least 0 and below 1")


def positive_numbers(configuration):
    """Numbers that must be above 0: field -> value."""
    settings, channel = configuration.settings, configuration.settings.specifics
    return {
        "settings.specifics.egress_per_s": channel.egress_per_s,
        "settings.specifics.queue_cap": channel.queue_cap,
        "settings.specifics.report_every": channel.report_every,
        "limits.sockets": configuration.limits.sockets,
        "settings.contract.fall_multiple": settings.contract.fall_multiple,
        "settings.contract.tip_after": settings.contract.tip_after,
    } | {f"settings.categories[{k}].promise": c.promise for k, c in enumerate(settings.categories)}


def non_negative_numbers(settings):
    """Numbers that must be 0 or above: field -> value."""
    channel, contract = settings.specifics, settings.contract
    return {
        "settings.contract.cold": contract.cold,
        "settings.contract.start_capacity": contract.start_capacity,
        "settings.contract.must_ask_in": contract.must_ask_in,
        "settings.specifics.head": channel.head,
        "settings.contract.stop_sending_within": contract.stop_sending_within,
        "settings.rank": settings.rank,
        "settings.specifics.counted_over": channel.counted_over,
        "settings.specifics.strikes": channel.strikes,
        "settings.specifics.pushes_allowed": channel.pushes_allowed,
        "settings.specifics.agents": channel.agents,
        "settings.balancers": settings.balancers,
    } | {f"settings.categories[{k}].gain": c.gain for k, c in enumerate(settings.categories)}


def validate_consistency(settings):
    """Raises ConfigurationError for settings that contradict each other."""
    if not settings.categories:
        raise ConfigurationError("field settings.categories: must not be empty")
    if settings.discovery not in ("push", "ask"):
        raise ConfigurationError(f"field settings.discovery: unknown value {settings.discovery!r}")
    if settings.rank >= max(settings.balancers, 1):
        raise ConfigurationError(
            f"field settings.rank: {settings.rank} is too high: {settings.balancers} balancers count from 0"
        )
    names = [c.name for c in settings.categories]
    for field, values in (("settings.categories", names), ("settings.azs", settings.azs)):
        if duplicates := sorted({value for value in values if values.count(value) > 1}):
            raise ConfigurationError(f"field {field}: {duplicates[0]!r} occurs more than once")
    if settings.azs and settings.my_zone and settings.my_zone not in settings.azs:
        raise ConfigurationError(f"field settings.my_zone: {settings.my_zone!r} is not one of settings.azs")


def parse_seed(configuration):
    """The hexadecimal seed as an integer; raises ConfigurationError."""
    try:
        return int(configuration.seed, 16)
    except ValueError:
        raise ConfigurationError(f"field seed: {configuration.seed!r} is not hexadecimal") from None
