# Messages between the processes of magnoliacove.
#
# A connection carries frames: four bytes of length, big end first, then
# one Frame.  Both ends send `hello` first.  Stream and request names are
# 16 bytes.  Times are milliseconds unless a name says otherwise.
@0xd3c8a51e7f20b964;

struct Frame {
  clock @0 :UInt64;          # A hybrid logical clock reading.
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
  queued @1 :UInt32;         # Steps or calls that wait.
  stepMicros @2 :UInt32;     # Smoothed time of one engine step.
  draining @3 :Bool;
}

# A stage is one range of layers of one stream.
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
  deadline @9 :UInt32;       # Remaining.
  configurationVersion @10 :UInt64;
  resume @11 :Bool;          # The stage is expected to be held already.
  importAddress @12 :Text;   # Take the KV cache from this agent first.
}

struct StageOpened {
  stream @0 :Data;
  attempt @1 :UInt32;
  nextStep @2 :UInt32;       # The first step not yet applied.
  load @3 :Load;
}

struct Refused {
  stream @0 :Data;
  attempt @1 :UInt32;
  outcome @2 :Text;
  code @3 :Text;
  reason @4 :Text;
  retryAfter @5 :UInt32;
  status @6 :UInt16;         # The HTTP status for a call's caller.
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
  name @2 :Text;             # The agent that was lost.
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
  key @9 :Text;              # Empty without an idempotency key.
  priority @10 :Int32;
  configurationVersion @11 :UInt64;
}

struct Answer {
  request @0 :Data;
  status @1 :UInt16;         # 0 on a later part of the same answer.
  headers @2 :List(Header);
  body @3 :Data;
  more @4 :Bool;
  replayed @5 :Bool;         # Recorded by an earlier try of the same key.
  load @6 :Load;
}

struct Subscribe {
  configurationVersion @0 :UInt64;
  instances @1 :List(Data);  # What the subscriber knows, itself included.
}

struct EventsQuery {
  request @0 :Text;
  target @1 :Text;
  follow @2 :Bool;
}

struct Order {
  order @0 :Data;
  holder @1 :Text;
  fence @2 :UInt64;          # The fencing number of the holder's lease.
  action @3 :Text;
  argument @4 :Text;
}

struct OrderResult {
  order @0 :Data;
  applied @1 :Bool;
  reason @2 :Text;
}

# Asks the former owner of an idempotency key whether it ever ran.
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

# Takes an idempotency key at its owner before a model's request runs.
struct Claim {
  request @0 :Data;
  service @1 :Text;
  account @2 :Text;
  key @3 :Text;
  digest @4 :Data;           # Of the request, to tell a key used twice.
  deadline @5 :UInt32;
  configurationVersion @6 :UInt64;
}

struct Claimed {
  request @0 :Data;
  replayed @1 :Bool;         # The request ran; the record is its answer.
  record @2 :Data;
}

struct ClaimDone {
  request @0 :Data;
  ran @1 :Bool;              # False only when it surely did not run.
  record @2 :Data;
}
