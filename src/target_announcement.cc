// What targets say of themselves to a balancer, and what they are answered; the
// other half of TargetRegistry, the table itself, is in target_registry.cc.

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
                "slots must lie between 1 and " + std::to_string(kMaxSlots),
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

// Whether the tunnel address is free for this target.
Result<void> TargetRegistry::CheckPlace(const Configuration& configuration,
                                        const Service& service,
                                        const Announcement& announcement,
                                        TimePoint now) const {
  const auto newest = m_newest.find(announcement.tunnel);
  if (newest == m_newest.end()) return {};
  const Entry& entry = m_table.at(newest->second);
  const TargetRecord& holder = entry.record;
  const std::string place = announcement.tunnel.ToString();
  const bool same_service = holder.service == service.id;
  if (announcement.incarnation < holder.incarnation) {
    return Fail(ErrorCode::kStale,
                "incarnation " +
                    std::to_string(announcement.incarnation.value) + " of " +
                    place + " is older than " +
                    std::to_string(holder.incarnation.value),
                "incarnation");
  }
  if (announcement.incarnation == holder.incarnation) {
    if (same_service && !holder.Ended()) return {};
    const ErrorCode code =
        same_service ? ErrorCode::kStale : ErrorCode::kDuplicate;
    return Fail(code,
                "incarnation " +
                    std::to_string(announcement.incarnation.value) + " of " +
                    place + (same_service ? " has left" : " is in use"),
                "incarnation");
  }
  const Service* other = configuration.FindById(holder.service);
  const bool same_workspace =
      other != nullptr && other->workspace == service.workspace;
  if (same_workspace || !TakesFlows(entry, now)) return {};
  return Fail(
      ErrorCode::kDuplicate,
      "tunnel address " + place + " is in use by a target of another workspace",
      "tunnel");
}

Result<AnnounceReply> TargetRegistry::Announce(const Announcement& announcement,
                                               TimePoint now) {
  const auto configuration = m_blackboard->configuration.Read();
  const auto service = CheckAnnouncement(*configuration, announcement);
  if (!service) return tl::unexpected(service.error());
  const auto place = CheckPlace(*configuration, **service, announcement, now);
  if (!place) return tl::unexpected(place.error());
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
    SettleTunnel(record.tunnel, now);
    return ReplyFor(id);
  }
  return Renew(Renewal{id, announcement.token, std::nullopt}, now);
}

Result<TargetRegistry::Entry*> TargetRegistry::FindNotEnded(TargetId id) {
  const auto found = m_table.find(id);
  const std::string name = "target " + std::to_string(id.value);
  if (found == m_table.end()) {
    return Fail(ErrorCode::kUnknownName, name + " does not exist", "id");
  }
  if (found->second.record.Ended()) {
    return Fail(ErrorCode::kStale,
                name + " has ended: " + Name(found->second.record.state), "id");
  }
  return &found->second;
}

Result<AnnounceReply> TargetRegistry::Renew(const Renewal& renewal,
                                            TimePoint now) {
  const auto found = FindNotEnded(renewal.id);
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
  const bool settled =
      IsHome(entry->record) && entry->record.state == LeaseState::kActive;
  if (!settled) TakeOver(entry, now);
  entry->renewed_at = now;
  if (renewal.load) {
    OwnLoad& own = m_own_loads[renewal.id];
    own.report = *renewal.load;
    own.taken_at = now;
    m_hooks.on_load(service->id, renewal.id, *renewal.load, now);
  }
  return ReplyFor(renewal.id);
}

Result<void> TargetRegistry::Drain(TargetId id, TimePoint now) {
  const auto found = FindNotEnded(id);
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
  const auto found = FindNotEnded(id);
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
