#include "bulrushpitch/standin/service.h"

#include "upstream_calls.h"

namespace bulrushpitch::standin {

namespace asio = boost::asio;

namespace {

class ServiceCalls : public UpstreamCalls {
public:
  ServiceCalls(std::shared_ptr<UpstreamState> Upstream, Milliseconds Work, std::shared_ptr<Ledger> Books)
      : UpstreamCalls(Upstream), m_Process(Upstream->m_Process), m_Faults(Upstream->m_Faults),
        m_Counts(Upstream->m_Counts), m_Work(Work), m_Books(std::move(Books)) {}

private:
  asio::awaitable<void> serve(const std::string &Path, HttpRequest &Request,
                              ResponseWriter &Writer) override {
    if (Path == "/load") {
      HttpResponse Report = m_Process.starting() ? refusal(503, "the process is starting")
                                                 : jsonResponse(200, m_Process.report(m_Faults.m_Lag));
      co_await answer(m_Faults, m_Counts, Writer, std::move(Report), false);
      co_return;
    }
    if (m_Process.admit(m_Active) != Process::Admission::Accepted) {
      ++m_Counts.m_Refused;
      co_await answer(m_Faults, m_Counts, Writer, refusal(503, "too many calls, or the process is starting"),
                      false);
      co_return;
    }
    co_await call(Path, Request, Writer);
  }

  asio::awaitable<void> call(const std::string &Path, HttpRequest &Request, ResponseWriter &Writer) {
    ++m_Started;
    m_Process.note(++m_Active, 0, 0.0);
    const std::string StartId = m_Process.startId();
    co_await sleepFor(m_Work);
    m_Process.note(--m_Active, 0, 0.0);
    if (m_Process.startId() != StartId) {
      ++m_Counts.m_Lost;
      co_await breakOff(Writer);
      co_return;
    }
    HttpResponse Response = guarded([this, &Path, &Request] { return route(Path, Request); });
    co_await answer(m_Faults, m_Counts, Writer, std::move(Response), true);
  }

  HttpResponse route(const std::string &Path, const HttpRequest &Request) {
    const bool HasBody = Request.m_Method == "POST";
    const json Body = HasBody ? json::parse(Request.m_Body) : json::object();
    const auto Field = [&Body, &Request, HasBody](const char *Name) {
      return HasBody ? Body.at(Name).get<std::string>() : queryText(Request, Name);
    };
    if (Path == "/debit" && HasBody)
      return debit(Body, Request);
    if (Path == "/order" && HasBody)
      return placeOrder(Body, Request);
    if (Path == "/balance")
      return balance(Field("wallet"), Request);
    if (Path == "/order-status")
      return orderStatus(Field("orderId"), Request);
    return refusal(404, "no such route");
  }

  /// Records that a route took effect.
  void record(const HttpRequest &Request) {
    const std::optional<std::string_view> Key = Request.m_Headers.find("Idempotency-Key");
    if (!Key) {
      ++m_Books->m_WithoutKey;
      return;
    }
    Ledger::KeyRecord &Known = m_Books->m_ByKey[{std::string(*Key), std::string(Request.path())}];
    ++Known.m_Ran;
    Known.m_Attempts.emplace_back(Request.m_Headers.find("X-Attempt-Id").value_or(""));
  }

  std::int64_t &wallet(const std::string &Name) {
    return m_Books->m_Wallets.try_emplace(Name, m_Books->m_OpeningBalance).first->second;
  }

  HttpResponse debit(const json &Body, const HttpRequest &Request) {
    const std::string Name = Body.at("wallet").get<std::string>();
    const std::int64_t Amount = Body.at("amount").get<std::int64_t>();
    if (Amount <= 0)
      throw BadRequest("the amount is not above 0");
    std::int64_t &Balance = wallet(Name);
    if (Balance < Amount)
      return jsonResponse(402, {{"error", "balance is too low"}, {"ran", "no"}, {"balance", Balance}});
    Balance -= Amount;
    record(Request);
    return jsonResponse(
        200,
        {{"wallet", Name}, {"balance", Balance}, {"debitId", "d-" + std::to_string(++m_Books->m_Debits)}});
  }

  HttpResponse balance(const std::string &Name, const HttpRequest &Request) {
    record(Request);
    return jsonResponse(200, {{"wallet", Name}, {"balance", wallet(Name)}});
  }

  HttpResponse placeOrder(const json &Body, const HttpRequest &Request) {
    const Ledger::Order Placed{Body.at("item").get<std::string>(), Body.at("quantity").get<std::int64_t>()};
    if (Placed.m_Quantity <= 0)
      throw BadRequest("the quantity is not above 0");
    const std::string Id = "order-" + std::to_string(m_Books->m_Orders.size() + 1);
    m_Books->m_Orders[Id] = Placed;
    record(Request);
    return orderAnswer(Id, Placed);
  }

  HttpResponse orderStatus(const std::string &Id, const HttpRequest &Request) {
    const auto Known = m_Books->m_Orders.find(Id);
    if (Known == m_Books->m_Orders.end())
      return refusal(404, "no order " + Id);
    record(Request);
    return orderAnswer(Id, Known->second);
  }

  static HttpResponse orderAnswer(const std::string &Id, const Ledger::Order &Known) {
    return jsonResponse(
        200, {{"orderId", Id}, {"item", Known.m_Item}, {"quantity", Known.m_Quantity}, {"status", "placed"}});
  }

  HttpResponse stats() const override {
    return jsonResponse(200, {{"startId", m_Process.startId()},
                              {"started", m_Started},
                              {"refused", m_Counts.m_Refused},
                              {"lost", m_Counts.m_Lost},
                              {"fallOvers", m_Process.fallOvers()},
                              {"maxRunning", m_Process.maxRunning()},
                              {"cold", m_Process.cold()}});
  }

  HttpResponse audit() const override {
    json Keys = json::array();
    for (const std::pair<const std::pair<std::string, std::string>, Ledger::KeyRecord> &Known :
         m_Books->m_ByKey)
      Keys.push_back({{"key", Known.first.first},
                      {"route", Known.first.second},
                      {"ran", Known.second.m_Ran},
                      {"attempts", Known.second.m_Attempts}});
    return jsonResponse(200, {{"keys", Keys}, {"withoutKey", m_Books->m_WithoutKey}});
  }

  // Of the upstream's state, which the base keeps alive.
  Process &m_Process;
  Faults &m_Faults;
  FaultCounts &m_Counts;
  Milliseconds m_Work;
  std::shared_ptr<Ledger> m_Books;
  std::size_t m_Active = 0;
  std::uint64_t m_Started = 0;
};

} // namespace

ServiceStandin::ServiceStandin(asio::io_context &Context, ProcessSettings Settings, Milliseconds Work,
                               std::shared_ptr<Ledger> Books)
    : UpstreamStandin(Context, Settings.m_Address,
                      std::make_shared<ServiceCalls>(std::make_shared<UpstreamState>(Settings), Work,
                                                     std::move(Books))) {}

} // namespace bulrushpitch::standin
