@0xc3f1a7d25b9e4c81;
# The interface between daemons. Fields and methods are only ever added; numbers are never reused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bulrushpitch::schema");

struct Address {
  # An IP number and port. IPv4 takes no pointer, because addresses make up much of a digest.
  ip4 @0 :UInt32;  # Host byte order; unused if ip6 is set.
  port @1 :UInt16;
  ip6 @2 :Data;    # 16 bytes, or empty for IPv4.
}

struct Failure {
  code @0 :UInt16;  # ErrorCode.
  ran @1 :Ran;
  step @2 :Text;
  peer @3 :Text;
  detail @4 :Text;

  enum Ran { no @0; yes @1; unknown @2; }
}

struct Restriction {
  id @0 :Text;
  kind @1 :Kind;
  target @2 :Text;
  operator @3 :Text;
  revision @4 :UInt64;

  enum Kind { takeOutDomain @0; withdrawVersion @1; drainUpstream @2; stopRollout @3; }
}

struct Member {
  # Eight of these make up most of a digest, which is sent every second. The address is therefore not a struct of
  # its own, and the domain's name is stored once per digest.
  instance @0 :Text;
  incarnation @1 :UInt64;
  confirmed @2 :UInt64;
  ip4 @3 :UInt32;     # As in Address.
  port @4 :UInt16;
  state @5 :UInt8;    # 0 alive, 1 suspect, 2 dead, 3 left.
  domain @6 :UInt8;   # Index into Digest.domains.
  ip6 @7 :Data;
  beat @8 :UInt32;
}

struct Digest {
  instance @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  region @3 :Text;
  rpc @4 :Address;
  admin @5 :Address;
  revision @6 :UInt64;
  restrictionHash @7 :UInt64;
  restrictions @8 :List(Restriction);
  members @9 :List(Member);
  lamport @10 :UInt64;
  headReadAgeMs @11 :Int64 = -1;  # -1 if the sender knows of no read.
  push @12 :Bool;
  domains @13 :List(Text);  # The members' domains, each once.
  beat @14 :UInt32;
  ready @15 :Bool;
  leaving @16 :Bool;
  publisher @17 :Text;
}

struct Fetch {
  since @0 :UInt64;
}

struct Delta {
  base @0 :UInt64;
  target @1 :UInt64;
  full @2 :Bool;
  bytes @3 :Data;
}

struct PermitRequest {
  upstream @0 :Text;
  requester @1 :Text;
  attempt @2 :Text;
  lamport @3 :UInt64;
  ended @4 :Bool;
  cold @5 :Bool;
}

struct Permit {
  upstream @0 :Text;
  attempt @1 :Text;
  fencing @2 :UInt64;
  ttlMs @3 :UInt32;
  lamport @4 :UInt64;
  granted @5 :Bool;
  warm @6 :Bool;
  reason @7 :Text;
}

struct Charge {
  key @0 :Text;
  json @1 :Text;
}

struct Charges {
  owner @0 :Text;
  charges @1 :List(Charge);
  lamport @2 :UInt64;
  incarnation @3 :UInt64;
  holderIncarnation @4 :UInt64;
}

struct Probe {
  target @0 :Text;
  address @1 :Address;
}

struct ProbeResult {
  reached @0 :Bool;
  incarnation @1 :UInt64;
}

struct Filter {
  request @0 :Text;       # Texts: absent means any; an empty text selects events without that id.
  upstream @1 :Text;
  domain @2 :Text;
  hasRevision @3 :Bool;
  revision @4 :UInt64;
  hasKind @5 :Bool;
  kind @6 :UInt16;
  hasFrom @7 :Bool;
  fromMs @8 :Int64;
  hasUntil @9 :Bool;
  untilMs @10 :Int64;
  limit @11 :UInt32;
}

struct Event {
  instance @0 :Text;
  wallMs @1 :Int64;
  lamport @2 :UInt64;
  monotonicNs @3 :Int64;
  kind @4 :UInt16;
  request @5 :Text;
  team @6 :Text;
  upstream @7 :Text;
  version @8 :Text;
  revision @9 :UInt64;
  domain @10 :Text;
  message @11 :Text;
  step @12 :Text;
  detail @13 :Text;
}

struct Events {
  events @0 :List(Event);
  dropped @1 :UInt64;
}

struct Status {
  instance @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  revision @3 :UInt64;
  ready @4 :Bool;
  json @5 :Text;
}

struct HeldTable {
  table @0 :UInt8;      # 0 operators' orders, 1 registry of upstreams. Others are passed over.
  era @1 :UInt64;
  version @2 :UInt64;   # Of the store, at which the caller's rows were read.
  revision @3 :UInt64;  # Of the configuration that the caller has; 0 if none.
  ageMs @4 :Int64;      # Since the caller's rows were last confirmed.
}

struct TableWatch {
  held @0 :List(HeldTable);
  waitMs @1 :UInt32;    # How long the answer may be held back while there is nothing new.
}

struct TableNews {
  table @0 :UInt8;
  era @1 :UInt64;
  version @2 :UInt64;
  ageMs @3 :Int64;
  bytes @4 :Data;        # Empty if the caller has all rows already.
  recovered @5 :Bool;    # Whether the store came back from an outage a short while ago.
  recoveredMs @6 :Int64; # Time since then.
  cutOff @7 :Bool;       # The answering daemon gets no confirmation from the store either.
}

struct TableNewsList {
  tables @0 :List(TableNews);
}

struct Empty {}

# A result carries either its value or a failure.
struct DigestResult { union { value @0 :Digest; failure @1 :Failure; } }
struct DeltaResult { union { value @0 :Delta; failure @1 :Failure; } }
struct PermitResult { union { value @0 :Permit; failure @1 :Failure; } }
struct EmptyResult { union { value @0 :Empty; failure @1 :Failure; } }
struct ProbeResultResult { union { value @0 :ProbeResult; failure @1 :Failure; } }
struct EventsResult { union { value @0 :Events; failure @1 :Failure; } }
struct StatusResult { union { value @0 :Status; failure @1 :Failure; } }
struct TableNewsResult { union { value @0 :TableNewsList; failure @1 :Failure; } }

interface Peer {
  exchange @0 Digest -> DigestResult;
  fetch @1 Fetch -> DeltaResult;
  acquirePermit @2 PermitRequest -> PermitResult;
  renewPermit @3 PermitRequest -> PermitResult;
  releasePermit @4 PermitRequest -> EmptyResult;
  holdCharges @5 Charges -> EmptyResult;
  dropCharges @6 Charges -> EmptyResult;
  probe @7 Probe -> ProbeResultResult;
  timeline @8 Filter -> EventsResult;
  status @9 Empty -> StatusResult;
  unused10 @10 Empty -> EmptyResult;  # Was watchOrders.
  watchTables @11 TableWatch -> TableNewsResult;
}
