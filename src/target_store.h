#ifndef SARDINELEAD_SRC_TARGET_STORE_H_
#define SARDINELEAD_SRC_TARGET_STORE_H_

// A control VM's targets and subscribers on its disk: a hint for its next
// start. It may be lost or old; what targets say goes before it.

#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/journal.h"
#include "sardinelead/target_directory.h"

namespace sardinelead {

struct StoredTargets {
  std::vector<TargetNews> targets;  // That had not ended.
  std::vector<NodeId> subscribers;  // Of the feed.
};

// Nothing where there is no file. Errors: kIo, kCorrupt.
Result<StoredTargets> ReadTargets(const FileHooks& files);
Done WriteTargets(const FileHooks& files, const TargetDirectory& directory,
                  const std::vector<NodeId>& subscribers);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_TARGET_STORE_H_
