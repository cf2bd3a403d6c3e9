#ifndef BULRUSHPITCH_STANDIN_ENGINE_H
#define BULRUSHPITCH_STANDIN_ENGINE_H

#include "bulrushpitch/standin/process.h"
#include "bulrushpitch/standin/upstream.h"

#include <boost/asio/io_context.hpp>

#include <map>

namespace bulrushpitch::standin {

/// @brief Settings of one stand-in engine; see docs/protocols.md, section 4.3.
struct EngineSettings {
  ProcessSettings m_Process{.m_Name = "engine-1", .m_QueueLimit = 64};
  std::map<std::string, double> m_Versions{{"v1", 0.8}}; ///< Loaded at the start, with their quality.
  std::chrono::microseconds m_BaseGap{8'000};            ///< Of one token with no other stream.
  std::chrono::microseconds m_StreamGap{500};            ///< Added to the gap by each running stream.
  double m_PrefillRate = 20'000;                         ///< Prompt tokens per second.
  std::size_t m_CacheBlocks = 4'096;
  Milliseconds m_LoadTime{5'000};
  Milliseconds m_EventLag{500};
  double m_EventLoss = 0.05; ///< Share of cache events that are never shown.
  bool m_ChecksFencing = false;
};

/// @brief A model engine that generates deterministic text.
///
/// @code
/// EngineStandin Engine(Context, EngineSettings{});
/// Engine.start();
/// @endcode
class EngineStandin : public UpstreamStandin {
public:
  EngineStandin(boost::asio::io_context &Context, EngineSettings Settings);
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_ENGINE_H
