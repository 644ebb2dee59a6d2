#ifndef SARDINELEAD_SRC_PACKET_LOOP_H_
#define SARDINELEAD_SRC_PACKET_LOOP_H_

// The packet threads. Each thread has its own sockets on the shared ports
// (SO_REUSEPORT lets the kernel distribute senders over them). It receives a
// batch, passes it to the handler and sends the packets that the handler
// queued.

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/packet.h"
#include "sardinelead/types.h"
#include "udp_batch.h"

namespace sardinelead {

struct PacketLoopSettings {
  std::array<Endpoint, kIngressCount> listen;  // Indexed by Ingress.
  std::size_t threads = 1;
  int socket_buffer_bytes = 4 << 20;  // Requested; the kernel may grant less.
};

// Counters of the loop's threads.
struct PacketLoopCounts {
  std::array<std::uint64_t, kIngressCount> received{};
  // Received packets that were longer than a jumbo frame. They are rejected as
  // truncated.
  std::uint64_t cut = 0;
  SendCounts send;
};

// Queues the packets that a packet handler sends.
class PacketSender {
 public:
  virtual ~PacketSender() = default;
  // Copies `head`. `body` must remain valid until the handler's batch has been
  // sent, as the received packets do.
  virtual void Send(const Endpoint& to, ByteView head, ByteView body) = 0;
};

// Handles the `count` packets of one receive call on the thread with index
// `thread`.
using PacketHandler = std::function<void(
    std::size_t thread, Ingress ingress, const ReceiveBatch& packets,
    std::size_t count, TimePoint now, PacketSender* out)>;

class PacketLoop {
 public:
  PacketLoop(const PacketLoopSettings& settings, PacketHandler handler);
  // Calls Stop().
  ~PacketLoop();
  PacketLoop(const PacketLoop&) = delete;
  PacketLoop& operator=(const PacketLoop&) = delete;

  // Opens the sockets and starts the threads. Error: kIo with the address.
  Result<void> Start();
  // Stops the threads after each has handled the batch it received.
  // Idempotent.
  void Stop();

  // Totals over all threads; callable from any thread.
  PacketLoopCounts Counts() const;
  // The bound address, with the port that the kernel chose if 0 was given.
  // Requires a successful Start.
  Endpoint bound(Ingress ingress) const;  // NOLINT

 private:
  class Worker;

  PacketLoopSettings m_settings;
  PacketHandler m_handler;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<std::thread> m_threads;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_PACKET_LOOP_H_
