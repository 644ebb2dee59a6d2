#include "system.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>

#include "http.h"

namespace review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kFirstNetwork = 30;
constexpr int kLastNetwork = 250;

std::string IpText(std::uint32_t ip) {
  const std::string text = Address{ip, 0}.Text();
  return text.substr(0, text.find(':'));
}

bool IsFree(int network) {
  for (const std::uint32_t part : {1U, 2U}) {
    const std::uint32_t ip =
        127U << 24 | static_cast<std::uint32_t>(network) << 16 | part << 8 | 1U;
    for (const std::uint16_t port : {kPacketPort, std::uint16_t{7720}}) {
      if (!UdpSocket({ip, port}).is_open()) return false;
    }
  }
  return true;
}

}  // namespace

System::System(const std::string& root, const std::string& folder,
               Record* record)
    : m_root(root), m_folder(folder), m_record(record) {
  m_network = kFirstNetwork + getpid() % (kLastNetwork - kFirstNetwork);
  while (!IsFree(m_network)) {
    m_network = m_network < kLastNetwork ? m_network + 1 : kFirstNetwork;
  }
}

System::~System() {
  m_is_over = true;
  if (m_prober.joinable()) m_prober.join();
  for (auto* machines : {&m_controls, &m_edges}) {
    for (Machine& machine : *machines) {
      if (machine.pid <= 0) continue;
      kill(machine.pid, SIGCONT);
      kill(machine.pid, SIGKILL);
      waitpid(machine.pid, nullptr, 0);
    }
  }
}

std::uint32_t System::Ip(int part, int index) const {
  return 127U << 24 | static_cast<std::uint32_t>(m_network) << 16 |
         static_cast<std::uint32_t>(part) << 8 |
         static_cast<std::uint32_t>(index);
}

void System::Start(int edges, int controls) {
  const std::string zones[] = {"a", "b", "c", "d"};
  for (int i = 0; i < controls; ++i) {
    m_controls.push_back(
        {"core-" + zones[i] + "-1", zones[i], true, Ip(1, i + 1), 0});
  }
  for (int i = 0; i < edges; ++i) {
    m_edges.push_back(
        {"edge-a-" + std::to_string(i + 1), "a", false, Ip(2, i + 1), 0});
  }
  for (Machine& machine : m_controls) Launch(&machine, true);
  for (Machine& machine : m_edges) Launch(&machine, true);
  m_prober = std::thread([this] { Probe(); });
}

void System::Launch(Machine* machine, bool is_first) {
  const std::string folder = m_folder + "/" + machine->name;
  mkdir(folder.c_str(), 0700);
  mkdir((folder + "/data").c_str(), 0700);
  const std::string ip = IpText(machine->ip);
  std::string seeds;
  int count = 0;
  for (const Machine& control : m_controls) {
    if (++count > 3) break;
    seeds += (seeds.empty() ? "\"" : ",\"") + IpText(control.ip) + ":" +
             std::to_string(kControlPort) + "\"";
  }
  const std::string listen =
      machine->is_control
          ? "\"control\":\"" + ip + ":8166\""
          : "\"datagramAddr\":\"" + ip + ":8172\",\"ready\":\"" + ip +
                ":8167\"";
  const std::string role = machine->is_control ? "control" : "edge";
  std::ofstream(folder + "/boot.json")
      << R"({"nodeName":")" << machine->name << R"(","role":")" << role
      << R"(","machineClass":")" << (machine->is_control ? "core" : "edge")
      << R"(","serves":[")" << role << R"("],"ip":")" << ip << R"(","zone":")"
      << machine->zone
      << R"(","region":"r","zones":{"a":"r","b":"r","c":"r","d":"r"},"listen":{)"
      << listen << R"(},"internalPorts":[7720,7735],"seeds":[)" << seeds
      << R"(],"bootstrap":)" << (is_first ? "true" : "false")
      << R"(,"lossCounts":)" << (machine->is_control ? "true" : "false")
      << R"(,"limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,)"
      << R"("linkMbps":1000.0,"diskMb":)" << (machine->is_control ? 128 : 0)
      << R"(},"dataDir":)"
      << (machine->is_control ? "\"" + folder + "/data\"" : "null")
      << R"(,"discovery":"registry","entry":"bgp","heartbeatMs":770,)"
      << R"("contracts":["base","drain","config","cost","recover","flows"],)"
      << R"("tolerate":{"machines":1,"zones":1,"regions":0},"bounds":{)"
      << R"("seedLagS":3,"reuseAfterS":2,"contactMs":4000,"ackMs":5000,)"
      << R"("catchUpS":4,"drainMs":3000,"graceS":6,"lossSlackMs":200,)"
      << R"("configApplyMs":3000,"downgradeMs":250,"maxSkewMs":12000,)"
      << R"("recoveryS":12,"flowSkewMs":2000,"maxFlowS":60},)"
      << R"("config_mode":"highest","hash":"mod","forwardingMode":"echo"})";
  const std::string program = "target/sardinelead-" + role;
  const std::string settings = "SARDINELEAD_BOOT=" + folder + "/boot.json";
  const std::string log = folder + "/log";
  const char* path = std::getenv("PATH");
  const std::string path_variable =
      std::string("PATH=") + (path != nullptr ? path : "/usr/bin:/bin");
  machine->pid = fork();
  if (machine->pid == 0) {
    // Ends the program also if this process is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (chdir(m_root.c_str()) != 0) _exit(127);
    char metrics[] = "--metrics_port=9464";
    char* arguments[] = {const_cast<char*>(program.c_str()), metrics, nullptr};
    char* environment[] = {const_cast<char*>(settings.c_str()),
                           const_cast<char*>(path_variable.c_str()), nullptr};
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  m_record->Line("started " + machine->name + " at " + ip);
}

