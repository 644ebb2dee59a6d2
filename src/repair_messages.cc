#include "repair_messages.h"

#include <algorithm>

#include "cbor_fields.h"

namespace sardinelead {
namespace {

constexpr std::uint64_t kRequest = 0;
constexpr std::uint64_t kBatch = 1;
constexpr std::size_t kMaxTargets = 256;
constexpr std::size_t kMaxEntryBytes = 4096;

constexpr std::size_t kV4Bytes = 4;
constexpr std::size_t kV6Bytes = 16;
// State, port, hash, target and age.
constexpr std::size_t kFixedRecordBytes = 1 + 2 + 4 + 1 + 2;
constexpr std::uint8_t kV4Flag = 0x80;
constexpr std::uint8_t kStateMask = 0x03;
// Ages are rounded down to this unit so that they fit into two bytes.
constexpr std::uint32_t kAgeUnitMs = 4000;
constexpr std::uint32_t kMaxAge = 0xffff;

void AppendNumber(std::uint64_t value, std::size_t size, Bytes* out) {
  for (std::size_t i = size; i > 0; --i) {
    out->push_back(static_cast<std::uint8_t>(value >> (8 * (i - 1))));
  }
}

// Reads numbers and addresses sequentially. The caller must check left() first.
class EntryReader {
 public:
  explicit EntryReader(const Bytes& bytes) : m_bytes(bytes) {}

  std::size_t left() const { return m_bytes.size() - m_next; }  // NOLINT
  std::uint8_t Peek() const { return m_bytes[m_next]; }
  std::uint32_t Number(std::size_t size) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
      value = value << 8 | m_bytes[m_next++];
    }
    return value;
  }
  IpAddress V6() {
    IpAddress address;
    std::copy_n(m_bytes.begin() + static_cast<std::ptrdiff_t>(m_next), kV6Bytes,
                address.bytes.begin());
    m_next += kV6Bytes;
    return address;
  }

 private:
  const Bytes& m_bytes;
  std::size_t m_next = 0;
};

void AppendEntry(const FlowRecord& record, std::uint8_t target, TimePoint now,
                 Bytes* out) {
  const bool is_v4 = record.caller.IsV4();
  const auto state = static_cast<std::uint8_t>(record.state);
  out->push_back(static_cast<std::uint8_t>(state | (is_v4 ? kV4Flag : 0)));
  if (is_v4) {
    AppendNumber(record.caller.ToV4(), kV4Bytes, out);
  } else {
    out->insert(out->end(), record.caller.bytes.begin(),
                record.caller.bytes.end());
  }
  AppendNumber(record.caller_port, 2, out);
  AppendNumber(record.hash, 4, out);
  out->push_back(target);
  const std::uint32_t age = (ToMillis(now) - record.seen_ms) / kAgeUnitMs;
  AppendNumber(std::min(age, kMaxAge), 2, out);
}

std::optional<FlowRecord> ReadEntry(const std::vector<std::uint64_t>& targets,
                                    TimePoint now, EntryReader* in) {
  if (in->left() == 0) return std::nullopt;
  const bool is_v4 = (in->Peek() & kV4Flag) != 0;
  const std::size_t size = kFixedRecordBytes + (is_v4 ? kV4Bytes : kV6Bytes);
  if (in->left() < size) return std::nullopt;
  FlowRecord record;
  const std::uint32_t state = in->Number(1) & ~std::uint32_t{kV4Flag};
  record.state = static_cast<FlowState>(state & kStateMask);
  record.caller = is_v4 ? IpAddress::FromV4(in->Number(kV4Bytes)) : in->V6();
  record.caller_port = static_cast<std::uint16_t>(in->Number(2));
  record.hash = in->Number(4);
  const std::uint32_t target = in->Number(1);
  record.seen_ms = ToMillis(now) - in->Number(2) * kAgeUnitMs;
  record.refreshed_s = ToSeconds(now);
  const bool is_valid = state != 0 && state <= kStateMask &&
                        target < targets.size() && targets[target] != 0;
  if (!is_valid) return std::nullopt;
  record.set_target(TargetId{targets[target]});
  return record;
}

}  // namespace

std::size_t EncodedSize(const FlowRecord& record) {
  return kFixedRecordBytes + (record.caller.IsV4() ? kV4Bytes : kV6Bytes);
}

Bytes Encode(const RepairRequest& request) {
  return nlohmann::json::to_cbor(
      nlohmann::json::array({kRequest, request.view, request.serial,
                             request.partitions, request.from_hash}));
}

std::optional<RepairRequest> DecodeRepairRequest(ByteView body) {
  CborFields fields(body);
  if (fields.Unsigned(kRequest) != kRequest) return std::nullopt;
  RepairRequest request;
  request.view = fields.Unsigned32();
  request.serial = fields.Unsigned32();
  for (const std::uint64_t partition :
       fields.UnsignedArray(kMaxPartitionsPerRequest, kPartitionCount - 1)) {
    request.partitions.push_back(static_cast<PartitionId>(partition));
  }
  request.from_hash = fields.Unsigned(kRepairHashEnd - 1);
  return fields.AtEnd() ? std::optional(request) : std::nullopt;
}

Bytes Encode(const RepairBatch& batch, TimePoint now) {
  std::vector<std::uint64_t> targets;
  std::vector<std::uint64_t> sections;  // Partition, completeness, count.
  Bytes entries;
  for (const RepairBatch::Section& section : batch.sections) {
    sections.push_back(section.partition);
    sections.push_back(section.is_complete ? 1 : 0);
    sections.push_back(section.records.size());
    for (const FlowRecord& record : section.records) {
      const auto found =
          std::find(targets.begin(), targets.end(), record.target().value);
      const auto index = static_cast<std::uint8_t>(found - targets.begin());
      if (found == targets.end()) targets.push_back(record.target().value);
      AppendEntry(record, index, now, &entries);
    }
  }
  return nlohmann::json::to_cbor(nlohmann::json::array(
      {kBatch, batch.view, batch.serial, batch.from_hash, batch.next_hash,
       sections, targets, nlohmann::json::binary(entries)}));
}

std::optional<RepairBatch> DecodeRepairBatch(ByteView body, TimePoint now) {
  CborFields fields(body);
  if (fields.Unsigned(kBatch) != kBatch) return std::nullopt;
  RepairBatch batch;
  batch.view = fields.Unsigned32();
  batch.serial = fields.Unsigned32();
  batch.from_hash = fields.Unsigned(kRepairHashEnd - 1);
  batch.next_hash = fields.Unsigned(kRepairHashEnd);
  const auto sections =
      fields.UnsignedArray(3 * kMaxPartitionsPerRequest, kPartitionCount - 1);
  const auto targets = fields.UnsignedArray(
      kMaxTargets, std::numeric_limits<std::uint64_t>::max());
  const Bytes entries = fields.Binary(kMaxEntryBytes);
  if (!fields.AtEnd() || sections.size() % 3 != 0) return std::nullopt;
  EntryReader in(entries);
  for (std::size_t i = 0; i < sections.size(); i += 3) {
    RepairBatch::Section section;
    section.partition = static_cast<PartitionId>(sections[i]);
    section.is_complete = sections[i + 1] != 0;
    for (std::uint64_t left = sections[i + 2]; left > 0; --left) {
      const auto record = ReadEntry(targets, now, &in);
      if (!record) return std::nullopt;
      section.records.push_back(*record);
    }
    batch.sections.push_back(std::move(section));
  }
  return in.left() == 0 ? std::optional(std::move(batch)) : std::nullopt;
}

}  // namespace sardinelead
