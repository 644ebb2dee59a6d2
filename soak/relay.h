#ifndef SARDINELEAD_SOAK_RELAY_H_
#define SARDINELEAD_SOAK_RELAY_H_

// Loopback relays that stand between processes and misbehave on request.
//
// PeerRelay carries the datagrams between the system's processes: each node's
// internal port is the relay's, and the process itself listens one port above.
// CallRelay carries TCP connections to one control process.

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead::soak {

// What happens to messages on the way from one node to another.
struct LinkFault {
  bool is_cut = false;
  double loss = 0;    // Share of datagrams.
  Duration delay{0};  // Up to; datagrams overtake each other.
};

class PeerRelay {
 public:
  PeerRelay(asio::io_context* context, std::uint16_t port, std::uint64_t seed);
  ~PeerRelay();

  void Add(std::uint32_t node);
  // Any thread may call these.
  void SetFault(std::uint32_t from, std::uint32_t to, const LinkFault& fault);
  void Clear();

 private:
  struct Node;
  void Wait(Node* node);
  void OnDatagram(std::uint32_t to, std::uint32_t from, const Bytes& datagram);
  void Forward(std::uint32_t from, std::uint32_t to, const Bytes& datagram);

  asio::io_context* m_context;
  std::uint16_t m_port;
  std::mt19937_64 m_random;
  std::map<std::uint32_t, std::unique_ptr<Node>> m_nodes;
  std::mutex m_mutex;
  std::map<std::pair<std::uint32_t, std::uint32_t>, LinkFault> m_faults;
};

enum class CallFault {
  kNone,
  kSilence,  // Open connections carry nothing any more; new ones work.
  kOneWay,   // Requests arrive, answers do not.
  kRefuse,   // New connections are closed at once.
};

class CallRelay {
 public:
  CallRelay(asio::io_context* context, const Endpoint& listen,
            const Endpoint& target);
  ~CallRelay();

  // Any thread may call these.
  void SetFault(CallFault fault);
  void ResetAll();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_RELAY_H_
