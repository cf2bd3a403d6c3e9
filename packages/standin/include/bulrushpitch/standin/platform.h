#ifndef BULRUSHPITCH_STANDIN_PLATFORM_H
#define BULRUSHPITCH_STANDIN_PLATFORM_H

#include "bulrushpitch/net/net.h"
#include "bulrushpitch/standin/faults.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace bulrushpitch::standin {

/// @brief The platform services, each with faults of its own.
enum class PlatformPart : std::uint8_t { Table, Objects, Instances, Ratings, Weights };

/// @brief Settings of the platform stand-in; see docs/protocols.md, section 4.2.
struct PlatformSettings {
  Endpoint m_Address{};
  bool m_Separate = false;         ///< Five consecutive ports in place of one.
  double m_WritesPerSecond = 300;  ///< Transactions and object writes together.
  double m_ReadsPerSecond = 2'000; ///< Of the table service and the object store together.
  double m_WeightReadsPerSecond = 10;
  std::size_t m_QueueLimit = 64; ///< Requests that may wait for their turn, for each of the three rates.
  Milliseconds m_ListLag{500};
  Milliseconds m_RatingTime{50};
};

/// @brief All services of the platform, in memory.
class PlatformStandin {
public:
  PlatformStandin(boost::asio::io_context &Context, PlatformSettings Settings);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin &) = delete;
  PlatformStandin &operator=(const PlatformStandin &) = delete;

  Result<void> start();
  /// @return the address of the first port
  Endpoint address() const;
  Faults &faults(PlatformPart Part);

private:
  class State;
  std::shared_ptr<State> m_State;
  std::vector<std::unique_ptr<HttpServer>> m_Servers;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_PLATFORM_H
