#ifndef BULRUSHPITCH_RPC_SRC_KJ_LOOP_H
#define BULRUSHPITCH_RPC_SRC_KJ_LOOP_H

#include <boost/asio/io_context.hpp>

#include <kj/async.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bulrushpitch::detail {

/// @brief Runs a KJ event loop as handlers of an io_context.
///
/// A KJ loop must be the current one of its thread while its promises are used. KjScope makes it so for the
/// length of a block only, so several io_contexts can share a thread, and an io_context can be run by another
/// thread than the one that made its objects.
class KjLoop final : public kj::EventPort, public std::enable_shared_from_this<KjLoop> {
public:
  explicit KjLoop(boost::asio::io_context &Context);
  ~KjLoop();
  KjLoop(const KjLoop &) = delete;
  KjLoop &operator=(const KjLoop &) = delete;

  /// @return the loop of @p Context, which is made on the first call
  static std::shared_ptr<KjLoop> of(boost::asio::io_context &Context);

  bool wait() override;
  bool poll() override;
  void setRunnable(bool Runnable) override;

  /// @brief Posts nothing to the io_context from now on.
  void detach() { m_Context = nullptr; }

private:
  friend class KjScope;
  void post();
  void turn();

  boost::asio::io_context *m_Context;
  kj::EventLoop m_Loop;
  std::optional<kj::WaitScope> m_Current;
  unsigned m_Depth = 0;
  bool m_Posted = false;
};

/// @brief Makes a loop the current one of this thread; scopes of the same loop nest.
class KjScope {
public:
  explicit KjScope(KjLoop &Loop);
  ~KjScope();
  KjScope(const KjScope &) = delete;
  KjScope &operator=(const KjScope &) = delete;

private:
  KjLoop &m_Loop;
};

/// @brief Holds a KJ object for code outside the loop: it is destroyed in a KjScope.
template <typename T> class InLoop {
public:
  InLoop(std::shared_ptr<KjLoop> Loop, T Value) : m_Loop(std::move(Loop)), m_Value(std::move(Value)) {}
  InLoop(InLoop &&) noexcept = default;
  InLoop &operator=(InLoop &&) = delete;
  InLoop(const InLoop &) = delete;
  InLoop &operator=(const InLoop &) = delete;
  ~InLoop() {
    if (!m_Loop)
      return;
    KjScope Scope(*m_Loop);
    m_Value.reset();
  }

  T &operator*() { return *m_Value; }
  T *operator->() { return &*m_Value; }
  /// @return the loop that the object belongs to
  KjLoop &loop() const { return *m_Loop; }

private:
  std::shared_ptr<KjLoop> m_Loop;
  std::optional<T> m_Value;
};

/// The end of a promise that code outside the loop fulfils.
template <typename T> using Fulfiller = InLoop<kj::Own<kj::PromiseFulfiller<T>>>;

/// @return a message for logs and errors, without KJ's source file and stack
std::string describe(const kj::Exception &Failure);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_RPC_SRC_KJ_LOOP_H
