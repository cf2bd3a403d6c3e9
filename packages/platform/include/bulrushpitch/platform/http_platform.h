#ifndef BULRUSHPITCH_PLATFORM_HTTP_PLATFORM_H
#define BULRUSHPITCH_PLATFORM_HTTP_PLATFORM_H

/// @file
/// @brief HTTP clients of the platform's services. The messages are specified in docs/protocols.md,
/// section 3.
///
/// A client must outlive its pending calls. Each call ends within the client's timeout.

#include "bulrushpitch/platform/detail/platform_client.h"
#include "bulrushpitch/platform/platform.h"

namespace bulrushpitch {

/// @brief Client of the table service.
///
/// @code
/// HttpTableService Table(Context, {"127.0.0.1", 7100}, std::chrono::seconds(2));
/// Expected<std::optional<Row>> Head = co_await Table.get("config/head");
/// @endcode
class HttpTableService : public TableService {
public:
  HttpTableService(boost::asio::io_context &Context, Endpoint Address, Duration Timeout)
      : m_Client(Context, "table service", std::move(Address), Timeout) {}
  boost::asio::awaitable<Expected<std::optional<Row>>> get(std::string Key) override;
  boost::asio::awaitable<Expected<std::vector<Row>>> scan(std::string Prefix, std::size_t Limit) override;
  boost::asio::awaitable<Expected<CommitOutcome>> commit(std::vector<RowWrite> Writes) override;
  PlatformCounters counters() const { return m_Client.counters(); }

private:
  detail::PlatformClient m_Client;
};

/// @brief Client of the object store.
class HttpObjectStore : public ObjectStore {
public:
  HttpObjectStore(boost::asio::io_context &Context, Endpoint Address, Duration Timeout)
      : m_Client(Context, "object store", std::move(Address), Timeout) {}
  boost::asio::awaitable<Expected<Done>> put(std::string Name, std::string Content) override;
  boost::asio::awaitable<Expected<std::string>> get(std::string Name) override;
  PlatformCounters counters() const { return m_Client.counters(); }

private:
  detail::PlatformClient m_Client;
};

/// @brief Client of the instance list.
class HttpInstanceList : public InstanceList {
public:
  HttpInstanceList(boost::asio::io_context &Context, Endpoint Address, Duration Timeout)
      : m_Client(Context, "instance list", std::move(Address), Timeout) {}
  boost::asio::awaitable<Expected<std::vector<ListedInstance>>> list() override;
  PlatformCounters counters() const { return m_Client.counters(); }

private:
  detail::PlatformClient m_Client;
};

/// @brief Client of the rating service. Ratings count as reads because they change no state.
class HttpRatingService : public RatingService {
public:
  HttpRatingService(boost::asio::io_context &Context, Endpoint Address, Duration Timeout)
      : m_Client(Context, "rating service", std::move(Address), Timeout) {}
  boost::asio::awaitable<Expected<double>> rate(RatingRequest Request) override;
  PlatformCounters counters() const { return m_Client.counters(); }

private:
  detail::PlatformClient m_Client;
};

/// @brief Client of the weight store.
class HttpWeightStore : public WeightStore {
public:
  HttpWeightStore(boost::asio::io_context &Context, Endpoint Address, Duration Timeout)
      : m_Client(Context, "weight store", std::move(Address), Timeout) {}
  boost::asio::awaitable<Expected<std::vector<VersionId>>> versions() override;
  PlatformCounters counters() const { return m_Client.counters(); }

private:
  detail::PlatformClient m_Client;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PLATFORM_HTTP_PLATFORM_H
