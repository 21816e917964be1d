"""The messages between our processes.

The data classes mirror ``schema.capnp`` field by field; ``codec.py`` writes
and reads them.
"""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Load:
    """What a target reports of its load, at the time of sending."""

    running: int = 0
    queued: int = 0
    step_micros: int = 0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of either end."""

    protocol_version: int
    name: str
    incarnation: int
    role: str
    data_centre: str
    configuration_version: int
    address: str


@dataclass(frozen=True, slots=True)
class Ping:
    """A heartbeat, sent when a connection has been quiet."""

    sequence: int
    configuration_version: int = 0


@dataclass(frozen=True, slots=True)
class Pong:
    """The answer to a heartbeat."""

    sequence: int
    configuration_version: int = 0
    load: Load = Load()


@dataclass(frozen=True, slots=True)
class OpenStage:
    """Asks an agent to hold one range of layers for one stream."""

    stream: bytes
    attempt: int
    service: str
    account: str
    first_layer: int
    end_layer: int
    next_address: str
    next_name: str
    priority: int
    deadline: int
    configuration_version: int
    resume: bool = False
    import_address: str = ""


@dataclass(frozen=True, slots=True)
class StageOpened:
    """Says that a stage is held and which step it expects next."""

    stream: bytes
    attempt: int
    next_step: int
    load: Load = Load()


@dataclass(frozen=True, slots=True)
class Refused:
    """Says that a stage or a call will not be served, and what ran."""

    stream: bytes
    attempt: int
    outcome: str
    code: str
    reason: str
    retry_after: int = 0
    status: int = 503


@dataclass(frozen=True, slots=True)
class Step:
    """The input of one step of one stage."""

    stream: bytes
    attempt: int
    step: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Token:
    """The output of one step of the last stage."""

    stream: bytes
    attempt: int
    step: int
    text: bytes
    end: bool = False


@dataclass(frozen=True, slots=True)
class Steps:
    """Inputs for several streams of one agent."""

    items: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Tokens:
    """Tokens for several streams of one entry."""

    items: tuple[Token, ...]


@dataclass(frozen=True, slots=True)
class Replay:
    """Asks a stage to send its kept outputs again, from one step on."""

    stream: bytes
    attempt: int
    from_step: int


@dataclass(frozen=True, slots=True)
class CloseStage:
    """Says that a stream is over and its stage can be forgotten."""

    stream: bytes
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class StageLost:
    """Says that an agent, or the link to it, is lost to a stream."""

    stream: bytes
    attempt: int
    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class FetchCache:
    """Asks an agent that is leaving for a stage's KV cache."""

    stream: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class Cache:
    """A stage's KV cache and kept outputs."""

    stream: bytes
    attempt: int
    next_step: int
    data: bytes
    outputs: tuple[bytes, ...]
    found: bool


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class Call:
    """One request to a plain service."""

    request: bytes
    service: str
    account: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    deadline: int
    idempotent: bool
    key: str
    priority: int
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Answer:
    """One part of a plain service's answer."""

    request: bytes
    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    more: bool = False
    replayed: bool = False
    load: Load = Load()


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Says that nobody waits for a call's answer any longer."""

    request: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks for the configuration and the directory, now and later."""

    configuration_version: int
    instances: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A whole configuration document."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Changes:
    """Configuration changes in order of their versions."""

    items: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Instances:
    """Entries of the directory of instances."""

    items: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class EventsQuery:
    """Asks for recorded events."""

    request: str = ""
    target: str = ""
    follow: bool = False


@dataclass(frozen=True, slots=True)
class Events:
    """Recorded events, as JSON."""

    items: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine, under the fencing number of a lease."""

    order: bytes
    holder: str
    fence: int
    action: str
    argument: str = ""


@dataclass(frozen=True, slots=True)
class OrderResult:
    """What became of an order."""

    order: bytes
    applied: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Goodbye:
    """Says that the sender closes the connection, and why."""

    reason: str


@dataclass(frozen=True, slots=True)
class Vouch:
    """Asks a key's former owner whether the key was ever used."""

    request: bytes
    service: str
    account: str
    key: str
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Vouched:
    """Says whether a key was used at the asked agent."""

    request: bytes
    seen: bool


@dataclass(frozen=True, slots=True)
class Claim:
    """Takes an idempotency key at its owner, for a model's request."""

    request: bytes
    service: str
    account: str
    key: str
    digest: bytes
    deadline: int
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """Says that a key is taken, or gives the answer it led to before."""

    request: bytes
    replayed: bool = False
    record: bytes = b""


@dataclass(frozen=True, slots=True)
class ClaimDone:
    """Says what became of the request that a key was taken for."""

    request: bytes
    ran: bool
    record: bytes = b""


Message: TypeAlias = (
    Hello
    | Ping
    | Pong
    | OpenStage
    | StageOpened
    | Refused
    | Steps
    | Tokens
    | Replay
    | CloseStage
    | StageLost
    | FetchCache
    | Cache
    | Call
    | Answer
    | CancelCall
    | Subscribe
    | Snapshot
    | Changes
    | Instances
    | EventsQuery
    | Events
    | Order
    | OrderResult
    | Goodbye
    | Vouch
    | Vouched
    | Claim
    | Claimed
    | ClaimDone
)
