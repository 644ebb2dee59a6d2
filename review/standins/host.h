#ifndef REVIEW_STANDINS_HOST_H_
#define REVIEW_STANDINS_HOST_H_

// A host as PROTOCOL.md describes it: it takes flows and requests, and sends
// heartbeats. It acknowledges data at once, retransmits what is missing after
// 200 ms (doubled up to 1.6 s, 8 times), and answers a packet of a flow that it
// does not hold with an RST.

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "packet.h"
#include "record.h"
#include "system.h"

namespace review {

struct HostSettings {
  std::uint64_t id = 0;
  std::string service;
  std::string zone;
  Address address;
  int work_ms = 40;
};

class Host {
 public:
  Host(const HostSettings& settings, System* system, Record* record);
  ~Host();

  // If set, returns whether the network loses this packet of a client on its
  // way to the host. Set it before packets arrive.
  std::function<bool(const Packet& packet)> is_lost;

  bool is_known() const { return m_is_known; }
  const HostSettings& settings() const { return m_settings; }
  std::string Name() const;
  // Ids of the requests that this host began to run, in order.
  std::vector<std::string> Runs() const;
  // Heartbeats that were acknowledged.
  int acknowledged() const { return m_acknowledged; }

 private:
  using Key = std::pair<Address, Address>;
  struct Unacknowledged {
    Packet packet;
    std::uint32_t end = 0;  // Sequence number after the packet.
    Time due;
    std::chrono::milliseconds interval{200};
    int tries = 0;
  };
  struct Flow {
    bool is_open = false;
    std::uint32_t first = 0;  // The host's initial sequence number.
    std::uint32_t next = 0;   // Next sequence number to send.
    std::uint32_t expected = 0;
    std::uint32_t echo = 0;  // The last echo received.
    std::string input;
    std::deque<Unacknowledged> unacknowledged;
  };
  struct Work {
    Key key;
    std::string id;
    Time done;
  };

  void Serve();
  void Announce();
  void OnPacket(const Packet& packet);
  void OnData(const Key& key, Flow* flow, const Packet& packet);
  void RunTimers();
  Packet Make(const Key& key, const Flow& flow, std::uint8_t flags) const;
  void SendReliably(Flow* flow, const Packet& packet, std::uint32_t end);
  void SendToClient(const Packet& packet);
  void Answer(const Work& work);

  const HostSettings m_settings;
  System* const m_system;
  Record* const m_record;
  const std::uint64_t m_born;
  std::mt19937 m_random;
  UdpSocket m_socket;
  std::map<Key, Flow> m_flows;
  std::deque<Work> m_working;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_runs;
  std::atomic<bool> m_is_over{false};
  std::atomic<bool> m_is_known{false};
  std::atomic<int> m_acknowledged{0};
  std::thread m_server;
  std::thread m_announcer;
};

// The text of a heartbeat.
std::string HeartbeatText(const std::string& service, const Address& address,
                          const std::string& zone, std::uint64_t sequence,
                          std::uint64_t born);
std::uint64_t UnixMilliseconds();

}  // namespace review

#endif  // REVIEW_STANDINS_HOST_H_
