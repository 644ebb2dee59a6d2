#include "target_message.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

#include "cbor_read.h"

namespace sardinelead {
namespace {

using Json = nlohmann::json;

// The index of a type in TargetMessage is its message type on the wire.
constexpr std::size_t kV4Bytes = 6;
constexpr std::size_t kV6Bytes = 18;
constexpr std::size_t kV4MappedPrefixBytes = 12;
constexpr std::size_t kRecordFields = 12;

Json EncodeEndpoint(const Endpoint& endpoint) {
  const auto& bytes = endpoint.address.bytes;
  const std::size_t skip = endpoint.address.IsV4() ? kV4MappedPrefixBytes : 0;
  Bytes packed(bytes.begin() + static_cast<std::ptrdiff_t>(skip), bytes.end());
  packed.push_back(static_cast<std::uint8_t>(endpoint.port >> 8));
  packed.push_back(static_cast<std::uint8_t>(endpoint.port));
  return Json::binary(std::move(packed));
}

Json EncodeRecord(const TargetRecord& record) {
  return Json::array({record.service.value, EncodeEndpoint(record.tunnel),
                      record.incarnation.value, record.sequence,
                      static_cast<int>(record.state), record.draining ? 1 : 0,
                      record.home.value, record.home_incarnation.value,
                      record.slots, record.check_port, record.age_s,
                      record.name});
}

Json EncodeBody(const DigestMessage& digest) {
  Json heartbeats = Json::array();
  for (const HomeHeartbeat& heartbeat : digest.heartbeats) {
    heartbeats.push_back(
        {heartbeat.home.value, heartbeat.incarnation.value, heartbeat.counter});
  }
  return Json::array({0, digest.table_hash, heartbeats});
}

Json EncodeBody(const BucketsMessage& buckets) {
  return Json::array({1, buckets.hashes});
}

Json EncodeBody(const RecordsMessage& message) {
  Json records = Json::array();
  for (const TargetRecord& record : message.records) {
    records.push_back(EncodeRecord(record));
  }
  return Json::array({2, records, message.requested_buckets});
}

Json EncodeBody(const LoadsMessage& message) {
  Json loads = Json::array();
  for (const LoadEntry& load : message.loads) {
    loads.push_back({load.target.value, load.report.busy_slots,
                     load.report.connections, load.report.shedding ? 1 : 0,
                     load.age_ms});
  }
  return Json::array({3, loads});
}

Json EncodeBody(const OpinionsMessage& message) {
  Json opinions = Json::array();
  for (const TargetOpinion& entry : message.opinions) {
    opinions.push_back({entry.target.value, static_cast<int>(entry.opinion)});
  }
  return Json::array({4, opinions});
}

// Reads the fields of an array in order. After a field that is missing, of the
// wrong type or out of range, IsValid() is false and the returned values must
// not be used.
class FieldReader {
 public:
  FieldReader(const Json& array, std::size_t fields)
      : m_array(array), m_valid(array.is_array() && array.size() == fields) {}

  template <typename T>
  T Unsigned(std::uint64_t max = std::numeric_limits<T>::max()) {
    const Json* field = Next();
    if (field == nullptr || !field->is_number_unsigned()) return Invalid<T>();
    const auto value = field->get<std::uint64_t>();
    return value > max ? Invalid<T>() : static_cast<T>(value);
  }

  std::int64_t Integer() {
    const Json* field = Next();
    if (field == nullptr || !field->is_number_integer()) {
      return Invalid<std::int64_t>();
    }
    const bool too_large =
        field->is_number_unsigned() &&
        field->get<std::uint64_t>() >
            std::uint64_t{std::numeric_limits<std::int64_t>::max()};
    return too_large ? Invalid<std::int64_t>() : field->get<std::int64_t>();
  }

  std::string Text(std::size_t max) {
    const Json* field = Next();
    if (field == nullptr || !field->is_string()) return Invalid<std::string>();
    auto text = field->get<std::string>();
    return text.size() > max ? Invalid<std::string>() : text;
  }

