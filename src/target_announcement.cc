// Part of TargetRegistry that handles requests from targets. The replicated
// table is in target_registry.cc.

#include <string>

#include "sardinelead/target_registry.h"

namespace sardinelead {

Result<const Service*> TargetRegistry::CheckAnnouncement(
    const Configuration& configuration,
    const Announcement& announcement) const {
  const std::string quoted = "\"" + announcement.service + "\"";
  const auto found = configuration.services.find(announcement.service);
  if (found == configuration.services.end()) {
    return Fail(ErrorCode::kUnknownName,
                "service " + quoted + " does not exist", "service");
  }
  const Service& service = found->second;
  if (service.workspace != announcement.workspace) {
    return Fail(ErrorCode::kNotAllowed,
                "service " + quoted + " does not belong to workspace \"" +
                    announcement.workspace + "\"",
                "workspace");
  }
  if (!m_hooks.authorize(announcement.workspace, announcement.token)) {
    return Fail(ErrorCode::kNotAllowed,
                "the token may not announce targets of workspace \"" +
                    announcement.workspace + "\"",
                "token");
  }
  if (announcement.slots == 0 || announcement.slots > kMaxSlots) {
    return Fail(ErrorCode::kOutOfRange,
                "slots must be between 1 and " + std::to_string(kMaxSlots),
                "slots");
  }
  if (announcement.incarnation.value == 0) {
    return Fail(ErrorCode::kOutOfRange, "the incarnation must not be 0",
                "incarnation");
  }
  const bool no_address = announcement.tunnel.address == IpAddress{} ||
                          announcement.tunnel.address == IpAddress::FromV4(0);
  if (no_address || announcement.tunnel.port == 0) {
    return Fail(ErrorCode::kMalformed,
                "tunnel address " + announcement.tunnel.ToString() +
                    " cannot be sent to",
                "tunnel");
  }
  if (announcement.name.size() > kMaxTargetName) {
    return Fail(
        ErrorCode::kOutOfRange,
        "the name is longer than " + std::to_string(kMaxTargetName) + " bytes",
        "name");
  }
  return &service;
}

// Checks whether this target may use the tunnel address.
Result<void> TargetRegistry::CheckTunnelFree(const Configuration& configuration,
                                             const Service& service,
                                             const Announcement& announcement,
                                             TimePoint now) const {
  const auto newest = m_newest_by_tunnel.find(announcement.tunnel);
  if (newest == m_newest_by_tunnel.end()) return {};
  const Entry& entry = m_table.at(newest->second);
  const TargetRecord& current = entry.record;
  const std::string tunnel = announcement.tunnel.ToString();
  const bool same_service = current.service == service.id;
  if (announcement.incarnation < current.incarnation) {
    return Fail(ErrorCode::kStale,
                "incarnation " +
                    std::to_string(announcement.incarnation.value) + " of " +
                    tunnel + " is older than " +
                    std::to_string(current.incarnation.value),
                "incarnation");
  }
  if (announcement.incarnation == current.incarnation) {
    if (same_service && !current.IsEnded()) return {};
    const ErrorCode code =
        same_service ? ErrorCode::kStale : ErrorCode::kDuplicate;
    return Fail(code,
                "incarnation " +
                    std::to_string(announcement.incarnation.value) + " of " +
                    tunnel + (same_service ? " has left" : " is in use"),
                "incarnation");
  }
  const Service* other = configuration.FindById(current.service);
  const bool same_workspace =
      other != nullptr && other->workspace == service.workspace;
  if (same_workspace || !AcceptsNewFlows(entry, now)) return {};
  return Fail(ErrorCode::kDuplicate,
              "tunnel address " + tunnel +
                  " is in use by a target of another workspace",
              "tunnel");
}

Result<AnnounceReply> TargetRegistry::Announce(const Announcement& announcement,
                                               TimePoint now) {
  const auto configuration = m_blackboard->configuration.Read();
  const auto service = CheckAnnouncement(*configuration, announcement);
  if (!service) return tl::unexpected(service.error());
  const auto tunnel_free =
      CheckTunnelFree(*configuration, **service, announcement, now);
  if (!tunnel_free) return tl::unexpected(tunnel_free.error());
  TargetRecord record;
  record.service = (*service)->id;
  record.tunnel = announcement.tunnel;
  record.incarnation = announcement.incarnation;
  record.slots = announcement.slots;
  record.check_port = announcement.check_port;
  record.name = announcement.name;
  const TargetId id = record.Id();
  const auto [found, is_new] = m_table.try_emplace(id);
  Entry& entry = found->second;
  if (is_new) {
    entry.record = record;
    entry.announced_at = now;
    TakeOver(&entry, now);
    ResolveTunnelConflict(record.tunnel, now);
    return ReplyFor(id);
  }
  return Renew(Renewal{id, announcement.token, std::nullopt}, now);
}

Result<TargetRegistry::Entry*> TargetRegistry::FindLive(TargetId id) {
  const auto found = m_table.find(id);
  const std::string name = "target " + std::to_string(id.value);
  if (found == m_table.end()) {
    return Fail(ErrorCode::kUnknownName, name + " does not exist", "id");
  }
  if (found->second.record.IsEnded()) {
    return Fail(ErrorCode::kStale,
                name + " has ended: " + Name(found->second.record.state), "id");
  }
  return &found->second;
}

Result<AnnounceReply> TargetRegistry::Renew(const Renewal& renewal,
                                            TimePoint now) {
  const auto found = FindLive(renewal.id);
  if (!found) return tl::unexpected(found.error());
  Entry* entry = *found;
  const auto configuration = m_blackboard->configuration.Read();
  const Service* service = configuration->FindById(entry->record.service);
  if (service == nullptr) {
    return Fail(ErrorCode::kUnknownName, "the target's service was removed",
                "id");
  }
  if (!m_hooks.authorize(service->workspace, renewal.token)) {
    return Fail(ErrorCode::kNotAllowed,
                "the token may not renew targets of workspace \"" +
                    service->workspace + "\"",
                "token");
  }
  const bool is_current_home =
      IsHome(entry->record) && entry->record.state == LeaseState::kActive;
  if (!is_current_home) TakeOver(entry, now);
  entry->renewed_at = now;
  if (renewal.load) {
    LocalLoad& own = m_local_loads[renewal.id];
    own.report = *renewal.load;
    own.taken_at = now;
    m_hooks.on_load(service->id, renewal.id, *renewal.load, now);
  }
  return ReplyFor(renewal.id);
}

Result<void> TargetRegistry::Drain(TargetId id, TimePoint now) {
  const auto found = FindLive(id);
  if (!found) return tl::unexpected(found.error());
  Entry* entry = *found;
  if (entry->record.draining) return {};
  entry->record.draining = true;
  entry->draining_since = now;
  entry->changed_at = now;
  MarkChanged(*entry, true);
  return {};
}

Result<void> TargetRegistry::Leave(TargetId id, TimePoint now) {
  const auto found = FindLive(id);
  if (!found) return tl::unexpected(found.error());
  End(*found, LeaseState::kLeft, now);
  MarkChanged(**found, true);
  return {};
}

AnnounceReply TargetRegistry::ReplyFor(TargetId id) const {
  constexpr int kRenewalsInLease = 6;
  return AnnounceReply{id, m_settings.lease,
                       m_settings.lease / kRenewalsInLease};
}

}  // namespace sardinelead
