#ifndef SARDINELEAD_ADMISSION_H_
#define SARDINELEAD_ADMISSION_H_

// Admission control: decides which callers may open flows and enforces packet
// rate limits.
//
// A flow is charged to the workspace of its caller: the one that the service
// maps the caller's prefix to, or else the workspace that owns the service.
// When the capacity of a service is contended, because the service has a limit
// or all its targets are shedding, it is divided among the workspaces in
// proportion to their shares. Unused capacity is lent to the other workspaces
// in the same proportion. A workspace reclaims lent new-flow rate within a
// second, and lent open flows as they close; kHeldReserveFraction of the open
// flow limit is never lent, so that workspaces below their share find room.
//
// Limits apply to a whole data centre. Each balancer enforces its part: of the
// flow limits, the fraction of partitions that it leads in the View; of the
// packet limits, an equal part for each member.
//
// Thread-safe, with one lock per service. AllowPacket takes no lock, except to
// rebuild the table after a configuration change. It costs two atomic loads if
// no packet limit is set, and otherwise a scan of the service's prefixes plus
// one atomic exchange per limit.

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "sardinelead/blackboard.h"
#include "sardinelead/flow_director.h"
#include "sardinelead/metrics.h"
#include "sardinelead/types.h"

namespace sardinelead {

// An address prefix, such as "10.1.0.0/16".
struct Prefix {
  IpAddress address;
  int bits = 0;  // Prefix length in the IPv4-mapped IPv6 form.

  static std::optional<Prefix> Parse(std::string_view text);
  bool Contains(const IpAddress& other) const;
};

struct AdmissionSettings {
  // Depth of a workspace's token bucket for new flows, as the time that an
  // empty bucket takes to fill at the workspace's share of the rate. The
  // depth is at least one flow.
  Duration burst = std::chrono::seconds(2);
};

// Defined in src/admission_table.h.
class AdmissionTable;
class ServiceAdmission;

class Admission {
 public:
  Admission(const AdmissionSettings& settings, const Blackboard* blackboard,
            Metrics* metrics);
  ~Admission();

  // Returns whether `caller` may open a flow now, or the reason for refusing
  // it. Counts refusals by workspace and reason.
  tl::expected<void, RefuseReason> Admit(const Service& service,
                                         const IpAddress& caller,
                                         TimePoint now);
  // Update the number of open flows. Must be called when an admitted flow has
  // opened or closed.
  void OnOpened(ServiceId service, const IpAddress& caller);
  void OnClosed(ServiceId service, const IpAddress& caller);
  // Reports whether all targets of the service are shedding load. While they
  // are, admission is reduced by the same fraction of each workspace's share.
  // Must be called every second.
  void OnShedding(ServiceId service, bool all_shed, TimePoint now);
  // Counts a refusal decided by another component.
  void CountRefusal(const Service& service, const IpAddress& caller,
                    RefuseReason reason);
  // Reconciles the open flow counts with `held`, the count of the flow table,
  // if they differ by more than 10%. Scales all workspaces by the same factor,
  // which removes half of the difference.
  void Recount(ServiceId service, std::uint64_t held);
  // Publishes the open flow gauges. Must be called every second.
  void OnTick();

  // Returns whether a packet is within the packet limits of its workspace and
  // service.
  bool AllowPacket(const Service& service, const IpAddress& caller,
                   TimePoint now);

  // Returns the name of the workspace that flows of `caller` are charged to.
  std::string WorkspaceOf(const Service& service, const IpAddress& caller);

 private:
  std::shared_ptr<AdmissionTable> CurrentTable();
  std::shared_ptr<AdmissionTable> RebuildTable(std::uint64_t generation);
  void UpdateFromView();

  AdmissionSettings m_settings;
  const Blackboard* m_blackboard;
  Metrics* m_metrics;
  std::mutex m_rebuild_mutex;
  std::atomic<std::uint64_t> m_generation{0};  // Configuration generation.
  std::atomic<bool> m_has_packet_limits{false};
  std::shared_ptr<AdmissionTable> m_table;  // Accessed with std::atomic_load.
  std::atomic<std::uint64_t> m_view_generation{0};
  // Fraction of the data centre's partitions that this balancer leads, and so
  // of the flows that it makes decisions for.
  std::atomic<double> m_led_fraction{1};
  // Fraction of the data centre's packets that reach this balancer.
  std::atomic<double> m_packet_fraction{1};
};

}  // namespace sardinelead

#endif  // SARDINELEAD_ADMISSION_H_
