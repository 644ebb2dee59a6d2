#ifndef REVIEW_STANDINS_CLIENT_H_
#define REVIEW_STANDINS_CLIENT_H_

// A client as PROTOCOL.md describes it: opens flows, keeps them open for
// several requests with pauses, and retransmits. It places the last echo that
// it received on a flow in its packets.

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "packet.h"
#include "record.h"
#include "system.h"

namespace review {

enum class RequestState { kWaiting, kAnswered, kWrong, kBroken, kLate };

struct RequestResult {
  std::string id;
  RequestState state = RequestState::kWaiting;
};

// A reset that reached a client.
struct ResetSeen {
  std::uint16_t port = 0;  // The client's port.
  bool was_open = false;
  bool is_from_system = false;  // Else from a host, at `from`.
  Address from;
  Address host;  // The host of the flow, if it was open.
};

class Client {
 public:
  Client(std::uint32_t ip, System* system, Record* record);
  ~Client();

  // If set, returns whether the network loses this packet of a host on its way
  // to the client.
  std::function<bool(const Packet& packet)> is_lost;

  // Opens a flow from `port`. The calls below name the flow by its port.
  void Open(std::uint16_t port, const Address& service);
  bool IsOpen(std::uint16_t port) const;
  // The host at which the flow is open.
  Address HostOf(std::uint16_t port) const;
  // Sends a request with this id on the flow.
  void Request(std::uint16_t port, const std::string& id, bool may_repeat);

  std::vector<RequestResult> Results() const;
  std::vector<ResetSeen> Resets() const;
  Address AddressOf(std::uint16_t port) const { return {m_ip, port}; }

 private:
  struct Flow {
    Address service;
    bool is_open = false;
    bool has_ended = false;
    std::uint32_t next = 0;  // Next sequence number to send.
    std::uint32_t expected = 0;
    std::uint32_t echo = 0;
    Address host;
    Time opened_at;
    int copies = 0;  // Of the SYN.
    // The request in progress.
    std::optional<std::size_t> request;
    Packet sent;
    bool is_acknowledged = false;
    Time due;
    Time deadline;
    std::chrono::milliseconds interval{0};
    std::string input;
  };

  void Run();
  void OnPacket(const Packet& packet, bool is_sealed, const Address& from);
  void RunTimers();
  Packet Make(std::uint16_t port, const Flow& flow, std::uint8_t flags) const;
  void Send(const Packet& packet);
  void Finish(Flow* flow, RequestState state);
  void CheckAnswer(Flow* flow);

  const std::uint32_t m_ip;
  System* const m_system;
  Record* const m_record;
  UdpSocket m_socket;
  mutable std::mutex m_mutex;
  std::map<std::uint16_t, Flow> m_flows;
  std::vector<RequestResult> m_results;
  std::vector<ResetSeen> m_resets;
  std::atomic<bool> m_is_over{false};
  std::thread m_thread;
};

}  // namespace review

#endif  // REVIEW_STANDINS_CLIENT_H_
