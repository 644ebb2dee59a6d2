#ifndef SARDINELEAD_CONTROL_LINK_H_
#define SARDINELEAD_CONTROL_LINK_H_

// Authenticated links between the system's processes, over which controllers
// on different nodes exchange messages. A link is a WebSocket connection; see
// docs/design/links.md for what protects it.
//
//   ControlLinks links(settings, {on_message, on_link});
//   links.Start();
//   links.Send(NodeId{2}, MessageKind::kAgreement, body);
//
// Delivery is best effort, and in order within one link. A message is dropped
// if there is no link or its send queue is full; controllers retransmit what
// must arrive. Unresponsive links are closed and redialled with capped
// exponential back-off and jitter. If two nodes dial each other there are two
// links, and the most recently established one carries the messages.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/message.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct LinkPeer {
  NodeId id;
  Endpoint address;
};

struct ControlLinkSettings {
  NodeId self;
  // Endpoint on which to accept links; port 0 selects a free port. No links are
  // accepted if address and port are both zero.
  Endpoint listen;
  // Nodes to keep a link to.
  std::vector<LinkPeer> dial;
  // Must be the same on all nodes; at least kMinSharedKeyBytes long.
  Bytes shared_key;
  Duration heartbeat_interval = std::chrono::seconds(1);
  // A link that received nothing for this long is closed.
  Duration silence_deadline = std::chrono::seconds(3);
  // A link that is not authenticated after this long is closed.
  Duration handshake_deadline = std::chrono::seconds(2);
  Duration back_off_base = std::chrono::milliseconds(100);
  Duration back_off_cap = std::chrono::seconds(5);
  std::size_t max_links = 1024;
  std::size_t max_message_bytes = 8 << 20;
  // Limit on the unsent bytes queued on a link.
  std::size_t max_queue_bytes = 16 << 20;
};

constexpr std::size_t kMinSharedKeyBytes = 16;
// Returns the first line of the file, without the line terminator. Errors: kIo
// if the file cannot be read or is empty, kOutOfRange if the line is shorter
// than kMinSharedKeyBytes.
Result<Bytes> LoadSharedKey(const std::string& path);

// All hooks are called on the I/O thread of the links.
struct ControlLinkHooks {
  std::function<void(NodeId from, MessageKind kind, ByteView body)> on_message;
  // Called when the first link to a node is established and when the last one
  // is closed.
  std::function<void(NodeId peer, bool up)> on_link;
};

struct LinkCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_dropped = 0;  // No link, or a full queue.
  std::uint64_t dials = 0;
  std::uint64_t dials_failed = 0;
  std::uint64_t links_timed_out = 0;  // Closed after a timeout.
  std::uint64_t links_refused = 0;    // Failed to authenticate.
};

class ControlLinks {
 public:
  ControlLinks(const ControlLinkSettings& settings, ControlLinkHooks hooks);
  ~ControlLinks();
  ControlLinks(const ControlLinks&) = delete;
  ControlLinks& operator=(const ControlLinks&) = delete;

  // Returns the bound endpoint, or kIo if binding fails.
  Result<Endpoint> Start();
  // Closes all links; no hook is called after it returns. Must not be called
  // from a hook.
  void Stop();

  // Both Send() functions, Peers() and Counters() are thread-safe.
  void Send(NodeId to, MessageKind kind, Bytes body);
  void Send(Outbox outbox);
  std::vector<NodeId> Peers() const;  // Nodes with an established link.
  LinkCounters Counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_CONTROL_LINK_H_
