// Torn writes and corruption
//
// A journal may end with a partial write that was never synced: a record
// truncated by the end of the file, or zeros where the file size was extended
// before the data was written. Load() discards these. Any other record that
// fails its checksum may have been synced and corrupted later. Discarding it
// would make the replica forget a vote, so Load() returns kCorrupt and the
// replica continues as one that has lost its state. This is conservative: it
// costs a state transfer but never loses a vote.
//
// Each record has separate checksums for its payload and its header, so that a
// flipped bit in the length is not mistaken for a record truncated by the end
// of the file. Both are seeded with the journal's sequence number and the
// record's offset, so that stale data of another journal never verifies.
//
// A restart never appends to an existing journal. It writes a new snapshot,
// which also persists data that a failed fsync may have left only in the page
// cache.

#include "sardinelead/journal.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

namespace sardinelead {
namespace {

constexpr char kIdentityFile[] = "identity";
constexpr char kSnapshotPrefix[] = "snapshot-";
constexpr char kJournalPrefix[] = "journal-";
// Must be incremented whenever the layout of a file or a record changes.
constexpr std::uint32_t kFormatVersion = 1;
constexpr std::uint32_t kMagic = 0x534c4346;

struct RecordHeader {
  std::uint32_t magic = kMagic;
  std::uint32_t format = kFormatVersion;
  std::uint64_t length = 0;
  std::uint64_t payload_checksum = 0;
  std::uint64_t header_checksum = 0;
};

std::uint64_t HeaderChecksum(const RecordHeader& header, std::uint64_t seed) {
  constexpr std::size_t kChecksummedSize =
      sizeof(RecordHeader) - sizeof(header.header_checksum);
  return XXH3_64bits_withSeed(&header, kChecksummedSize, seed);
}

std::uint64_t ChecksumSeed(std::uint64_t sequence, std::uint64_t offset) {
  return HashCombine(sequence, offset);
}

void AppendRecord(ByteView payload, std::uint64_t seed, Bytes* out) {
  RecordHeader header;
  header.length = payload.size;
  header.payload_checksum =
      XXH3_64bits_withSeed(payload.data, payload.size, seed);
  header.header_checksum = HeaderChecksum(header, seed);
  const auto* raw = reinterpret_cast<const std::uint8_t*>(&header);
  out->insert(out->end(), raw, raw + sizeof(header));
  out->insert(out->end(), payload.begin(), payload.end());
}

enum class ReadStatus { kRecord, kEnd, kTorn, kCorrupt };

bool IsZeroFrom(const Bytes& bytes, std::size_t from) {
  return std::all_of(bytes.begin() + static_cast<std::ptrdiff_t>(from),
                     bytes.end(), [](std::uint8_t b) { return b == 0; });
}

ReadStatus ReadRecord(const Bytes& file, std::size_t offset, std::uint64_t seed,
                      Bytes* payload) {
  if (offset == file.size()) return ReadStatus::kEnd;
  if (file.size() - offset < sizeof(RecordHeader)) return ReadStatus::kTorn;
  RecordHeader header;
  std::memcpy(&header, file.data() + offset, sizeof(header));
  const bool is_header_valid =
      header.magic == kMagic && header.format == kFormatVersion &&
      header.header_checksum == HeaderChecksum(header, seed);
  if (!is_header_valid) {
    return IsZeroFrom(file, offset) ? ReadStatus::kTorn : ReadStatus::kCorrupt;
  }
  const std::size_t begin = offset + sizeof(header);
  if (file.size() - begin < header.length) return ReadStatus::kTorn;
  payload->assign(file.data() + begin, file.data() + begin + header.length);
  const std::uint64_t checksum =
      XXH3_64bits_withSeed(payload->data(), payload->size(), seed);
  if (checksum == header.payload_checksum) return ReadStatus::kRecord;
  const bool is_payload_zeroed = begin + header.length == file.size() &&
                                 IsZeroFrom(file, begin) && header.length > 0;
  return is_payload_zeroed ? ReadStatus::kTorn : ReadStatus::kCorrupt;
}

// Reads a file that consists of exactly one record.
Result<Bytes> ReadSingleRecord(const Bytes& file, std::uint64_t seed,
                               const std::string& name) {
  Bytes payload;
  const ReadStatus status = ReadRecord(file, 0, seed, &payload);
  const bool is_single_record =
      status == ReadStatus::kRecord &&
      file.size() == sizeof(RecordHeader) + payload.size();
  if (is_single_record) return payload;
  return Fail(ErrorCode::kCorrupt, "file \"" + name + "\" fails its checksum",
              name);
}

std::optional<std::uint64_t> ParseSequence(const std::string& name,
                                           const std::string& prefix) {
  if (name.compare(0, prefix.size(), prefix) != 0) return std::nullopt;
  std::uint64_t number = 0;
  const char* end = name.data() + name.size();
  const auto [parsed_end, error] =
      std::from_chars(name.data() + prefix.size(), end, number);
  if (error != std::errc() || parsed_end != end) return std::nullopt;
  return number;
}

std::string FileName(const char* prefix, std::uint64_t sequence) {
  return prefix + std::to_string(sequence);
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

Journal::Journal(FileOperations files) : m_files(std::move(files)) {}

Result<std::optional<StoreIdentity>> Journal::ReadIdentity() {
  const auto names = m_files.list();
  if (!names) return tl::unexpected<Error>(names.error());
  if (!Contains(*names, kIdentityFile)) return std::optional<StoreIdentity>();
  const auto file = m_files.read(kIdentityFile);
  if (!file) return tl::unexpected<Error>(file.error());
  const auto payload = ReadSingleRecord(*file, 0, kIdentityFile);
  if (!payload) return tl::unexpected<Error>(payload.error());
  std::uint64_t fields[3] = {};
  if (payload->size() != sizeof(fields)) {
    return Fail(ErrorCode::kCorrupt,
                "file \"identity\" has an unexpected size");
  }
  std::memcpy(fields, payload->data(), sizeof(fields));
  const NodeId replica{static_cast<std::uint32_t>(fields[1])};
  return std::optional<StoreIdentity>({fields[0], replica, fields[2]});
}

VoidResult Journal::WriteIdentity(const StoreIdentity& identity) {
  if (m_error) return tl::unexpected<Error>(*m_error);
  const std::uint64_t fields[3] = {identity.cluster, identity.replica.value,
                                   identity.store};
  const ByteView payload(reinterpret_cast<const std::uint8_t*>(fields),
                         sizeof(fields));
  Bytes file;
  AppendRecord(payload, 0, &file);
  return LatchError(m_files.replace(kIdentityFile, file));
}

Result<std::uint64_t> Journal::FindLatestSnapshot() {
  const auto names = m_files.list();
  if (!names) return tl::unexpected<Error>(names.error());
  std::uint64_t latest = 0;
  for (const std::string& name : *names) {
    latest = std::max(latest, ParseSequence(name, kSnapshotPrefix).value_or(0));
  }
  return latest;
}

Result<Journal::Stored> Journal::Load() {
  const auto latest = FindLatestSnapshot();
  if (!latest) return tl::unexpected<Error>(latest.error());
  m_sequence = *latest;
  if (m_sequence == 0) return Fail(ErrorCode::kCorrupt, "no snapshot exists");
  const std::string snapshot_name = FileName(kSnapshotPrefix, m_sequence);
  const auto snapshot_file = m_files.read(snapshot_name);
  if (!snapshot_file) return tl::unexpected<Error>(snapshot_file.error());
  auto snapshot = ReadSingleRecord(*snapshot_file, m_sequence, snapshot_name);
  if (!snapshot) return tl::unexpected<Error>(snapshot.error());
  Stored stored;
  stored.snapshot = std::move(*snapshot);

  const std::string journal_name = FileName(kJournalPrefix, m_sequence);
  const auto names = m_files.list();
  if (!names) return tl::unexpected<Error>(names.error());
  if (!Contains(*names, journal_name)) return stored;
  const auto file = m_files.read(journal_name);
  if (!file) return tl::unexpected<Error>(file.error());
  for (std::size_t offset = 0;;) {
    Bytes payload;
    const ReadStatus status =
        ReadRecord(*file, offset, ChecksumSeed(m_sequence, offset), &payload);
    if (status == ReadStatus::kCorrupt) {
      return Fail(ErrorCode::kCorrupt,
                  "file \"" + journal_name + "\" fails its checksum at byte " +
                      std::to_string(offset),
                  journal_name);
    }
    stored.has_torn_tail = status == ReadStatus::kTorn;
    if (status != ReadStatus::kRecord) return stored;
    offset += sizeof(RecordHeader) + payload.size();
    stored.records.push_back(std::move(payload));
  }
}

VoidResult Journal::Compact(ByteView snapshot) {
  if (m_error) return tl::unexpected<Error>(*m_error);
  const auto latest = FindLatestSnapshot();
  if (!latest) return LatchError(tl::unexpected<Error>(latest.error()));
  const std::uint64_t next = std::max(*latest, m_sequence) + 1;
  Bytes file;
  AppendRecord(snapshot, next, &file);
  VoidResult done =
      LatchError(m_files.replace(FileName(kSnapshotPrefix, next), file));
  if (!done) return done;
  m_sequence = next;
  m_synced_size = 0;
  m_record_count = 0;
  m_buffer.clear();
  const auto names = m_files.list();
  if (!names) return LatchError(tl::unexpected<Error>(names.error()));
  for (const std::string& name : *names) {
    const auto number =
        ParseSequence(name, kSnapshotPrefix)
            .value_or(ParseSequence(name, kJournalPrefix).value_or(next));
    if (number >= next) continue;
    done = LatchError(m_files.remove(name));
    if (!done) return done;
  }
  return {};
}

void Journal::Append(ByteView record) {
  const std::uint64_t offset = m_synced_size + m_buffer.size();
  AppendRecord(record, ChecksumSeed(m_sequence, offset), &m_buffer);
  ++m_record_count;
}

VoidResult Journal::Sync() {
  if (m_error) return tl::unexpected<Error>(*m_error);
  if (m_buffer.empty()) return {};
  const std::string name = FileName(kJournalPrefix, m_sequence);
  VoidResult done = LatchError(m_files.append(name, m_buffer));
  if (!done) return done;
  done = LatchError(m_files.sync(name));
  if (!done) return done;
  m_synced_size += m_buffer.size();
  m_buffer.clear();
  return {};
}

VoidResult Journal::LatchError(VoidResult done) {
  if (!done && !m_error) m_error = done.error();
  return done;
}

}  // namespace sardinelead