  Endpoint Address() {
    const Json* field = Next();
    if (field == nullptr || !field->is_binary()) return Invalid<Endpoint>();
    const Bytes& packed = field->get_binary();
    if (packed.size() != kV4Bytes && packed.size() != kV6Bytes) {
      return Invalid<Endpoint>();
    }
    Endpoint endpoint;
    endpoint.address = IpAddress::FromV4(0);
    const std::size_t address_bytes = packed.size() - 2;
    std::copy(packed.begin(), packed.end() - 2,
              endpoint.address.bytes.end() -
                  static_cast<std::ptrdiff_t>(address_bytes));
    const std::uint8_t* port = packed.data() + address_bytes;
    endpoint.port = static_cast<std::uint16_t>(port[0] << 8 | port[1]);
    return endpoint;
  }

  // Returns an array of at most `max` elements.
  const Json& List(std::size_t max) {
    static const auto* const kEmpty = new Json(Json::array());
    const Json* field = Next();
    if (field != nullptr && field->is_array() && field->size() <= max) {
      return *field;
    }
    m_valid = false;
    return *kEmpty;
  }

  bool IsValid() const { return m_valid; }

 private:
  const Json* Next() { return m_valid ? &m_array[m_next++] : nullptr; }

  template <typename T>
  T Invalid() {
    m_valid = false;
    return T{};
  }

