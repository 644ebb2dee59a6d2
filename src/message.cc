#include "sardinelead/message.h"

namespace sardinelead {

const char* Name(MessageKind kind) {
  switch (kind) {
    case MessageKind::kMembership:
      return "membership";
    case MessageKind::kFlowRepair:
      return "flow-repair";
    case MessageKind::kTargets:
      return "targets";
    case MessageKind::kConfigOffer:
      return "config-offer";
    case MessageKind::kFeed:
      return "feed";
    case MessageKind::kAgreement:
      return "agreement";
  }
  return "unknown";
}

}  // namespace sardinelead
