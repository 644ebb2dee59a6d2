#include "feed_message.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "cbor.h"
#include "evacuation_encoding.h"
#include "warm_up_encoding.h"

namespace sardinelead {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A control VM forgets a target long before it was silent for this long.
constexpr std::uint64_t kMaxDurationMs = std::uint64_t{7} * 24 * 3600 * 1000;

std::uint64_t ToMs(Duration duration) {
  const auto ms = std::chrono::duration_cast<milliseconds>(duration).count();
  return ms < 0 ? 0 : static_cast<std::uint64_t>(ms);
}

std::uint64_t ToNumber(bool flag) { return flag ? 1 : 0; }

std::uint64_t TypeNumber(FeedType type) {
  return static_cast<std::uint64_t>(type);
}

json ToJson(const ReportedTarget& target) {
  const TargetAnnouncement& announcement = target.announcement;
  json item = json::array(
      {announcement.number, announcement.started_ms, announcement.sequence,
       static_cast<std::uint64_t>(announcement.state), announcement.pool,
       announcement.address.ToString(), announcement.data_centre,
       std::uint64_t{announcement.slots}, ToMs(announcement.warm_up_left),
       ToMs(target.silent), ToNumber(target.is_heard)});
  if (target.warm_up_shares) item.push_back(ToJson(*target.warm_up_shares));
  return item;
}

// Encodes an absent report as an empty array.
json ToJson(const std::optional<SilenceReport>& silence) {
  json out = json::array();
  if (!silence) return out;
  out.push_back(ToMs(silence->max_unlisted));
  for (const SilentTarget& target : silence->listed) {
    out.push_back(std::uint64_t{target.short_number});
    out.push_back(ToMs(target.silent));
  }
  return out;
}

bool ReadSilence(const json& items, std::optional<SilenceReport>* silence) {
  if (items.empty()) return true;
  CborArrayReader fields(items);
  SilenceReport& report = silence->emplace();
  report.max_unlisted = milliseconds(fields.Number());
  while (!fields.AtEnd()) {
    SilentTarget target;
    target.short_number = static_cast<std::uint32_t>(fields.Number());
    target.silent = milliseconds(fields.Number());
    report.listed.push_back(target);
  }
  return fields.ok();
}

// Reads a duration that was encoded by ToMs(). Returns false if no sender could
// have meant it.
bool ReadDuration(CborArrayReader* fields, Duration* duration) {
  const std::uint64_t ms = fields->Number();
  if (ms > kMaxDurationMs) return false;
  *duration = milliseconds(ms);
  return true;
}

bool ReadTarget(const json& item, ReportedTarget* target) {
  CborArrayReader fields(item);
  TargetAnnouncement& announcement = target->announcement;
  announcement.number = fields.Number();
  announcement.started_ms = fields.Number();
  announcement.sequence = fields.Number();
  const std::uint64_t state = fields.Number();
  announcement.pool = fields.Text();
  const auto address = Endpoint::Parse(fields.Text());
  if (!address) return false;
  announcement.address = *address;
  announcement.data_centre = fields.Text();
  const std::uint64_t slots = fields.Number();
  const bool is_duration = ReadDuration(&fields, &announcement.warm_up_left) &&
                           ReadDuration(&fields, &target->silent);
  target->is_heard = fields.Number() != 0;
  if (!fields.AtEnd()) {
    target->warm_up_shares = WarmUpSharesFromJson(fields.Array());
    if (!target->warm_up_shares) return false;
  }
  const bool is_valid =
      fields.ok() && is_duration && slots > 0 &&
      slots <= std::numeric_limits<std::uint32_t>::max() &&
      state <= static_cast<std::uint64_t>(AnnouncedState::kEnded);
  if (!is_valid) return false;
  announcement.slots = static_cast<std::uint32_t>(slots);
  announcement.state = static_cast<AnnouncedState>(state);
  return true;
}

tl::unexpected<Error> MalformedError(const char* what) {
  return Fail(ErrorCode::kMalformed, std::string(what) + " cannot be read",
              "feed");
}

Result<FeedMessage> DecodePoll(CborArrayReader* reader) {
  FeedPoll poll;
  poll.epoch = reader->Number();
  poll.revision = reader->Number();
  poll.version = ConfigVersion{reader->Number()};
  poll.wants_routes = reader->Number() != 0;
  poll.wants_all_targets = reader->Number() != 0;
  poll.is_control = reader->Number() != 0;
  poll.data_centre = reader->Text();
  if (!reader->AtEnd()) poll.accepts_changes = reader->Number() != 0;
  if (!reader->AtEnd()) poll.evacuations = reader->Number();
  if (!reader->ok()) return MalformedError("a poll");
  return poll;
}

Result<FeedMessage> DecodeRouteChanges(CborArrayReader* reader) {
  FeedRouteChanges message;
  for (const json& change : reader->Array()) {
    if (!change.is_binary()) return MalformedError("a change of routes");
    message.changes.push_back(
        std::make_shared<const Bytes>(change.get_binary()));
  }
  if (!reader->ok()) return MalformedError("changes of routes");
  return message;
}

Result<FeedMessage> DecodeReport(CborArrayReader* reader) {
  FeedReport report;
  report.epoch = reader->Number();
  report.revision = reader->Number();
  report.base = reader->Number();
  report.has_more = reader->Number() != 0;
  report.version = ConfigVersion{reader->Number()};
  report.data_centre = reader->Text();
  report.balancers = reader->Number();
  for (const json& member : reader->Array()) {
    if (!member.is_number_unsigned()) return MalformedError("a member id");
    report.members.push_back(NodeId{member.get<std::uint32_t>()});
  }
  report.changed = std::make_shared<const Bytes>(reader->Blob());
  if (!ReadSilence(reader->Array(), &report.silence)) {
    return MalformedError("the silence of targets");
  }
  if (!reader->AtEnd()) report.evacuations = reader->Blob();
  if (!reader->ok()) return MalformedError("a report");
  return report;
}

}  // namespace

