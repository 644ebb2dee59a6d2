#ifndef SARDINELEAD_SRC_CTL_COMMANDS_H_
#define SARDINELEAD_SRC_CTL_COMMANDS_H_

// The commands of sardinectl. Each returns its output and exit code.

#include <string>
#include <vector>

#include "operator_client.h"

namespace sardinelead {

enum class CtlExit : int {
  kDone = 0,
  kRefused = 1,  // Not applied.
  kUsage = 2,    // Invalid command line or file; no change was sent.
  kUnknown = 3,  // May have been applied; resend with the same id.
  // No VM (for status: not every VM) was reached; not applied.
  kUnreachable = 4,
};

struct CtlOptions {
  bool json = false;
  std::string id;    // For patch and replace; generated if empty.
  std::string base;  // For patch; if empty, the one in the file is used.
  std::string after = "0";
  std::uint32_t remove = 0;
  std::uint32_t add = 0;
  bool histograms = false;
};

struct CtlResult {
  CtlExit exit = CtlExit::kDone;
  std::string out;
  std::string err;
};

struct CtlCommand {
  const char* name;
  const char* arguments;
  const char* help;
  CtlResult (*run)(OperatorClient* client, const CtlOptions& options,
                   const std::vector<std::string>& arguments);
};

const std::vector<CtlCommand>& CtlCommands();

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CTL_COMMANDS_H_
