#include "sardinelead/flow_director.h"

namespace sardinelead {

const char* Name(RelayStep step) {
  switch (step) {
    case RelayStep::kQuery:
      return "ask";
    case RelayStep::kStore:
      return "store";
    case RelayStep::kSend:
      return "send";
    case RelayStep::kRecordFound:
      return "found";
  }
  return "unknown";
}

const char* Name(FlowAction action) {
  switch (action) {
    case FlowAction::kSendToTarget:
      return "send-to-target";
    case FlowAction::kSendToCaller:
      return "send-to-caller";
    case FlowAction::kRelay:
      return "relay";
    case FlowAction::kReset:
      return "reset";
    case FlowAction::kDrop:
      return "drop";
  }
  return "unknown";
}

const char* Name(RefuseReason reason) {
  switch (reason) {
    case RefuseReason::kNoTarget:
      return "no-target";
    case RefuseReason::kOverloaded:
      return "overloaded";
    case RefuseReason::kWorkspaceShare:
      return "workspace-share";
    case RefuseReason::kFlowLimit:
      return "flow-limit";
    case RefuseReason::kRateLimit:
      return "rate-limit";
    case RefuseReason::kTableFull:
      return "table-full";
  }
  return "unknown";
}

const char* Name(FlowEventKind kind) {
  switch (kind) {
    case FlowEventKind::kOpened:
      return "opened";
    case FlowEventKind::kEstablished:
      return "established";
    case FlowEventKind::kClosed:
      return "closed";
    case FlowEventKind::kUnanswered:
      return "unanswered";
    case FlowEventKind::kSilent:
      return "silent";
    case FlowEventKind::kReset:
      return "reset";
  }
  return "unknown";
}

}  // namespace sardinelead
