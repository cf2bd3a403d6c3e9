#include "model_orders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace bulrushpitch::standin {

namespace asio = boost::asio;

namespace {

constexpr double DefaultQuality = 0.7;

} // namespace

ModelOrders::ModelOrders(asio::io_context &Context, EngineSettings &Settings)
    : m_Context(Context), m_Settings(Settings) {
  for (const std::pair<const std::string, double> &Loaded : m_Settings.m_Versions)
    m_Loaded.insert(Loaded.first);
}

std::optional<HttpResponse> ModelOrders::checkFence(std::uint64_t Number) const {
  if (!m_Settings.m_ChecksFencing || Number >= m_HighestFencing)
    return std::nullopt;
  return jsonResponse(409, {{"error", "fencing number " + std::to_string(Number) + " is older than " +
                                          std::to_string(m_HighestFencing)},
                            {"ran", "no"},
                            {"highestFencing", m_HighestFencing}});
}

HttpResponse ModelOrders::take(const std::shared_ptr<ModelOrders> &Self, const json &Body) {
  const std::string Id = Body.at("orderId").get<std::string>();
  const std::string Kind = Body.at("kind").get<std::string>();
  const std::string Target = Body.at("target").get<std::string>();
  const std::uint64_t Fencing = Body.at("fencing").get<std::uint64_t>();
  const HttpResponse Taken = jsonResponse(202, {{"orderId", Id}, {"accepted", true}});
  if (Self->m_OrderIds.contains(Id))
    return Taken;
  if (const std::optional<HttpResponse> Old = Self->checkFence(Fencing))
    return *Old;
  if (Body.at("expiresAt").get<std::int64_t>() < unixMilliseconds())
    return refusal(410, "order expired");
  if (const std::optional<HttpResponse> Refusal = execute(Self, Kind, Target))
    return *Refusal;
  Self->m_OrderIds.insert(Id);
  Self->m_LastOrder = Id;
  Self->m_HighestFencing = std::max(Self->m_HighestFencing, Fencing);
  return Taken;
}

/// @return why an order can't be carried out; nothing if it is
std::optional<HttpResponse> ModelOrders::execute(const std::shared_ptr<ModelOrders> &Self,
                                                 const std::string &Kind, const std::string &Target) {
  if (Kind == "change-role")
    return Self->changeRole(Target);
  if (Kind != "load-version" && Kind != "load-adapter")
    return refusal(400, "unknown kind");
  Self->m_Loading.insert(Target);
  asio::co_spawn(Self->m_Context, load(Self, Kind == "load-version", Target), asio::detached);
  return std::nullopt;
}

std::optional<HttpResponse> ModelOrders::changeRole(const std::string &Role) {
  if (Role != "mixed" && Role != "prefill" && Role != "decode")
    return refusal(400, "unknown role");
  m_Role = Role;
  return std::nullopt;
}

asio::awaitable<void> ModelOrders::load(std::shared_ptr<ModelOrders> Self, bool IsVersion,
                                        std::string Target) {
  co_await sleepFor(Self->m_Settings.m_LoadTime);
  Self->m_Loading.erase(Target);
  Self->m_Settings.m_Versions.emplace(Target, DefaultQuality);
  (IsVersion ? Self->m_Loaded : Self->m_Adapters).insert(Target);
}

json ModelOrders::state() const {
  return {{"versions", m_Loaded}, {"adapters", m_Adapters}, {"role", m_Role}};
}

json ModelOrders::list() const {
  json Body = state();
  Body.update({{"loading", m_Loading}, {"highestFencing", m_HighestFencing}, {"lastOrder", m_LastOrder}});
  return Body;
}

} // namespace bulrushpitch::standin
