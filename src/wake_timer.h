#ifndef SARDINELEAD_SRC_WAKE_TIMER_H_
#define SARDINELEAD_SRC_WAKE_TIMER_H_

// Calls a function on an Asio context once after each WakeAfter(), unless that
// was replaced. The context must not run after this object is destroyed. Not
// thread-safe.

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "sardinelead/types.h"

namespace sardinelead {

class WakeTimer {
 public:
  WakeTimer(asio::io_context* context, std::function<void()> on_wake)
      : m_timer(*context), m_on_wake(std::move(on_wake)) {}

  // Replaces an earlier request.
  void WakeAfter(Duration after) {
    m_timer.expires_after(
        std::chrono::duration_cast<asio::steady_timer::duration>(
            std::max(after, Duration{0})));
    m_timer.async_wait([this](asio::error_code error) {
      if (!error) m_on_wake();
    });
  }

 private:
  asio::steady_timer m_timer;
  std::function<void()> m_on_wake;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_WAKE_TIMER_H_
