@0xd3b0a6c19e7f4825;
# The operators' orders as daemons relay them to each other. Fields are only ever added; numbers are never reused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bulrushpitch::schema");

struct ServiceShare {
  service @0 :Text;
  weight @1 :Float64;
}

struct Route {
  name @0 :Text;
  host @1 :Text;
  prefix @2 :Text;
  kind @3 :UInt8;  # 0 idempotent, 1 not idempotent, 2 stream.
  timeoutMs @4 :Int64;
  targetLatencyMs @5 :Int64;
  targetGapMs @6 :Int64;
  priority @7 :Int32;
  maxAttempts @8 :UInt32;
  public @9 :Bool;
  resumable @10 :Bool;
  services @11 :List(ServiceShare);
  models @12 :List(Text);
  regions @13 :List(Text);
}

struct Team {
  id @0 :Text;
  keys @1 :List(Text);
  hasPriority @2 :Bool;
  priority @3 :Int32;
  regions @4 :List(Text);
}

struct ModelCost {
  model @0 :Text;
  cost @1 :Float64;
}

struct Service {
  id @0 :Text;
  coldRequestsPerSecond @1 :Float64;
  modelCosts @2 :List(ModelCost);
}

struct ConfigDelta {
  base @0 :UInt64;  # Revision that it applies to; 0: the empty configuration.
  revision @1 :UInt64;
  routes @2 :List(Route);
  removedRoutes @3 :List(Text);
  teams @4 :List(Team);
  removedTeams @5 :List(Text);
  services @6 :List(Service);
  maxHeaderBytes @7 :UInt64;
  maxBodyBytes @8 :UInt64;
  headerTimeoutMs @9 :Int64;
  idleTimeoutMs @10 :Int64;
  contentHash @11 :UInt64;
}

struct Rollout {
  service @0 :Text;
  targetVersion @1 :Text;
  timeLimitNs @2 :Int64;
  orderVersion @3 :UInt64;
}

struct OrderSnapshot {
  domainsOut @0 :List(Text);
  rollouts @1 :List(Rollout);
  config @2 :ConfigDelta;  # Absent: the receiver has it already.
}
