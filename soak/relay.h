#ifndef SARDINELEAD_SOAK_RELAY_H_
#define SARDINELEAD_SOAK_RELAY_H_

// Loopback relays between processes that inject network faults on request.
//
// PeerRelay forwards datagrams between the system's processes: the relay owns
// each node's internal port, and the process itself listens one port above.
// CallRelay forwards TCP connections to one control process.

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

// Faults of the link from one node to another.
struct LinkFault {
  bool is_cut = false;
  double loss = 0;    // Fraction of datagrams dropped.
  Duration delay{0};  // Maximum; random delays reorder datagrams.
};

class PeerRelay {
 public:
  PeerRelay(asio::io_context* context, std::uint16_t port, std::uint64_t seed);
  ~PeerRelay();

  void Add(std::uint32_t node);
  // Thread-safe.
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
  kSilence,  // Existing connections stall; new ones work.
  kOneWay,   // Requests are forwarded, responses are dropped.
  kRefuse,   // New connections are closed immediately.
};

class CallRelay {
 public:
  CallRelay(asio::io_context* context, const Endpoint& listen,
            const Endpoint& target);
  ~CallRelay();

  // Thread-safe.
  void SetFault(CallFault fault);
  void ResetAll();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_RELAY_H_
