@0xb1c7e95d40f2a683;
# Rows of the store's tables as daemons relay them to each other. Fields are only ever added; numbers are never reused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bulrushpitch::schema");

struct Upstream {
  id @0 :Text;
  service @1 :Text;
  domain @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  version @5 :Text;
  slots @6 :UInt32;
  draining @7 :Bool;
  coldNs @8 :Int64;
  startedAt @9 :Int64;
}

struct UpstreamRows {
  whole @0 :Bool;  # All rows; the receiver drops those that it has beside them.
  updated @1 :List(Upstream);
  removed @2 :List(Text);
}
