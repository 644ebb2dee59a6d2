#ifndef SARDINELEAD_SRC_TARGET_STORE_H_
#define SARDINELEAD_SRC_TARGET_STORE_H_

// Persists a control VM's targets and subscribers as a hint for its next start.
// The file may be missing or outdated; announcements by targets override it.

#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/journal.h"
#include "sardinelead/target_directory.h"

namespace sardinelead {

struct StoredTargets {
  std::vector<TargetAnnouncement> targets;  // Without ended targets.
  std::vector<NodeId> subscribers;          // Of the feed.
};

// Returns an empty result if the file does not exist. Errors: kIo, kCorrupt,
// kMalformed.
Result<StoredTargets> ReadTargets(const FileOperations& files);
VoidResult WriteTargets(const FileOperations& files,
                        const TargetDirectory& directory,
                        const std::vector<NodeId>& subscribers);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_TARGET_STORE_H_
