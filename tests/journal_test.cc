#include "sardinelead/journal.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>

#include "replica_cluster.h"

namespace sardinelead {
namespace {

Bytes ToBytes(const std::string& text) { return {text.begin(), text.end()}; }

class JournalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JournalTest);
  CPPUNIT_TEST(KeepsSyncedRecords);
  CPPUNIT_TEST(DropsAnyTornTail);
  CPPUNIT_TEST(FindsAnyFlippedBit);
  CPPUNIT_TEST(FailedSyncIsNotTriedAgain);
  CPPUNIT_TEST(FullDiskFails);
  CPPUNIT_TEST(CompactionKeepsOnlyTheNewest);
  CPPUNIT_TEST(MissingSnapshotIsCorrupt);
  CPPUNIT_TEST(RealFolderThatWasMovedFails);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Writes an identity, a snapshot and `count` synced records.
  static void WriteSampleStore(MemoryDisk* disk, std::size_t count = 3) {
    Journal journal(disk->Hooks());
    CPPUNIT_ASSERT(journal.WriteIdentity({7, NodeId{1}, 9}));
    CPPUNIT_ASSERT(journal.Compact(ToBytes("snapshot")));
    const std::vector<std::string> records = {"one", "two", "three", "four"};
    for (std::size_t i = 0; i < count; ++i) {
      journal.Append(ToBytes(records[i]));
      CPPUNIT_ASSERT(journal.Sync());
    }
  }

  static Result<Journal::Stored> Load(MemoryDisk* disk) {
    return Journal(disk->Hooks()).Load();
  }

  void KeepsSyncedRecords() {
    MemoryDisk disk;
    WriteSampleStore(&disk);
    const auto stored = Load(&disk);
    CPPUNIT_ASSERT(stored);
    CPPUNIT_ASSERT(stored->snapshot == ToBytes("snapshot"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, stored->records.size());
    CPPUNIT_ASSERT(stored->records[2] == ToBytes("three"));
    const auto identity = Journal(disk.Hooks()).ReadIdentity();
    CPPUNIT_ASSERT(identity && *identity);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, (*identity)->store);
  }

  void DropsAnyTornTail() {
    MemoryDisk whole;
    WriteSampleStore(&whole);
    const std::size_t synced = whole.Find("journal-")->synced.size();
    // Truncates the file at each byte of the fourth record, as a partial write
    // may leave it.
    MemoryDisk with_fourth;
    WriteSampleStore(&with_fourth, 4);
    const Bytes full = with_fourth.Find("journal-")->synced;
    for (std::size_t size = synced; size < full.size(); ++size) {
      Bytes& file = with_fourth.Find("journal-")->synced;
      file = full;
      file.resize(size);
      AssertThreeRecords(&with_fourth, size != synced);
    }
    // Fills the fourth record with zeros, as when a crash comes after the file
    // size was extended but before the data was written.
    Bytes& file = with_fourth.Find("journal-")->synced;
    file = full;
    std::fill(file.begin() + static_cast<std::ptrdiff_t>(synced), file.end(),
              0);
    AssertThreeRecords(&with_fourth, true);
  }

  static void AssertThreeRecords(MemoryDisk* disk, bool has_torn_tail) {
    const auto stored = Load(disk);
    CPPUNIT_ASSERT(stored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, stored->records.size());
    CPPUNIT_ASSERT_EQUAL(has_torn_tail, stored->has_torn_tail);
  }

  void FindsAnyFlippedBit() {
    for (const char* prefix : {"journal-", "snapshot-", "identity"}) {
      MemoryDisk disk;
      WriteSampleStore(&disk);
      Bytes& file = disk.Find(prefix)->synced;
      for (std::size_t bit = 0; bit < file.size() * 8; ++bit) {
        const auto mask = static_cast<std::uint8_t>(1 << bit % 8);
        file[bit / 8] ^= mask;
        const auto stored = Load(&disk);
        const auto identity = Journal(disk.Hooks()).ReadIdentity();
        const bool is_detected =
            (!stored && stored.error().code == ErrorCode::kCorrupt) ||
            (!identity && identity.error().code == ErrorCode::kCorrupt);
        CPPUNIT_ASSERT_MESSAGE(prefix + std::to_string(bit), is_detected);
        file[bit / 8] ^= mask;
      }
    }
  }

  void FailedSyncIsNotTriedAgain() {
    MemoryDisk disk;
    WriteSampleStore(&disk);
    Journal journal(disk.Hooks());
    CPPUNIT_ASSERT(journal.Compact(ToBytes("snapshot")));
    journal.Append(ToBytes("lost"));
    disk.fails_sync = true;
    CPPUNIT_ASSERT(!journal.Sync());
    disk.fails_sync = false;
    const int syncs = disk.syncs;
    CPPUNIT_ASSERT(!journal.Sync());
    CPPUNIT_ASSERT(!journal.Compact(ToBytes("other")));
    CPPUNIT_ASSERT(journal.HasFailed());
    CPPUNIT_ASSERT_EQUAL(syncs, disk.syncs);
  }

  void FullDiskFails() {
    MemoryDisk disk;
    WriteSampleStore(&disk);
    Journal journal(disk.Hooks());
    CPPUNIT_ASSERT(journal.Compact(ToBytes("snapshot")));
    journal.Append(ToBytes("kept"));
    CPPUNIT_ASSERT(journal.Sync());
    disk.is_full = true;
    journal.Append(ToBytes("cut off"));
    CPPUNIT_ASSERT(!journal.Sync());
    const auto stored = Load(&disk);
    CPPUNIT_ASSERT(stored && stored->has_torn_tail);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored->records.size());
  }

  void CompactionKeepsOnlyTheNewest() {
    MemoryDisk disk;
    WriteSampleStore(&disk);
    Journal journal(disk.Hooks());
    CPPUNIT_ASSERT(journal.Load());
    CPPUNIT_ASSERT(journal.Compact(ToBytes("newer")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, disk.files().size());
    const auto stored = Load(&disk);
    CPPUNIT_ASSERT(stored && stored->snapshot == ToBytes("newer"));
    CPPUNIT_ASSERT(stored->records.empty());
  }

  void MissingSnapshotIsCorrupt() {
    MemoryDisk disk;
    WriteSampleStore(&disk);
    disk.files().erase("snapshot-1");
    const auto stored = Load(&disk);
    CPPUNIT_ASSERT(!stored);
    CPPUNIT_ASSERT(stored.error().code == ErrorCode::kCorrupt);
  }

  void RealFolderThatWasMovedFails() {
    std::string pattern =
        std::filesystem::temp_directory_path() / "sardinelead-XXXXXX";
    const std::string path = mkdtemp(pattern.data());
    std::filesystem::create_directory(path + "/data");
    Journal journal(PosixFileOperations(path + "/data"));
    CPPUNIT_ASSERT(journal.Compact(ToBytes("snapshot")));
    journal.Append(ToBytes("one"));
    CPPUNIT_ASSERT(journal.Sync());
    const auto stored = Journal(PosixFileOperations(path + "/data")).Load();
    CPPUNIT_ASSERT(stored && stored->records.size() == 1);
    std::filesystem::rename(path + "/data", path + "/elsewhere");
    std::filesystem::create_directory(path + "/data");
    journal.Append(ToBytes("two"));
    CPPUNIT_ASSERT(!journal.Sync());
    std::filesystem::remove_all(path);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);

}  // namespace
}  // namespace sardinelead
