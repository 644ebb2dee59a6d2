#ifndef SARDINELEAD_SRC_PACKET_LOOP_H_
#define SARDINELEAD_SRC_PACKET_LOOP_H_

// The threads that move packets. Each has sockets of its own on the shared
// ports (SO_REUSEPORT lets the kernel spread senders over them), takes a batch,
// hands each packet to the handler and sends what the handler gave it.

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
  std::array<Endpoint, kIngressCount> listen;  // By Ingress.
  std::size_t threads = 1;
  int socket_buffer_bytes = 4
                            << 20;  // Asked of the kernel, which may give less.
};

// What one thread of the loop counted; read from any thread.
struct PacketLoopCounts {
  std::array<std::uint64_t, kIngressCount> received{};
  std::uint64_t cut = 0;  // Longer than a jumbo frame; refused as truncated.
  SendCounts send;
};

// Takes what a packet handler wants sent.
class PacketSender {
 public:
  virtual ~PacketSender() = default;
  // Copies `head`; `body` must stay until the handler's batch is done, as the
  // packet that was handed in does.
  virtual void Send(const Endpoint& to, ByteView head, ByteView body) = 0;
};

// The packets of one receive call, `count` of them, on thread number `thread`.
using PacketHandler = std::function<void(
    std::size_t thread, Ingress ingress, const ReceiveBatch& packets,
    std::size_t count, TimePoint now, PacketSender* out)>;

class PacketLoop {
 public:
  PacketLoop(const PacketLoopSettings& settings, PacketHandler handler);
  // Stops.
  ~PacketLoop();
  PacketLoop(const PacketLoop&) = delete;
  PacketLoop& operator=(const PacketLoop&) = delete;

  // Opens the sockets and starts the threads. Error: kIo with the address.
  Result<void> Start();
  // Ends the threads, once each has handled what it took. Idempotent.
  void Stop();

  // Summed over the threads.
  PacketLoopCounts Counts() const;
  // Where a port was given as 0, what the kernel chose. After Start.
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
