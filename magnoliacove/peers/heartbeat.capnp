# The heartbeat that each gateway sends to the others, one in each datagram.
# Ages and durations are in milliseconds.
@0xb1f4e06c9d7a5283;

struct Heartbeat {
  name @0 :Text;
  address @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  dataCentre @4 :Text;
  configurationVersion @5 :UInt64;
  leaving @6 :Bool;
  storeReachable @7 :Bool;
  crossings @8 :UInt32;
  loads @9 :Loads;
  suspicions @10 :List(Suspicion);
  holdings @11 :Holdings;
  services @12 :List(ServiceCount);
  peers @13 :List(Text);
  acting @14 :Bool;
  newestChange @15 :UInt64;
  recent @16 :List(ServiceCount);
  countedFor @17 :UInt32;
  crashes @18 :List(Crash);
  answered @19 :List(Answered);
  quarantines @20 :List(Quarantine);
  storeEra @21 :UInt32;
  limits @22 :Limits;
  grants @23 :Grants;
  # Null while nothing waits.
  waiting @24 :Waiting;
  # Null while there were no crashes lately; the attempt of each is the request.
  partCrashes @25 :List(Crash);
  soundParts @26 :List(SoundPart);
}

# A target that ended while a request ran there.  With `silent`, the target
# is unresponsive, and it is not known whether it ended.
struct Crash {
  fingerprint @0 :UInt64;
  attempt @1 :UInt32;
  target @2 :Text;
  seconds @3 :UInt32;
  age @4 :UInt32;
  silent @5 :Bool;
}

struct Answered {
  fingerprint @0 :UInt64;
  count @1 :UInt32;
}

# The age is that of the run that cleared the part.
struct SoundPart {
  fingerprint @0 :UInt64;
  age @1 :UInt32;
}

# `seconds` is 0 for a quarantine that was ended early.
struct Quarantine {
  fingerprint @0 :UInt64;
  round @1 :UInt32;
  seconds @2 :UInt32;
  age @3 :UInt32;
  crashes @4 :UInt32;
}

# The lists are parallel: equal indexes belong to one target.  Lists of
# primitive values are read several times as fast as a list of structures.
struct Loads {
  targets @0 :List(Text);
  requests @1 :List(UInt32);
  tokenLayers @2 :List(UInt64);
}

# Limits that targets reported; a negative rate marks a limit that has ended.
struct Limits {
  targets @0 :List(Text);
  rates @1 :List(Float64);
  ages @2 :List(UInt32);
}

# Shares of limits that are granted to single gateways.
struct Grants {
  targets @0 :List(Text);
  gateways @1 :List(Text);
  rates @2 :List(Float64);
}

# What waits for capacity; equal indexes belong to one service and urgency.
# The rates, of grants a second, are those of the whole service.
struct Waiting {
  services @0 :List(Text);
  priorities @1 :List(Int32);
  requests @2 :List(UInt32);
  tokens @3 :List(UInt64);
  ages @4 :List(UInt32);
  grantRates @5 :List(Float32);
}

struct Suspicion {
  target @0 :Text;
  age @1 :UInt32;
  why @2 :Text;
  leaving @3 :Bool;
}

struct Holdings {
  targets @0 :List(Text);
  ages @1 :List(UInt32);
  firsts @2 :List(UInt16);
  ends @3 :List(UInt16);
  loading @4 :List(Bool);
  slowness @5 :List(Float32);
  used @6 :List(UInt64);
  moving @7 :List(Bool);
}

struct ServiceCount {
  service @0 :Text;
  requests @1 :UInt32;
  repeats @2 :UInt32;
}
