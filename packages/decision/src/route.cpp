#include "bulrushpitch/decision/route.h"

#include <array>
#include <cstdio>

namespace bulrushpitch {

std::string_view nameOf(RouteRule Value) {
  switch (Value) {
  case RouteRule::Pinned:
    return "pinned";
  case RouteRule::Direct:
    return "direct";
  case RouteRule::Cascade:
    return "cascade";
  case RouteRule::Explore:
    return "explore";
  case RouteRule::BestEffort:
    return "best effort";
  case RouteRule::Service:
    break;
  }
  return "service";
}

std::string_view nameOf(Warmth Value) {
  switch (Value) {
  case Warmth::Cold:
    return "cold";
  case Warmth::Ramping:
    return "ramping";
  case Warmth::Warm:
    break;
  }
  return "warm";
}

std::string RouteDecision::reason() const {
  std::array<char, 256> Buffer{};
  std::string Line(nameOf(m_Reason.m_Rule));
  if (m_Reason.m_Rule != RouteRule::Service) {
    std::snprintf(Buffer.data(), Buffer.size(),
                  ": %s at %.0f microcents, quality at least %.3f for target %.3f%s;",
                  m_Version.value().c_str(), m_Reason.m_ExpectedCost, m_Reason.m_LowerBound,
                  m_Reason.m_Target, m_StreamBeforeRating ? "" : ", held until rated");
    Line += Buffer.data();
  } else {
    Line += ":";
  }
  std::snprintf(Buffer.data(), Buffer.size(),
                " %s is %s with %u of %u requests, expected wait %.1f ms, %.0f%% cached, best of %u possible "
                "upstreams%s",
                m_Upstream.value().c_str(), nameOf(m_Reason.m_Warmth).data(), m_Reason.m_KnownLoad,
                m_Reason.m_Limit, std::chrono::duration<double, std::milli>(m_ExpectedWait).count(),
                m_Reason.m_CachedShare * 100.0, m_Reason.m_Considered,
                m_Reason.m_OtherRegion ? "; in another region" : "");
  return Line + Buffer.data();
}

} // namespace bulrushpitch
