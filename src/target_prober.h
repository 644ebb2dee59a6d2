#ifndef SARDINELEAD_SRC_TARGET_PROBER_H_
#define SARDINELEAD_SRC_TARGET_PROBER_H_

// Performs the active checks requested by Health: opens and closes a TCP
// connection to the target's check address.

#include <asio/io_context.hpp>
#include <cstddef>
#include <functional>

#include "sardinelead/health.h"
#include "sardinelead/types.h"

namespace sardinelead {

class TargetProber {
 public:
  using OnResult = std::function<void(TargetId target, bool reached)>;

  // Calls `on_result` on the context's thread. The context must outlive the
  // prober.
  TargetProber(asio::io_context* context, Duration deadline,
               OnResult on_result);

  // Starts a check. If kMaxProbes checks are already running, it is skipped and
  // reported as reached, because it provides no evidence against the target.
  void Start(const Probe& probe);

 private:
  struct Connection;
  static constexpr std::size_t kMaxProbes = 512;

  asio::io_context* m_context;
  const Duration m_deadline;
  const OnResult m_on_result;
  std::size_t m_running = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_TARGET_PROBER_H_