std::shared_ptr<const Bytes> EncodeTargets(
    const std::vector<ReportedTarget>& targets) {
  json list = json::array();
  for (const ReportedTarget& target : targets) list.push_back(ToJson(target));
  return std::make_shared<const Bytes>(ToCbor(list));
}

Result<DecodedTargets> DecodeTargets(ByteView bytes) {
  const json list = FromCbor(bytes);
  if (!list.is_array()) return MalformedError("a list of targets");
  DecodedTargets decoded;
  for (const json& item : list) {
    ReportedTarget target;
    if (!ReadTarget(item, &target)) {
      ++decoded.unreadable;
      continue;
    }
    decoded.targets.push_back(std::move(target));
  }
  return decoded;
}

std::size_t EncodedSizeLimit(const TargetAnnouncement& announcement) {
  // Nine numbers of at most 9 bytes, an address of at most 22, the heads of
  // three texts and two arrays, and two numbers of at most 5 bytes for each
  // owner of a warm-up share.
  constexpr std::size_t kFixedBytes = 120 + 10 * kMaxWarmUpOwners;
  return kFixedBytes + announcement.pool.size() +
         announcement.data_centre.size();
}

// Encodes the table and, in its order, the age of each entry, null if unknown.
Bytes EncodeEvacuations(const EvacuationReport& evacuations) {
  json ages = json::array();
  for (const auto& [data_centre, evacuation] : evacuations.table.entries()) {
    const auto age = evacuations.ages.find(data_centre);
    const bool is_known = age != evacuations.ages.end();
    ages.push_back(is_known ? json(ToMs(age->second)) : json());
  }
  return ToCbor(json::array({ToJson(evacuations.table), std::move(ages)}));
}

Result<EvacuationReport> DecodeEvacuations(ByteView bytes) {
  const json root = FromCbor(bytes);
  CborArrayReader reader(root);
  const auto table = EvacuationsFromJson(reader.Array());
  const json& ages = reader.Array();
  const bool is_valid =
      reader.ok() && table && ages.size() == table->entries().size();
  if (!is_valid) return MalformedError("evacuations");
  EvacuationReport evacuations{*table, {}};
  std::size_t next = 0;
  for (const auto& [data_centre, evacuation] : table->entries()) {
    const json& age = ages[next++];
    if (age.is_null()) continue;
    if (!age.is_number_unsigned()) return MalformedError("an evacuation's age");
    evacuations.ages[data_centre] =
        milliseconds(std::min(age.get<std::uint64_t>(), kMaxDurationMs));
  }
  return evacuations;
}

Bytes FeedPoll::Encode() const {
  json fields = json::array({TypeNumber(FeedType::kPoll), epoch, revision,
                             version.value, ToNumber(wants_routes),
                             ToNumber(wants_all_targets), ToNumber(is_control),
                             data_centre, ToNumber(accepts_changes)});
  if (evacuations != 0) fields.push_back(evacuations);
  return ToCbor(fields);
}

Bytes FeedReport::Encode() const {
  json member_list = json::array();
  for (const NodeId member : members) member_list.push_back(member.value);
  json fields =
      json::array({TypeNumber(FeedType::kReport), epoch, revision, base,
                   ToNumber(has_more), version.value, data_centre, balancers,
                   std::move(member_list), Binary(*changed), ToJson(silence)});
  if (!evacuations.empty()) fields.push_back(Binary(evacuations));
  return ToCbor(fields);
}

Bytes FeedRoutes::Encode() const {
  return ToCbor(json::array({TypeNumber(FeedType::kRoutes), Binary(table)}));
}

Bytes FeedRouteChanges::Encode() const {
  json list = json::array();
  for (const auto& change : changes) list.push_back(Binary(*change));
  return ToCbor(
      json::array({TypeNumber(FeedType::kRouteChanges), std::move(list)}));
}

Result<FeedMessage> DecodeFeedMessage(ByteView body) {
  const json root = FromCbor(body);
  CborArrayReader reader(root);
  switch (static_cast<FeedType>(reader.Number())) {
    case FeedType::kPoll:
      return DecodePoll(&reader);
    case FeedType::kReport:
      return DecodeReport(&reader);
    case FeedType::kRoutes: {
      FeedRoutes routes{reader.Blob()};
      if (!reader.ok()) return MalformedError("routes");
      return routes;
    }
    case FeedType::kRouteChanges:
      return DecodeRouteChanges(&reader);
  }
  return MalformedError("a message");
}

}  // namespace sardinelead
