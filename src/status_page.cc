#include "status_page.h"

#include "clock.h"

namespace sardinelead {
namespace {

using nlohmann::json;

// `time` must be from the same clock as `entry.heard_at`.
json TargetToJson(const TargetDirectory::Entry& entry, TimePoint time) {
  return {{"address", entry.announcement.address.ToString()},
          {"pool", entry.announcement.pool},
          {"data_centre", entry.announcement.data_centre},
          {"state", Name(entry.announcement.state)},
          {"slots", entry.announcement.slots},
          {"silent_ms", Milliseconds(time - entry.heard_at)}};
}

json EvacuationsToJson(const ControlPlane& plane, TimePoint now) {
  json list = json::array();
  for (const auto& [name, evacuation] : plane.evacuations().entries()) {
    const auto age = plane.EvacuationAge(name, now);
    list.push_back({{"data_centre", name},
                    {"evacuated", evacuation.is_active},
                    {"log_index", evacuation.changed_at},
                    {"age_ms", age ? json(Milliseconds(*age)) : json()}});
  }
  return list;
}

}  // namespace

json BalancerStatus(const TargetDirectory& directory, const FeedFollower& feed,
                    const CookieBalancer& balancer, const AddressOf& address_of,
                    TimePoint now) {
  json controls = json::array();
  for (const SourceStatus& source : feed.Status(now)) {
    controls.push_back({{"address", address_of(source.node)},
                        {"data_centre", source.data_centre},
                        {"version", source.version.value},
                        {"heard", source.is_heard}});
  }
  json targets = json::array();
  for (const auto& [number, entry] : directory.entries()) {
    json target = TargetToJson(entry, feed.CoveredTime());
    const TargetStats* view = balancer.placement().Find(number);
    target["open_flows"] = view == nullptr ? 0 : view->open;
    target["waiting_requests"] = view == nullptr ? 0 : view->waiting;
    target["lost"] = view != nullptr && view->is_lost;
    targets.push_back(std::move(target));
  }
  return {{"ready", feed.IsReady(now)},
          {"version", feed.version().value},
          {"flows", balancer.flow_count()},
          {"evacuated", balancer.evacuations().ActiveNames()},
          {"evacuation_version", balancer.evacuations().version()},
          {"balancers_in_data_centre", feed.balancers()},
          {"controls", std::move(controls)},
          {"targets", std::move(targets)}};
}

json ControlStatus(const ControlPlane& plane, const AddressOf& address_of,
                   TimePoint now) {
  const ReplicaStatus status = plane.Status(now);
  json members = json::array();
  for (const auto& [member, has_joined] : status.members) {
    members.push_back(
        {{"address", address_of(member)}, {"joined", has_joined}});
  }
  json balancers = json::array();
  json controls = json::array();
  for (const SubscriberStatus& subscriber : plane.publisher().Status(now)) {
    json& list = subscriber.is_control ? controls : balancers;
    list.push_back({{"address", address_of(subscriber.node)},
                    {"data_centre", subscriber.data_centre},
                    {"version", subscriber.version.value},
                    {"evacuation_version", subscriber.evacuations},
                    {"silent_ms", Milliseconds(subscriber.silent)}});
  }
  json targets = json::array();
  for (const auto& [number, entry] : plane.directory().entries()) {
    targets.push_back(TargetToJson(entry, now));
  }
  return {{"role", Name(status.role)},
          {"version", plane.document().version.value},
          {"log_index", status.log_index},
          {"quorum_silent_ms", Milliseconds(status.staleness)},
          {"members", std::move(members)},
          {"balancers", std::move(balancers)},
          {"controls", std::move(controls)},
          {"evacuations", EvacuationsToJson(plane, now)},
          {"balancers_with_newest_evacuations",
           plane.publisher().BalancersWithNewestEvacuations()},
          {"targets", std::move(targets)}};
}

}  // namespace sardinelead