void System::Signal(const Machine& machine, int number) {
  m_record->Line("signal " + std::to_string(number) + " to " + machine.name);
  kill(machine.pid, number);
}

bool System::HasEnded(Machine* machine) {
  if (machine->pid <= 0) return true;
  if (waitpid(machine->pid, nullptr, WNOHANG) != machine->pid) return false;
  machine->pid = 0;
  return true;
}

void System::Restart(Machine* machine) {
  if (machine->pid > 0) waitpid(machine->pid, nullptr, 0);
  Launch(machine, false);
}

void System::LoseDisk(int i) {
  Machine& machine = control(i);
  Signal(machine, SIGKILL);
  waitpid(machine.pid, nullptr, 0);
  EraseDisk(machine);
  Launch(&machine, false);
}

void System::KillControls(int lost) {
  for (const Machine& machine : m_controls) Signal(machine, SIGKILL);
  for (const Machine& machine : m_controls) waitpid(machine.pid, nullptr, 0);
  EraseDisk(control(lost));
  for (Machine& machine : m_controls) Launch(&machine, false);
}

void System::EraseDisk(const Machine& machine) {
  std::filesystem::remove_all(m_folder + "/" + machine.name + "/data");
  m_record->Line(machine.name + " has lost its disk");
}

bool System::Configure(const std::string& text) {
  const Time end = Clock::now() + seconds(10);
  for (int i = 0; Clock::now() < end; ++i) {
    const HttpAnswer answer =
        Call(ControlApi(i % controls()), "POST", "/config/replace", text);
    if (answer.status == 200) {
      m_record->Line("configuration acknowledged");
      return true;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

// Two misses in a row take an edge out of rotation until it answers 200 again.
// If fewer than half of the zone's edges are in rotation, all are used.
void System::Probe() {
  std::map<int, int> misses;
  while (!m_is_over) {
    std::vector<int> in_rotation;
    for (int i = 0; i < edges(); ++i) {
      const bool is_ready =
          Call({edge(i).ip, kReadyPort}, "GET", "/readiness", "").status == 200;
      const bool was_out = misses.count(i) == 0 || misses[i] >= 2;
      misses[i] = is_ready ? 0 : (was_out ? 2 : misses[i] + 1);
      if (misses[i] < 2) in_rotation.push_back(i);
    }
    if (static_cast<int>(in_rotation.size()) * 2 < edges()) {
      in_rotation.clear();
      for (int i = 0; i < edges(); ++i) in_rotation.push_back(i);
    }
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (in_rotation != m_in_rotation) {
        std::string names;
        for (const int i : in_rotation) names += " " + edge(i).name;
        m_record->Line("edges in rotation:" + names);
      }
      m_in_rotation = std::move(in_rotation);
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
}

bool System::WaitUntilReady() {
  const Time end = Clock::now() + seconds(10);
  while (Clock::now() < end) {
    int ready = 0;
    for (int i = 0; i < edges(); ++i) {
      const Address server{edge(i).ip, kReadyPort};
      if (Call(server, "GET", "/readiness", "").status == 200) ++ready;
    }
    if (ready == edges()) return true;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return false;
}

int System::EdgeOf(const Address& client, const Address& service) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_in_rotation.empty()) return 0;
  const std::size_t hash = client.ip + client.port + service.ip + service.port;
  return m_in_rotation[hash % m_in_rotation.size()];
}

Address System::RouteFlow(const Address& client, const Address& service) const {
  const int i = EdgeOf(client, service);
  return {m_edges.at(static_cast<std::size_t>(i)).ip, kPacketPort};
}

}  // namespace review
