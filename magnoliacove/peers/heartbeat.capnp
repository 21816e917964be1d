# What each gateway tells the others, one datagram at a time.  Ages and
# lengths are milliseconds.
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
  loads @9 :List(Load);
  suspicions @10 :List(Suspicion);
  holdings @11 :List(Holding);
  services @12 :List(ServiceCount);
  peers @13 :List(Text);
  acting @14 :Bool;
  newestChange @15 :UInt64;
}

struct Load {
  target @0 :Text;
  requests @1 :UInt32;
  tokenLayers @2 :UInt64;
}

struct Suspicion {
  target @0 :Text;
  age @1 :UInt32;
  why @2 :Text;
  leaving @3 :Bool;
}

struct Holding {
  target @0 :Text;
  age @1 :UInt32;
  first @2 :UInt16;
  end @3 :UInt16;
  loading @4 :Bool;
  slowness @5 :Float32;
  used @6 :UInt64;
  moving @7 :Bool;
}

struct ServiceCount {
  service @0 :Text;
  requests @1 :UInt32;
  repeats @2 :UInt32;
}
