#include "kj_loop.h"

#include <boost/asio/execution_context.hpp>
#include <boost/asio/post.hpp>

#include <stdexcept>
#include <string>

namespace bulrushpitch::detail {

namespace {

/// KJ turns per handler, so that sockets and timers of the io_context are served in between.
constexpr unsigned turnsPerHandler = 256;

/// @brief Keeps one KjLoop per io_context.
class KjLoopService final : public boost::asio::execution_context::service {
public:
  using key_type = KjLoopService;
  static inline boost::asio::execution_context::id id; // NOLINT(readability-identifier-naming)

  explicit KjLoopService(boost::asio::execution_context &Owner)
      : service(Owner), m_Loop(std::make_shared<KjLoop>(static_cast<boost::asio::io_context &>(Owner))) {}

  const std::shared_ptr<KjLoop> &loop() const { return m_Loop; }

private:
  void shutdown() override { m_Loop->detach(); }

  std::shared_ptr<KjLoop> m_Loop;
};

} // namespace

KjLoop::KjLoop(boost::asio::io_context &Context) : m_Context(&Context), m_Loop(*this) {}

KjLoop::~KjLoop() {
  // KJ reports events that are left in a destroyed loop as a leak.
  KjScope Scope(*this);
  m_Loop.run();
}

std::shared_ptr<KjLoop> KjLoop::of(boost::asio::io_context &Context) {
  return boost::asio::use_service<KjLoopService>(Context).loop();
}

bool KjLoop::wait() { throw std::logic_error("a KJ promise was waited for in the io_context's thread"); }

bool KjLoop::poll() { return false; }

void KjLoop::setRunnable(bool Runnable) {
  if (Runnable)
    post();
}

void KjLoop::post() {
  if (m_Posted || m_Context == nullptr)
    return;
  m_Posted = true;
  boost::asio::post(*m_Context, [Self = shared_from_this()] { Self->turn(); });
}

void KjLoop::turn() {
  m_Posted = false;
  KjScope Scope(*this);
  m_Loop.run(turnsPerHandler);
  // run() reports a change only, and says nothing when the loop stays runnable.
  if (m_Loop.isRunnable())
    post();
}

KjScope::KjScope(KjLoop &Loop) : m_Loop(Loop) {
  if (m_Loop.m_Depth++ == 0)
    m_Loop.m_Current.emplace(m_Loop.m_Loop);
}

KjScope::~KjScope() {
  if (--m_Loop.m_Depth == 0)
    m_Loop.m_Current.reset();
}

std::string describe(const kj::Exception &Failure) {
  return {Failure.getDescription().cStr(), Failure.getDescription().size()};
}

} // namespace bulrushpitch::detail
