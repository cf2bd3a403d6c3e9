#include "cache_calls.h"

#include "bulrushpitch/standin/answers.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bulrushpitch::standin {

namespace {

constexpr std::size_t KvBytesPerToken = 131'072;
constexpr std::uint64_t MaxKvBytes = 1ULL << 30U;

HttpResponse store(EngineState &Engine, std::uint64_t Hash, const json &Body) {
  const std::string Version = Body.at("version").get<std::string>();
  if (const std::optional<HttpResponse> Refusal = Engine.checkLoaded(Version))
    return *Refusal;
  if (Body.at("bytes").get<std::uint64_t>() > MaxKvBytes)
    return refusal(507, "too large");
  Engine.m_Cache.use(Version, {Hash}, Engine.m_Process.now());
  return jsonResponse(200, {{"stored", true}});
}

} // namespace

HttpResponse cacheEvents(const EngineState &Engine, const HttpRequest &Request) {
  const std::string After = queryText(Request, "after");
  const TimePoint ShownUntil = Engine.m_Process.now() - Engine.m_Settings.m_EventLag;
  json Events = Engine.m_Cache.events(After.empty() ? 0 : std::stoull(After), ShownUntil);
  Events["startId"] = Engine.m_Process.startId();
  return jsonResponse(200, Events);
}

HttpResponse keysAndValues(EngineState &Engine, const std::string &Prefix, const HttpRequest &Request) {
  const std::optional<std::uint64_t> Hash = parseHex(Prefix);
  if (!Hash)
    throw BadRequest("the prefix is not 16 hexadecimal digits");
  if (Request.m_Method == "POST")
    return store(Engine, *Hash, json::parse(Request.m_Body));
  const std::string Version = queryText(Request, "version");
  if (!Engine.m_Cache.contains(Version, *Hash))
    return refusal(404, "prefix is not cached");
  return jsonResponse(200, {{"prefix", Prefix},
                            {"version", Version},
                            {"tokens", PrefixCache::BlockTokens},
                            {"bytes", PrefixCache::BlockTokens * KvBytesPerToken}});
}

} // namespace bulrushpitch::standin
