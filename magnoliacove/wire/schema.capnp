# Messages between the processes of magnoliacove.
#
# A connection carries frames: a length of four bytes, big-endian, followed
# by one Frame.  Each end sends `hello` first.  Stream and request IDs are
# 16 bytes.  Times are in milliseconds unless a name states another unit.
@0xd3c8a51e7f20b964;

struct Frame {
  clock @0 :UInt64;          # The sender's hybrid logical clock.
  union {
    hello @1 :Hello;
    ping @2 :Ping;
    pong @3 :Pong;
    openStage @4 :OpenStage;
    stageOpened @5 :StageOpened;
    refused @6 :Refused;
    steps @7 :List(Step);
    tokens @8 :List(Token);
    replay @9 :Replay;
    closeStage @10 :CloseStage;
    stageLost @11 :StageLost;
    fetchCache @12 :FetchCache;
    cache @13 :Cache;
    call @14 :Call;
    answer @15 :Answer;
    cancelCall @16 :Data;
    subscribe @17 :Subscribe;
    snapshot @18 :Data;
    changes @19 :List(Data);
    instances @20 :List(Data);
    eventsQuery @21 :EventsQuery;
    events @22 :List(Text);
    order @23 :Order;
    orderResult @24 :OrderResult;
    goodbye @25 :Text;
    vouch @26 :Vouch;
    vouched @27 :Vouched;
    claim @28 :Claim;
    claimed @29 :Claimed;
    claimDone @30 :ClaimDone;
  }
}

struct Hello {
  protocolVersion @0 :UInt16;
  name @1 :Text;
  incarnation @2 :UInt64;
  role @3 :Text;
  dataCentre @4 :Text;
  configurationVersion @5 :UInt64;
  address @6 :Text;
}

struct Ping {
  sequence @0 :UInt64;
  configurationVersion @1 :UInt64;
}

struct Pong {
  sequence @0 :UInt64;
  configurationVersion @1 :UInt64;
  load @2 :Load;
}

struct Load {
  running @0 :UInt32;        # Streams or calls in progress.
  queued @1 :UInt32;         # Steps or calls that are waiting.
  stepMicros @2 :UInt32;     # Smoothed duration of an engine step.
  draining @3 :Bool;
}

# A stage runs one range of layers for one stream.
struct OpenStage {
  stream @0 :Data;
  attempt @1 :UInt32;
  service @2 :Text;
  account @3 :Text;
  firstLayer @4 :UInt32;
  endLayer @5 :UInt32;       # One past the last layer.
  nextAddress @6 :Text;      # Empty on the last stage.
  nextName @7 :Text;
  priority @8 :Int32;
  deadline @9 :UInt32;       # The remaining time.
  configurationVersion @10 :UInt64;
  resume @11 :Bool;          # The stage is expected to be open already.
  importAddress @12 :Text;   # Import the KV cache from this agent first.
}

struct StageOpened {
  stream @0 :Data;
  attempt @1 :UInt32;
  nextStep @2 :UInt32;       # The first step that has not run yet.
  load @3 :Load;
}

struct Refused {
  stream @0 :Data;
  attempt @1 :UInt32;
  outcome @2 :Text;
  code @3 :Text;
  reason @4 :Text;
  retryAfter @5 :UInt32;
  status @6 :UInt16;         # The HTTP status for the caller.
}

struct Step {
  stream @0 :Data;
  attempt @1 :UInt32;
  step @2 :UInt32;
  payload @3 :Data;
}

struct Token {
  stream @0 :Data;
  attempt @1 :UInt32;
  step @2 :UInt32;
  text @3 :Data;
  end @4 :Bool;
}

struct Replay {
  stream @0 :Data;
  attempt @1 :UInt32;
  fromStep @2 :UInt32;
}

struct CloseStage {
  stream @0 :Data;
  attempt @1 :UInt32;
  reason @2 :Text;
}

struct StageLost {
  stream @0 :Data;
  attempt @1 :UInt32;
  name @2 :Text;             # The lost agent.
  reason @3 :Text;
}

struct FetchCache {
  stream @0 :Data;
  attempt @1 :UInt32;
}

struct Cache {
  stream @0 :Data;
  attempt @1 :UInt32;
  nextStep @2 :UInt32;
  data @3 :Data;
  outputs @4 :List(Data);
  found @5 :Bool;
}

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct Call {
  request @0 :Data;
  service @1 :Text;
  account @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  deadline @7 :UInt32;
  idempotent @8 :Bool;
  key @9 :Text;              # Empty if there is no idempotency key.
  priority @10 :Int32;
  configurationVersion @11 :UInt64;
}

struct Answer {
  request @0 :Data;
  status @1 :UInt16;         # 0 on a later part of the same answer.
  headers @2 :List(Header);
  body @3 :Data;
  more @4 :Bool;
  replayed @5 :Bool;         # Recorded by an earlier attempt with the key.
  load @6 :Load;
}

struct Subscribe {
  configurationVersion @0 :UInt64;
  instances @1 :List(Data);  # The subscriber's directory, with its own record.
}

struct EventsQuery {
  request @0 :Text;
  target @1 :Text;
  follow @2 :Bool;
}

struct Order {
  order @0 :Data;
  holder @1 :Text;
  fence @2 :UInt64;          # The fencing token of the holder's lease.
  action @3 :Text;
  argument @4 :Text;
}

struct OrderResult {
  order @0 :Data;
  applied @1 :Bool;
  reason @2 :Text;
}

# Asks the former owner of an idempotency key whether the key was used.
struct Vouch {
  request @0 :Data;
  service @1 :Text;
  account @2 :Text;
  key @3 :Text;
  configurationVersion @4 :UInt64;
}

struct Vouched {
  request @0 :Data;
  seen @1 :Bool;
}

# Claims an idempotency key at its owner before a request to a model runs.
struct Claim {
  request @0 :Data;
  service @1 :Text;
  account @2 :Text;
  key @3 :Text;
  digest @4 :Data;           # Digest of the request; detects reuse of a key.
  deadline @5 :UInt32;
  configurationVersion @6 :UInt64;
}

struct Claimed {
  request @0 :Data;
  replayed @1 :Bool;         # The request ran; the record holds its answer.
  record @2 :Data;
}

struct ClaimDone {
  request @0 :Data;
  ran @1 :Bool;              # False only if it certainly did not run.
  record @2 :Data;
}
