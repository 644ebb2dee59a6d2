#include "target_store.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "big_endian.h"
#include "feed_message.h"

namespace sardinelead {
namespace {

constexpr char kFileName[] = "targets";
constexpr std::size_t kChecksumBytes = 8;

std::uint64_t ChecksumOf(ByteView bytes) {
  return XXH3_64bits(bytes.data, bytes.size);
}

}  // namespace

Result<StoredTargets> ReadTargets(const FileOperations& files) {
  StoredTargets stored;
  const auto names = files.list();
  if (!names) return tl::unexpected<Error>(names.error());
  const bool exists =
      std::find(names->begin(), names->end(), kFileName) != names->end();
  if (!exists) return stored;
  const auto file = files.read(kFileName);
  if (!file) return tl::unexpected<Error>(file.error());
  const Error corrupt{ErrorCode::kCorrupt, "the file fails its checksum",
                      kFileName};
  if (file->size() < kChecksumBytes) return tl::unexpected<Error>(corrupt);
  const ByteView body(file->data() + kChecksumBytes,
                      file->size() - kChecksumBytes);
  if (LoadBigEndian<std::uint64_t>(file->data()) != ChecksumOf(body)) {
    return tl::unexpected<Error>(corrupt);
  }
  auto message = DecodeFeedMessage(body);
  if (!message) return tl::unexpected<Error>(message.error());
  const auto* report = std::get_if<FeedReport>(&*message);
  if (report == nullptr) return tl::unexpected<Error>(corrupt);
  const auto targets = DecodeTargets(*report->changed);
  if (!targets) return tl::unexpected<Error>(targets.error());
  for (const ReportedTarget& target : targets->targets) {
    stored.targets.push_back(target.announcement);
  }
  stored.subscribers = report->members;
  return stored;
}

VoidResult WriteTargets(const FileOperations& files,
                        const TargetDirectory& directory,
                        const std::vector<NodeId>& subscribers) {
  FeedReport report;
  report.members = subscribers;
  std::vector<ReportedTarget> targets;
  for (const auto& [number, entry] : directory.entries()) {
    if (entry.announcement.state == AnnouncedState::kEnded) continue;
    targets.push_back({entry.announcement, Duration{0}, false});
  }
  report.changed = EncodeTargets(targets);
  const Bytes body = report.Encode();
  Bytes file(kChecksumBytes);
  StoreBigEndian(ChecksumOf(body), file.data());
  file.insert(file.end(), body.begin(), body.end());
  return files.replace(kFileName, file);
}

}  // namespace sardinelead
