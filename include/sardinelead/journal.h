#ifndef SARDINELEAD_JOURNAL_H_
#define SARDINELEAD_JOURNAL_H_

// Durable state of one replica under one data folder:
//
//   identity      which replica of which cluster the folder belongs to
//   snapshot-N    the whole state when journal N was begun
//   journal-N     checksummed records since then
//
// A record counts as kept once Sync() returned without an error. After the
// first error nothing is written any more: what a failed fsync left behind is
// unknown, and asking again may report success for pages that were dropped.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace sardinelead {

using Done = tl::expected<void, Error>;

// The file operations that a journal needs, on names without a folder.
struct FileHooks {
  std::function<Result<std::vector<std::string>>()> list;
  std::function<Result<Bytes>(const std::string& name)> read;
  // Adds to the end of a file, which is created where it does not exist.
  std::function<Done(const std::string& name, ByteView bytes)> append;
  // Makes the file's bytes and its name durable.
  std::function<Done(const std::string& name)> sync;
  // Puts a whole file in place at once and durably.
  std::function<Done(const std::string& name, ByteView bytes)> replace;
  std::function<Done(const std::string& name)> remove;
};

// Files of an existing folder. Sync fails when the file under the name is no
// longer the one that was written, as after the folder was moved or removed.
FileHooks RealFiles(const std::string& folder);

// Which memory a folder holds. The store id is drawn anew whenever a replica
// begins without its earlier memory, so that nobody takes the new one for it.
struct StoreIdentity {
  std::uint64_t cluster = 0;  // 0 until it is known.
  NodeId replica;
  std::uint64_t store = 0;
};

class Journal {
 public:
  struct Stored {
    Bytes snapshot;
    std::vector<Bytes> records;
    // Whether the last write was cut off; its records were never kept.
    bool is_torn = false;
  };

  explicit Journal(FileHooks files);

  // Empty where the folder has no identity. Errors: kCorrupt, kIo.
  Result<std::optional<StoreIdentity>> ReadIdentity();
  Done WriteIdentity(const StoreIdentity& identity);

  // The newest snapshot with the records after it. Errors: kCorrupt where
  // bytes that were kept fail their checksum or are missing, kIo.
  Result<Stored> Load();

  // Begins a new snapshot and journal, and removes older ones.
  Done Compact(ByteView snapshot);

  // Adds a record, which is written by the next Sync().
  void Append(ByteView record);
  // Writes and syncs all added records, in one go.
  Done Sync();

  bool HasUnsynced() const { return !m_buffer.empty(); }
  bool HasFailed() const { return m_error.has_value(); }
  const std::optional<Error>& error() const { return m_error; }  // NOLINT
  // Records since the snapshot.
  std::uint64_t record_count() const { return m_record_count; }  // NOLINT
  // Bytes since the snapshot.
  std::uint64_t size_bytes() const { return m_offset + m_buffer.size(); }

 private:
  Done Keep(Done done);
  Result<std::uint64_t> NewestSnapshot();

  FileHooks m_files;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_offset = 0;
  std::uint64_t m_record_count = 0;
  Bytes m_buffer;
  std::optional<Error> m_error;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_JOURNAL_H_