  const Json& m_array;
  std::size_t m_next = 0;
  bool m_valid;
};

std::optional<DigestMessage> DecodeDigest(FieldReader* reader) {
  DigestMessage digest;
  digest.table_hash = reader->Unsigned<std::uint64_t>();
  for (const Json& item : reader->List(kMaxItemsInMessage)) {
    FieldReader fields(item, 3);
    HomeHeartbeat heartbeat;
    heartbeat.home.value = fields.Unsigned<std::uint32_t>();
    heartbeat.incarnation.value = fields.Unsigned<std::uint64_t>();
    heartbeat.counter = fields.Unsigned<std::uint32_t>();
    if (!fields.IsValid()) return std::nullopt;
    digest.heartbeats.push_back(heartbeat);
  }
  return digest;
}

std::optional<std::vector<std::uint32_t>> DecodeNumbers(const Json& list,
                                                        std::uint64_t max) {
  std::vector<std::uint32_t> numbers;
  for (const Json& item : list) {
    if (!item.is_number_unsigned()) return std::nullopt;
    const auto number = item.get<std::uint64_t>();
    if (number > max) return std::nullopt;
    numbers.push_back(static_cast<std::uint32_t>(number));
  }
  return numbers;
}

std::optional<BucketsMessage> DecodeBuckets(FieldReader* reader) {
  auto hashes = DecodeNumbers(reader->List(kTableBucketCount),
                              std::numeric_limits<std::uint32_t>::max());
  if (!hashes || hashes->size() != kTableBucketCount) return std::nullopt;
  return BucketsMessage{std::move(*hashes)};
}

std::optional<TargetRecord> DecodeRecord(const Json& item) {
  FieldReader fields(item, kRecordFields);
  TargetRecord record;
  record.service.value = fields.Unsigned<std::uint32_t>();
  record.tunnel = fields.Address();
  record.incarnation.value = fields.Unsigned<std::uint64_t>();
  record.sequence = fields.Unsigned<std::uint32_t>();
  constexpr auto kLastState =
      static_cast<std::uint64_t>(LeaseState::kSuperseded);
  record.state =
      static_cast<LeaseState>(fields.Unsigned<std::uint8_t>(kLastState));
  record.draining = fields.Unsigned<std::uint8_t>(1) == 1;
  record.home.value = fields.Unsigned<std::uint32_t>();
  record.home_incarnation.value = fields.Unsigned<std::uint64_t>();
  record.slots = fields.Unsigned<std::uint32_t>(kMaxSlots);
  record.check_port = fields.Unsigned<std::uint16_t>();
  record.age_s = fields.Unsigned<std::uint32_t>();
  record.name = fields.Text(kMaxTargetName);
  const bool has_required_fields =
      record.service.value != 0 && record.home.value != 0 &&
      record.incarnation.value != 0 && record.slots != 0;
  if (!fields.IsValid() || !has_required_fields) return std::nullopt;
  return record;
}

std::optional<RecordsMessage> DecodeRecords(FieldReader* reader) {
  RecordsMessage message;
  for (const Json& item : reader->List(kMaxRecordsInMessage)) {
    auto record = DecodeRecord(item);
    if (!record) return std::nullopt;
    message.records.push_back(std::move(*record));
  }
  auto requested_buckets =
      DecodeNumbers(reader->List(kTableBucketCount), kTableBucketCount - 1);
  if (!requested_buckets) return std::nullopt;
  message.requested_buckets = std::move(*requested_buckets);
  return message;
}

std::optional<LoadsMessage> DecodeLoads(FieldReader* reader) {
  LoadsMessage message;
  for (const Json& item : reader->List(kMaxItemsInMessage)) {
    FieldReader fields(item, 5);
    LoadEntry load;
    load.target.value = fields.Unsigned<std::uint64_t>();
    load.report.busy_slots = fields.Integer();
    load.report.connections = fields.Integer();
    load.report.shedding = fields.Unsigned<std::uint8_t>(1) == 1;
    load.age_ms = fields.Unsigned<std::uint32_t>();
    if (!fields.IsValid()) return std::nullopt;
    message.loads.push_back(load);
  }
  return message;
}

std::optional<OpinionsMessage> DecodeOpinions(FieldReader* reader) {
  constexpr auto kLast = static_cast<std::uint64_t>(Opinion::kLost);
  OpinionsMessage message;
  for (const Json& item : reader->List(kMaxItemsInMessage)) {
    FieldReader fields(item, 2);
    TargetOpinion entry;
    entry.target.value = fields.Unsigned<std::uint64_t>();
    entry.opinion = static_cast<Opinion>(fields.Unsigned<std::uint8_t>(kLast));
    if (!fields.IsValid()) return std::nullopt;
    message.opinions.push_back(entry);
  }
  return message;
}

template <typename T>
std::optional<TargetMessage> ToMessage(std::optional<T> message,
                                       const FieldReader& reader) {
  if (!message || !reader.IsValid()) return std::nullopt;
  return TargetMessage(std::move(*message));
}

std::optional<TargetMessage> DecodeBody(const Json& body) {
  if (!body.is_array() || body.empty()) return std::nullopt;
  FieldReader reader(body, body.size());
  const auto type = reader.Unsigned<std::uint8_t>();
  const bool is_pair = body.size() == 2;
  const bool is_triple = body.size() == 3;
  if (!reader.IsValid()) return std::nullopt;
  if (type == 0 && is_triple) return ToMessage(DecodeDigest(&reader), reader);
  if (type == 1 && is_pair) return ToMessage(DecodeBuckets(&reader), reader);
  if (type == 2 && is_triple) return ToMessage(DecodeRecords(&reader), reader);
  if (type == 3 && is_pair) return ToMessage(DecodeLoads(&reader), reader);
  if (type == 4 && is_pair) return ToMessage(DecodeOpinions(&reader), reader);
  return std::nullopt;
}

}  // namespace

Bytes Encode(const TargetMessage& message) {
  const Json body =
      std::visit([](const auto& typed) { return EncodeBody(typed); }, message);
  return Json::to_cbor(body);
}

Result<TargetMessage> DecodeTargetMessage(ByteView body) {
  const Json json = ReadCbor(body);
  if (json.is_discarded()) {
    return Fail(ErrorCode::kMalformed, "the message is not CBOR");
  }
  auto message = DecodeBody(json);
  if (!message) {
    return Fail(ErrorCode::kMalformed,
                "the message is not a valid target registry message");
  }
  return *std::move(message);
}

}  // namespace sardinelead
