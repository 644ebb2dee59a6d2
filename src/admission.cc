#include "sardinelead/admission.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "admission_table.h"

namespace sardinelead {
namespace {

// Recount() ignores relative differences up to this value.
constexpr double kRecountTolerance = 0.1;
constexpr int kAddressBits = 128;
constexpr int kMappedBits = 96;  // Prefix of an IPv4-mapped IPv6 address.

// Returns the fraction of partitions that this balancer leads, which is the
// fraction of the data centre's flows that it makes decisions for.
double LedFraction(const View& view) {
  if (view.members().empty()) return 1;
  std::uint32_t led = 0;
  for (PartitionId p = 0; p < kPartitionCount; ++p) {
    if (view.HoldersOf(p).front() == view.self()) ++led;
  }
  return static_cast<double>(led) / kPartitionCount;
}

// Returns the fraction of the data centre's packets that reach this balancer:
// the fabric sprays packets over all members.
double PacketFraction(const View& view) {
  const std::size_t members = view.members().size();
  return members == 0 ? 1 : 1.0 / static_cast<double>(members);
}

// Returns this balancer's fraction of a data centre limit, at least 1. A limit
// of 0 means no limit and is returned unchanged.
double ScaledLimit(std::uint64_t limit, double fraction) {
  if (limit == 0) return 0;
  return std::max(1.0, static_cast<double>(limit) * fraction);
}

}  // namespace

std::optional<Prefix> Prefix::Parse(std::string_view text) {
  const std::size_t slash = text.find('/');
  const auto address = IpAddress::Parse(text.substr(0, slash));
  if (!address) return std::nullopt;
  const int offset = address->IsV4() ? kMappedBits : 0;
  if (slash == std::string_view::npos) return Prefix{*address, kAddressBits};
  const std::string_view digits = text.substr(slash + 1);
  int bits = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, bits);
  if (error != std::errc() || stop != end || bits < 0) return std::nullopt;
  if (bits + offset > kAddressBits) return std::nullopt;
  return Prefix{*address, bits + offset};
}

bool Prefix::Contains(const IpAddress& other) const {
  constexpr int kByteBits = 8;
  const int whole_bytes = bits / kByteBits;
  for (int i = 0; i < whole_bytes; ++i) {
    if (address.bytes[i] != other.bytes[i]) return false;
  }
  const int remaining_bits = bits % kByteBits;
  if (remaining_bits == 0) return true;
  const int shift = kByteBits - remaining_bits;
  return (address.bytes[whole_bytes] >> shift) ==
         (other.bytes[whole_bytes] >> shift);
}

Admission::Admission(const AdmissionSettings& settings,
                     const Blackboard* blackboard, Metrics* metrics)
    : m_settings(settings), m_blackboard(blackboard), m_metrics(metrics) {
  m_metrics->Describe("sardinelead_new_flows_total",
                      "Flows admitted, by the caller's workspace.");
  m_metrics->Describe("sardinelead_refused_flows_total",
                      "Flows refused, by the caller's workspace and reason.");
  m_metrics->Describe("sardinelead_flows_held",
                      "Open flows that this balancer leads.");
}

Admission::~Admission() = default;

void Admission::UpdateFromView() {
  const std::uint64_t generation = m_blackboard->view.generation();
  if (generation == m_view_generation.load(std::memory_order_acquire)) return;
  const auto view = m_blackboard->view.Read();
  m_led_fraction.store(LedFraction(*view));
  m_packet_fraction.store(PacketFraction(*view));
  m_view_generation.store(generation, std::memory_order_release);
}

std::shared_ptr<AdmissionTable> Admission::CurrentTable() {
  UpdateFromView();
  const std::uint64_t generation = m_blackboard->configuration.generation();
  if (generation == m_generation.load(std::memory_order_acquire)) {
    return std::atomic_load(&m_table);
  }
  return RebuildTable(generation);
}

