#ifndef SARDINELEAD_JOURNAL_H_
#define SARDINELEAD_JOURNAL_H_

// Durable state of one replica in its data directory:
//
//   identity      the cluster and the replica that the directory belongs to
//   snapshot-N    the full state at the start of journal N
//   journal-N     checksummed records appended since snapshot N
//
// A record is durable once Sync() has returned without an error. After the
// first error the journal writes nothing more: the state on disk after a failed
// fsync is unknown, and a second fsync may report success for pages that the
// kernel has dropped.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace sardinelead {

using VoidResult = tl::expected<void, Error>;

// File operations that a journal needs. Names are relative to its directory.
struct FileOperations {
  std::function<Result<std::vector<std::string>>()> list;
  std::function<Result<Bytes>(const std::string& name)> read;
  // Appends to a file, creating it if it does not exist.
  std::function<VoidResult(const std::string& name, ByteView bytes)> append;
  // Makes the file's contents and its directory entry durable.
  std::function<VoidResult(const std::string& name)> sync;
  // Replaces the contents of a file atomically and durably.
  std::function<VoidResult(const std::string& name, ByteView bytes)> replace;
  std::function<VoidResult(const std::string& name)> remove;
};

// Returns operations on the files of an existing directory. Sync fails if the
// name no longer refers to the file that was written, for example after the
// directory was moved or removed.
FileOperations PosixFileOperations(const std::string& directory);

// Identifies the state that a data directory holds. A replica that starts
// without its earlier state draws a new store id, so that other replicas do not
// mistake the new state for the lost one.
struct StoreIdentity {
  std::uint64_t cluster = 0;  // 0 while unknown.
  NodeId replica;
  std::uint64_t store = 0;
};

class Journal {
 public:
  struct Stored {
    Bytes snapshot;
    std::vector<Bytes> records;
    // Whether the last write is incomplete; its records were never synced.
    bool has_torn_tail = false;
  };

  explicit Journal(FileOperations files);

  // Returns nullopt if the directory has no identity. Errors: kCorrupt, kIo.
  Result<std::optional<StoreIdentity>> ReadIdentity();
  VoidResult WriteIdentity(const StoreIdentity& identity);

  // Returns the latest snapshot and the records after it. Errors: kCorrupt if
  // synced data fails its checksum or is missing, kIo.
  Result<Stored> Load();

  // Starts a new snapshot and journal, and removes the older ones.
  VoidResult Compact(ByteView snapshot);

  // Buffers a record, which the next Sync() writes.
  void Append(ByteView record);
  // Writes all buffered records and syncs them together.
  VoidResult Sync();

  bool HasUnsynced() const { return !m_buffer.empty(); }
  bool HasFailed() const { return m_error.has_value(); }
  const std::optional<Error>& error() const { return m_error; }  // NOLINT
  // Number of records since the snapshot.
  std::uint64_t record_count() const { return m_record_count; }  // NOLINT
  // Size in bytes of the records since the snapshot.
  std::uint64_t size_bytes() const { return m_synced_size + m_buffer.size(); }

 private:
  // Stores the first error, after which all writes fail.
  VoidResult LatchError(VoidResult done);
  Result<std::uint64_t> FindLatestSnapshot();

  FileOperations m_files;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_synced_size = 0;
  std::uint64_t m_record_count = 0;
  Bytes m_buffer;
  std::optional<Error> m_error;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_JOURNAL_H_
