#ifndef SARDINELEAD_SRC_TARGET_STORE_H_
#define SARDINELEAD_SRC_TARGET_STORE_H_

// A control VM's targets on its disk: a hint for its next start. It may be lost
// or old; what targets say goes before it.

#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/journal.h"
#include "sardinelead/target_directory.h"

namespace sardinelead {

// Targets that had not ended; none where there is no file.
// Errors: kIo, kCorrupt.
Result<std::vector<TargetNews>> ReadTargets(const FileHooks& files);
Done WriteTargets(const FileHooks& files, const TargetDirectory& directory);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_TARGET_STORE_H_
