#ifndef BULRUSHPITCH_KERNEL_KERNEL_H
#define BULRUSHPITCH_KERNEL_KERNEL_H

#include "bulrushpitch/core/error.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief A part of the daemon that the kernel starts, stops and finds by name.
class Service {
public:
  Service() = default;
  Service(const Service &) = delete;
  Service &operator=(const Service &) = delete;
  virtual ~Service() = default;

  /// @brief Begins work. Called once, after all services that were added earlier have started.
  virtual Result<void> start() = 0;
  /// @brief Ends work at once. Called once, before all services that were added earlier stop.
  virtual void stop() = 0;
};

/// @brief Holds the daemon's services; they find one another by name.
///
/// @code
/// Kernel Services;
/// Services.add("timeline", std::make_shared<TimelineService>(...));
/// TimelineService &Timeline = *Services.find<TimelineService>("timeline").value();
/// @endcode
class Kernel {
public:
  /// @brief Registers a service.
  /// @param Name the name to find it by; must be new
  /// @throw std::invalid_argument if the name is taken
  void add(std::string Name, std::shared_ptr<Service> Added);

  /// @brief Finds a service by name and type.
  /// @return the service, or error 902 if no service has that name and type
  /// @complexity logarithmic in the number of services
  template <typename T> Result<std::shared_ptr<T>> find(std::string_view Name) const {
    std::shared_ptr<T> Found = std::dynamic_pointer_cast<T>(lookUp(Name));
    if (!Found)
      return fail(Error{ErrorCode::UnknownServiceName, "find service", "", Ran::No,
                        "no service of the wanted type is named '" + std::string(Name) + "'"});
    return Found;
  }

  /// @brief Starts all services in the order they were added.
  /// @return the first error; services that started before it are stopped again
  Result<void> start();

  /// @brief Stops all started services, the last one first.
  void stop();

  /// @return the services' names in the order they were added
  const std::vector<std::string> &names() const { return m_Order; }

private:
  std::shared_ptr<Service> lookUp(std::string_view Name) const;

  std::map<std::string, std::shared_ptr<Service>, std::less<>> m_Services;
  std::vector<std::string> m_Order;
  std::size_t m_Started = 0;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_KERNEL_KERNEL_H
