#ifndef REVIEW_STANDINS_SYSTEM_H_
#define REVIEW_STANDINS_SYSTEM_H_

// The platform: starts the project's programs with the commands of
// deploy/system.toml on loopback addresses, writes their settings files, and
// probes readiness as the routers do.

#include <sys/types.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "packet.h"
#include "record.h"

namespace review {

constexpr std::uint16_t kPacketPort = 8172;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kHostPort = 8080;

struct Machine {
  std::string name;
  std::string zone;
  bool is_control = false;
  std::uint32_t ip = 0;
  pid_t pid = 0;
};

class System {
 public:
  // `program_folder` is the repository's root, from which the programs run.
  System(const std::string& root, const std::string& folder, Record* record);
  ~System();  // Ends all processes that it started.

  // An address of this case: 127.NETWORK.`part`.`index`.
  std::uint32_t Ip(int part, int index) const;
  // Starts `controls` (at most 4) control machines, each in a zone of its own,
  // and `edges` edge machines in zone "a".
  void Start(int edges, int controls = 3);
  void Signal(const Machine& machine, int number);
  // Reaps the machine's process and starts it again.
  void Restart(Machine* machine);
  // Control machine `i` loses its disk and starts again with an empty one.
  void LoseDisk(int i);
  // Kills all control processes at the same moment. Control `lost` loses its
  // disk. All are started again at once.
  void KillControls(int lost);
  // Whether the process has ended; reaps it.
  bool HasEnded(Machine* machine);

  Machine& control(int i) { return m_controls.at(static_cast<std::size_t>(i)); }
  Machine& edge(int i) { return m_edges.at(static_cast<std::size_t>(i)); }
  int controls() const { return static_cast<int>(m_controls.size()); }
  int edges() const { return static_cast<int>(m_edges.size()); }
  Address ControlApi(int i) { return {control(i).ip, kControlPort}; }

  // Sends the configuration to one control machine after the other until it is
  // acknowledged. Returns false after 10 s.
  bool Configure(const std::string& text);
  // Waits until all edges are in rotation. Returns false after 10 s.
  bool WaitUntilReady();
  // The edge that the router selects for a flow; hash `mod`.
  Address RouteFlow(const Address& client, const Address& service) const;
  // Number of the edge that RouteFlow selects.
  int EdgeOf(const Address& client, const Address& service) const;

 private:
  void Launch(Machine* machine, bool is_first);
  void EraseDisk(const Machine& machine);
  void Probe();

  const std::string m_root;
  const std::string m_folder;
  Record* const m_record;
  int m_network = 0;
  std::vector<Machine> m_controls;
  std::vector<Machine> m_edges;
  mutable std::mutex m_mutex;
  std::vector<int> m_in_rotation;
  std::atomic<bool> m_is_over{false};
  std::thread m_prober;
};

}  // namespace review

#endif  // REVIEW_STANDINS_SYSTEM_H_