std::shared_ptr<AdmissionTable> Admission::RebuildTable(
    std::uint64_t generation) {
  const std::lock_guard<std::mutex> lock(m_rebuild_mutex);
  std::shared_ptr<AdmissionTable> previous = std::atomic_load(&m_table);
  if (generation == m_generation.load(std::memory_order_acquire)) {
    return previous;
  }
  auto table =
      std::make_shared<AdmissionTable>(*m_blackboard->configuration.Read(),
                                       previous.get(), m_settings, m_metrics);
  std::atomic_store(&m_table, table);
  m_has_packet_limits.store(table->HasPacketLimits());
  m_generation.store(generation, std::memory_order_release);
  return table;
}

tl::expected<void, RefuseReason> Admission::Admit(const Service& service,
                                                  const IpAddress& caller,
                                                  TimePoint now) {
  const std::shared_ptr<AdmissionTable> table = CurrentTable();
  ServiceAdmission* admission = table->Find(service.id);
  if (admission == nullptr) return {};
  const double fraction = m_led_fraction.load();
  const std::size_t index = admission->CallerWorkspaceIndex(caller);
  const CallerWorkspace& caller_workspace = admission->At(index);
  const auto refuse = [&caller_workspace](RefuseReason reason) {
    caller_workspace.refused[static_cast<std::size_t>(reason)]->Add(1);
    return tl::unexpected(reason);
  };
  WorkspaceAdmission* workspace = caller_workspace.workspace.get();
  const double flows = ScaledLimit(workspace->limits.flows, fraction);
  if (flows > 0 && static_cast<double>(workspace->held.load()) + 1 > flows) {
    return refuse(RefuseReason::kFlowLimit);
  }
  const double rate =
      ScaledLimit(workspace->limits.new_flows_per_second, fraction);
  if (!workspace->new_flows.Allow(rate, now)) {
    return refuse(RefuseReason::kRateLimit);
  }
  Capacity capacity;
  capacity.flows = ScaledLimit(admission->limits().flows, fraction);
  capacity.flows_per_second =
      ScaledLimit(admission->limits().new_flows_per_second, fraction);
  {
    SharesState* state = admission->state();
    const std::lock_guard<std::mutex> lock(state->mutex);
    if (!admission->IsCurrent()) return {};
    const auto admitted = state->shares.Admit(index, capacity, now);
    if (!admitted) return refuse(admitted.error());
  }
  caller_workspace.admitted->Add(1);
  return {};
}

void Admission::OnOpened(ServiceId service, const IpAddress& caller) {
  const std::shared_ptr<AdmissionTable> table = CurrentTable();
  ServiceAdmission* admission = table->Find(service);
  if (admission == nullptr) return;
  const std::size_t index = admission->CallerWorkspaceIndex(caller);
  const std::lock_guard<std::mutex> lock(admission->state()->mutex);
  if (!admission->IsCurrent()) return;
  admission->state()->shares.OnOpened(index);
  admission->At(index).workspace->held.fetch_add(1);
}

void Admission::OnClosed(ServiceId service, const IpAddress& caller) {
  const std::shared_ptr<AdmissionTable> table = CurrentTable();
  ServiceAdmission* admission = table->Find(service);
  if (admission == nullptr) return;
  const std::size_t index = admission->CallerWorkspaceIndex(caller);
  const std::lock_guard<std::mutex> lock(admission->state()->mutex);
  if (!admission->IsCurrent()) return;
  if (admission->state()->shares.Held(index) == 0) return;
  admission->state()->shares.OnClosed(index);
  admission->At(index).workspace->held.fetch_sub(1);
}

void Admission::OnShedding(ServiceId service, bool all_shed, TimePoint now) {
  const std::shared_ptr<AdmissionTable> table = CurrentTable();
  ServiceAdmission* admission = table->Find(service);
  if (admission == nullptr) return;
  const std::lock_guard<std::mutex> lock(admission->state()->mutex);
  admission->state()->shares.OnShedding(all_shed, now);
}

