#include "link_admission.h"

#include <algorithm>
#include <utility>

#include "link_units.h"

namespace sardinelead {
namespace {

// A bound on memory; all averages are discarded when it is reached.
constexpr std::size_t kMaxRoutes = 10'000;
// A request needs at least this multiple of its transfer time before its flow
// may be refused: half of it is then spent waiting.
constexpr int kMinTransferTimes = 2;

Duration ObjectiveOf(const Route& route) {
  return std::chrono::milliseconds(route.objective_ms != 0 ? route.objective_ms
                                                           : route.timeout_ms);
}

}  // namespace

LinkAdmission::LinkAdmission(const LinkAdmissionSettings& settings, Hooks hooks)
    : m_settings(settings), m_hooks(std::move(hooks)) {}

bool LinkAdmission::Admits(const Route& route, Duration expected_wait,
                           bool link_has_backlog, TimePoint now) {
  const double rate = m_hooks.bytes_per_second();
  if (rate <= 0) return true;
  const double bytes = ExpectedBytes(route);
  const Duration transfer = TransferTime(bytes, rate);
  const Duration wait =
      expected_wait + TransferTime(BytesAhead(route.priority, now), rate);
  const Duration limit =
      std::max<Duration>(ObjectiveOf(route), kMinTransferTimes * transfer);
  if (link_has_backlog && wait + transfer > limit) return false;
  m_expected.push_back({now, route.priority, bytes});
  return true;
}

// The bytes of admitted requests of this or a higher rank that are expected and
// not in the queue yet.
double LinkAdmission::BytesAhead(std::uint32_t priority, TimePoint now) {
  while (!m_expected.empty() &&
         now - m_expected.front().admitted_at >= m_settings.arrival_time) {
    m_expected.pop_front();
  }
  double bytes = 0;
  for (const ExpectedRequest& request : m_expected) {
    if (request.priority <= priority) bytes += request.bytes;
  }
  return bytes;
}

void LinkAdmission::OnRequest(const Route& route, std::size_t bytes) {
  if (m_average_bytes.size() >= kMaxRoutes) m_average_bytes.clear();
  const auto [found, is_new] =
      m_average_bytes.try_emplace(route.address, ExpectedBytes(route));
  found->second +=
      (static_cast<double>(bytes) - found->second) * m_settings.average_weight;
}

double LinkAdmission::ExpectedBytes(const Route& route) const {
  const auto found = m_average_bytes.find(route.address);
  if (found != m_average_bytes.end()) return found->second;
  return m_settings.start_bytes[static_cast<std::size_t>(route.kind)];
}

}  // namespace sardinelead
