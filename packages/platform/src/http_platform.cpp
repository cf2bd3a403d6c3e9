#include "bulrushpitch/platform/http_platform.h"

#include "bulrushpitch/platform/detail/wire.h"

namespace bulrushpitch {

namespace asio = boost::asio;
using detail::Effect;
using detail::percentEncode;

namespace {

constexpr std::size_t MaxWrites = 100;

HttpRequest makeRequest(std::string Method, std::string Target, std::string Body = {},
                        std::string ContentType = "application/json") {
  HttpRequest Request;
  Request.m_Method = std::move(Method);
  Request.m_Target = std::move(Target);
  if (Request.m_Method != "GET")
    Request.m_Headers.add("Content-Type", std::move(ContentType));
  Request.m_Body = std::move(Body);
  return Request;
}

} // namespace

asio::awaitable<Expected<std::optional<Row>>> HttpTableService::get(std::string Key) {
  const Expected<HttpResponse> Response =
      co_await m_Client.call(makeRequest("GET", "/table/row?key=" + percentEncode(Key)), Effect::Read);
  if (!Response)
    co_return Response.error();
  Expected<std::optional<Row>> Found =
      m_Client.withErrorContext(detail::decodeRow(Response->m_Body), Effect::Read);
  if (Found && *Found && (*Found)->m_Key != Key)
    co_return m_Client.failure(ErrorCode::PlatformProtocol, Effect::Read, Ran::No,
                               "the response has row " + (*Found)->m_Key + " instead of " + Key);
  co_return Found;
}

asio::awaitable<Expected<std::vector<Row>>> HttpTableService::scan(std::string Prefix, std::size_t Limit) {
  const std::string Target =
      "/table/rows?prefix=" + percentEncode(Prefix) + "&limit=" + std::to_string(Limit);
  const Expected<HttpResponse> Response = co_await m_Client.call(makeRequest("GET", Target), Effect::Read);
  if (!Response)
    co_return Response.error();
  co_return m_Client.withErrorContext(detail::decodeRows(Response->m_Body), Effect::Read);
}

asio::awaitable<Expected<CommitOutcome>> HttpTableService::commit(std::vector<RowWrite> Writes) {
  if (Writes.empty() || Writes.size() > MaxWrites)
    co_return m_Client.failure(ErrorCode::PlatformProtocol, Effect::Write, Ran::No,
                               "transaction has " + std::to_string(Writes.size()) +
                                   " writes; must have 1 to 100");
  Expected<std::string> Body = detail::encodeTransaction(Writes);
  if (!Body)
    co_return m_Client.failure(ErrorCode::PlatformProtocol, Effect::Write, Ran::No, Body.error().m_Detail);
  const Expected<HttpResponse> Response =
      co_await m_Client.call(makeRequest("POST", "/table/transactions", std::move(*Body)), Effect::Write);
  if (!Response)
    co_return Response.error();
  co_return m_Client.withErrorContext(detail::decodeCommit(Response->m_Body, Writes), Effect::Write);
}

asio::awaitable<Expected<Done>> HttpObjectStore::put(std::string Name, std::string Content) {
  const Expected<HttpResponse> Response =
      co_await m_Client.call(makeRequest("PUT", "/objects/" + percentEncode(Name, "/"), std::move(Content),
                                         "application/octet-stream"),
                             Effect::Write);
  if (!Response)
    co_return Response.error();
  co_return m_Client.withErrorContext(detail::decodePutResponse(Response->m_Body), Effect::Write);
}

asio::awaitable<Expected<std::string>> HttpObjectStore::get(std::string Name) {
  Expected<HttpResponse> Response =
      co_await m_Client.call(makeRequest("GET", "/objects/" + percentEncode(Name, "/")), Effect::Read);
  if (!Response)
    co_return Response.error();
  co_return std::move(Response->m_Body);
}

asio::awaitable<Expected<std::vector<ListedInstance>>> HttpInstanceList::list() {
  const Expected<HttpResponse> Response =
      co_await m_Client.call(makeRequest("GET", "/instances"), Effect::Read);
  if (!Response)
    co_return Response.error();
  co_return m_Client.withErrorContext(detail::decodeInstances(Response->m_Body), Effect::Read);
}

asio::awaitable<Expected<double>> HttpRatingService::rate(RatingRequest Request) {
  const Expected<HttpResponse> Response =
      co_await m_Client.call(makeRequest("POST", "/ratings", detail::encodeRating(Request)), Effect::Read);
  if (!Response)
    co_return Response.error();
  co_return m_Client.withErrorContext(detail::decodeRating(Response->m_Body), Effect::Read);
}

asio::awaitable<Expected<std::vector<VersionId>>> HttpWeightStore::versions() {
  const Expected<HttpResponse> Response =
      co_await m_Client.call(makeRequest("GET", "/weights"), Effect::Read);
  if (!Response)
    co_return Response.error();
  co_return m_Client.withErrorContext(detail::decodeVersions(Response->m_Body), Effect::Read);
}

} // namespace bulrushpitch