void Admission::CountRefusal(const Service& service, const IpAddress& caller,
                             RefuseReason reason) {
  const std::shared_ptr<AdmissionTable> table = CurrentTable();
  ServiceAdmission* admission = table->Find(service.id);
  if (admission == nullptr) return;
  const CallerWorkspace& caller_workspace =
      admission->At(admission->CallerWorkspaceIndex(caller));
  caller_workspace.refused[static_cast<std::size_t>(reason)]->Add(1);
}

void Admission::Recount(ServiceId service, std::uint64_t held) {
  const std::shared_ptr<AdmissionTable> table = CurrentTable();
  ServiceAdmission* admission = table->Find(service);
  if (admission == nullptr) return;
  SharesState* state = admission->state();
  const std::lock_guard<std::mutex> lock(state->mutex);
  if (!admission->IsCurrent()) return;
  std::uint64_t counted = 0;
  for (std::size_t i = 0; i < state->names.size(); ++i) {
    counted += state->shares.Held(i);
  }
  if (counted == 0) return;
  const double factor =
      static_cast<double>(held) / static_cast<double>(counted);
  if (std::abs(factor - 1) <= kRecountTolerance) return;
  for (std::size_t i = 0; i < state->names.size(); ++i) {
    const auto before = static_cast<std::int64_t>(state->shares.Held(i));
    const auto after =
        std::llround(static_cast<double>(before) * (1 + factor) / 2);
    state->shares.SetHeld(i, static_cast<std::uint64_t>(after));
    admission->At(i).workspace->held.fetch_add(after - before);
  }
}

void Admission::OnTick() {
  const std::shared_ptr<AdmissionTable> table = CurrentTable();
  for (const auto& [id, admission] : table->services()) {
    const std::lock_guard<std::mutex> lock(admission->state()->mutex);
    if (!admission->IsCurrent()) continue;
    const std::vector<CallerWorkspace>& caller_workspaces =
        admission->caller_workspaces();
    for (std::size_t i = 0; i < caller_workspaces.size(); ++i) {
      const std::uint64_t held = admission->state()->shares.Held(i);
      caller_workspaces[i].held->Set(static_cast<double>(held));
    }
  }
}

bool Admission::AllowPacket(const Service& service, const IpAddress& caller,
                            TimePoint now) {
  const bool current = m_blackboard->configuration.generation() ==
                       m_generation.load(std::memory_order_acquire);
  if (current && !m_has_packet_limits.load(std::memory_order_relaxed)) {
    return true;
  }
  const std::shared_ptr<AdmissionTable> table = CurrentTable();
  ServiceAdmission* admission = table->Find(service.id);
  if (admission == nullptr || !admission->HasPacketLimit()) return true;
  const double fraction = m_packet_fraction.load();
  const std::size_t index = admission->CallerWorkspaceIndex(caller);
  const CallerWorkspace& caller_workspace = admission->At(index);
  const Limits& limits = caller_workspace.workspace->limits;
  const double rate_limit = ScaledLimit(limits.packets_per_second, fraction);
  if (!caller_workspace.workspace->packets.Allow(rate_limit, now)) return false;
  const double service_limit =
      ScaledLimit(admission->limits().packets_per_second, fraction);
  if (service_limit <= 0) return true;
  const double guaranteed = service_limit * admission->ShareOf(index);
  if (!caller_workspace.packets->Allow(guaranteed, now)) {
    return admission->packets()->Allow(service_limit, now);
  }
  admission->packets()->Charge(service_limit, now);
  return true;
}

std::string Admission::WorkspaceOf(const Service& service,
                                   const IpAddress& caller) {
  const std::shared_ptr<AdmissionTable> table = CurrentTable();
  const ServiceAdmission* admission = table->Find(service.id);
  if (admission == nullptr) return service.workspace;
  return admission->At(admission->CallerWorkspaceIndex(caller)).workspace->name;
}

}  // namespace sardinelead
