"""The messages between processes.

The data classes mirror ``schema.capnp`` field by field; ``codec.py`` encodes
and decodes them.
"""

from dataclasses import dataclass
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class Load:
    """A target's load at the time of sending."""

    running: int = 0
    queued: int = 0
    step_micros: int = 0
    draining: bool = False


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message that each end sends."""

    protocol_version: int
    name: str
    incarnation: int
    role: str
    data_centre: str
    configuration_version: int
    address: str


@dataclass(frozen=True, slots=True)
class Ping:
    """A heartbeat, sent when a connection has been idle."""

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
    """Asks an agent to open or resume one range of layers for a stream."""

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
    """Reports that a stage is open, and the step that it expects next."""

    stream: bytes
    attempt: int
    next_step: int
    load: Load = Load()


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuses a stage or a call, and reports whether it may have run."""

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
    """Inputs for several streams of one agent, in one frame."""

    items: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Tokens:
    """Tokens for several streams of one entry, in one frame."""

    items: tuple[Token, ...]


@dataclass(frozen=True, slots=True)
class Replay:
    """Asks a stage to resend its retained outputs from one step on."""

    stream: bytes
    attempt: int
    from_step: int


@dataclass(frozen=True, slots=True)
class CloseStage:
    """Announces that a stream has ended and its stage can be discarded."""

    stream: bytes
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class StageLost:
    """Reports that a stream has lost an agent, or the link to it."""

    stream: bytes
    attempt: int
    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class FetchCache:
    """Requests a stage's KV cache from a draining agent."""

    stream: bytes
    attempt: int


@dataclass(frozen=True, slots=True)
class Cache:
    """A stage's KV cache and retained outputs."""

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
    """Cancels a call whose answer is no longer needed."""

    request: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribes to the configuration and the directory."""

    configuration_version: int
    instances: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A complete configuration document."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Changes:
    """Configuration changes, ordered by version."""

    items: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Instances:
    """Entries of the directory of instances."""

    items: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class EventsQuery:
    """Requests recorded events."""

    request: str = ""
    target: str = ""
    follow: bool = False


@dataclass(frozen=True, slots=True)
class Events:
    """Recorded events, as JSON."""

    items: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine, with the fencing token of a lease."""

    order: bytes
    holder: str
    fence: int
    action: str
    argument: str = ""


@dataclass(frozen=True, slots=True)
class OrderResult:
    """The result of an order."""

    order: bytes
    applied: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Goodbye:
    """Announces that the sender closes the connection, with the reason."""

    reason: str


@dataclass(frozen=True, slots=True)
class Vouch:
    """Asks the former owner of an idempotency key whether it was used."""

    request: bytes
    service: str
    account: str
    key: str
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Vouched:
    """Reports whether a key was used at the agent that was asked."""

    request: bytes
    seen: bool


@dataclass(frozen=True, slots=True)
class Claim:
    """Claims an idempotency key at its owner, for a request to a model."""

    request: bytes
    service: str
    account: str
    key: str
    digest: bytes
    deadline: int
    configuration_version: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """Confirms a claim, or returns the recorded answer for the key."""

    request: bytes
    replayed: bool = False
    record: bytes = b""


@dataclass(frozen=True, slots=True)
class ClaimDone:
    """Reports the outcome of the request that claimed a key."""

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
