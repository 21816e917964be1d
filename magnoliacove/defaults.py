"""Default values of all settings and limits.

Times are in seconds and sizes in bytes unless the name states otherwise.
"""

# Limits of a process whose settings state none.
PROCESS_MEMORY_MB = 300
PROCESS_DESCRIPTORS = 1024

# Connections between magnoliacove processes.
PROTOCOL_VERSION = 1
MAX_FRAME = 4 * 1024 * 1024
MAX_QUEUED_FRAMES = 4096
# Of the bodies of plain services' answers, which senders can wait with.
MAX_QUEUED_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT = 1.0
MIN_HEARTBEAT_INTERVAL = 0.7
SILENCE_TIMEOUT = 2.0
# A connection counts as active for this long after a message is sent on it.
CONNECTION_ACTIVE_WINDOW = 5.0
# Size of a heartbeat and its answer, including TCP and IP headers.
HEARTBEAT_BYTES = 290
# Bytes per second that all heartbeats of a process may use.
CONTROL_BUDGET = 6000
# Heartbeats of the accepting end of a connection; the dialling end sends its
# own well before.
ACCEPTED_HEARTBEAT_INTERVAL = 30.0
# Heartbeats on connections that carry directory subscriptions.
FEED_HEARTBEAT_INTERVAL = 4.0
INITIAL_RECONNECT_DELAY = 0.05
MAX_RECONNECT_DELAY = 1.0

# Callers.
MAX_REQUEST_BODY = 1024 * 1024
KEEP_ALIVE = 10.0
REQUEST_DEADLINE = 120.0
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 16_384
RUNNING_PER_ENTRY = 512
QUEUED_PER_ACCOUNT = 256
STALL_TIMEOUT = 2.0
ENGINE_TIMEOUT = 1.5
MAX_ATTEMPTS = 8
# Retries allowed for each request, and at once after a quiet period.
RETRY_RATIO = 0.1
RETRY_BURST = 20.0

# Agents.
STREAMS_PER_ENGINE = 256
CALLS_PER_TARGET = 128
MAX_BATCH = 64
CONCURRENT_BATCHES = 2
RETAINED_OUTPUT_BYTES = 8 * 1024 * 1024
KEY_WINDOW = 600.0
KEY_CLOCK_SKEW = 1.0
# Keys minted further ahead of this process's clock are refused.
MAX_KEY_LEAD = 2.0
MAX_KEYS = 50_000
MAX_RECORDED_ANSWER = 16 * 1024
MAX_RECORDED_BYTES = 8 * 1024 * 1024
DRAIN_TIMEOUT = 120.0
# Streams are moved off a draining target after this time.
DRAIN_MOVE_AFTER = 2.0

# Configuration and service directory.
CHECKPOINT_EVERY = 64
LEASE_DURATION = 4.0
INITIAL_STORE_RETRY_DELAY = 0.2
MAX_STORE_RETRY_DELAY = 5.0
STORE_TIMEOUT = 2.0
WATCH_TIMEOUT = 30.0

# Event time line.
MAX_RETAINED_EVENTS = 4000
