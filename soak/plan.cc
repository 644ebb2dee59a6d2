#include "plan.h"

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "clock.h"
#include "sardinelead/http_client.h"

namespace sardinelead::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint16_t kInternalPort = 7720;
constexpr std::uint64_t kMaxDescriptors = 4096;  // Of a balancer.
constexpr std::size_t kPlacesPerFreePlace = 4;   // Of targets.

std::string Text(std::uint32_t node) {
  return IpAddress::FromV4(node).ToString();
}

std::string At(std::uint32_t node, std::uint16_t port) {
  return Text(node) + ":" + std::to_string(port);
}

json DataCentresInOneRegion() {
  json data_centres;
  for (std::uint64_t i = 0; i < kDataCentres; ++i) {
    data_centres[DataCentreName(i)] = "region";
  }
  return data_centres;
}

}  // namespace

System::System(const SoakSettings& settings, SoakState* world)
    : m_settings(settings),
      m_state(world),
      m_random(settings.seed),
      m_change_random(settings.seed + 2),
      m_relay(&m_context, kInternalPort, settings.seed) {
  const auto base = static_cast<std::uint32_t>(127U << 24) |
                    static_cast<std::uint32_t>(settings.network) << 16;
  for (int i = 0; i < settings.controls; ++i) {
    m_state->controls.push_back(base + 0x100 + static_cast<std::uint32_t>(i) +
                                1);
  }
  for (int i = 0; i < settings.edges; ++i) {
    m_state->edges.push_back(base + 0x200 + static_cast<std::uint32_t>(i) + 1);
  }
}

System::~System() {
  m_state->is_over = true;
  m_targets.clear();
  m_retired_targets.clear();
  for (const auto& process : m_processes) process->child->Signal(SIGCONT);
  m_processes.clear();
  m_context.stop();
  if (m_relay_thread.joinable()) m_relay_thread.join();
}

void System::Start() {
  for (const std::uint32_t node : m_state->controls) {
    m_relay.Add(node);
    m_call_relays[node] = std::make_unique<CallRelay>(
        &m_context, Endpoint{IpAddress::FromV4(node), kCallRelayPort},
        Endpoint{IpAddress::FromV4(node), kControlPort});
    AddProcess(node, true);
  }
  for (const std::uint32_t node : m_state->edges) {
    m_relay.Add(node);
    m_state->links[node];
    AddProcess(node, false);
  }
  m_relay_thread = std::thread([this] {
    const auto work = asio::make_work_guard(m_context);
    m_context.run();
  });
  const auto targets = static_cast<std::size_t>(m_settings.targets);
  m_targets.resize(targets + targets / kPlacesPerFreePlace + 1);
  // Targets once drew from here; keeps the faults of the known seeds.
  m_random.discard(2 * targets);
  for (std::size_t place = 0; place < targets; ++place) {
    AddTarget(place, NewIdentity(place));
  }
}

void System::AddProcess(std::uint32_t node, bool is_control) {
  auto process = std::make_unique<Process>();
  process->node = node;
  process->is_control = is_control;
  const std::string name = (is_control ? "control-" : "edge-") + Text(node);
  const std::string folder = m_settings.folder + "/" + name;
  std::filesystem::create_directories(folder + "/data");
  process->child = std::make_unique<Child>(name, folder + "/log");
  WriteSettings(*process, true);
  Launch(process.get());
  m_processes.push_back(std::move(process));
}

void System::WriteSettings(const Process& process, bool is_first) {
  json seeds = json::array();
  for (std::size_t i = 0;
       i < std::min<std::size_t>(m_state->controls.size(), 3); ++i) {
    seeds.push_back(At(m_state->controls[i], kControlPort));
  }
  json listen;
  const std::uint32_t node = process.node;
  if (process.is_control) {
    listen["control"] = At(node, kControlPort);
  } else {
    listen["datagramAddr"] = At(node, kPacketPort);
    listen["ready"] = At(node, kReadinessPort);
  }
  const std::string folder = m_settings.folder + "/" + process.child->name();
  json boot = {
      {"nodeName", process.child->name()},
      {"ip", Text(node)},
      {"zone", DataCentreName(node)},
      {"zones", DataCentresInOneRegion()},
      {"listen", listen},
      {"internalPorts", {kInternalPort, kMetricsPort}},
      {"seeds", seeds},
      {"bootstrap", is_first},
      {"dataDir", process.is_control ? json(folder + "/data") : json()},
      {"heartbeatMs",
       std::chrono::duration_cast<milliseconds>(kHeartbeat).count()},
      {"tolerate", {{"machines", 1}}},
      {"bounds",
       {{"graceS", 6},
        {"evacuateMs",
         std::chrono::duration_cast<milliseconds>(kEvacuationLimit).count()}}}};
  if (!process.is_control && m_state->link_bytes_per_second > 0) {
    boot["limits"] = {{"maxFds", kMaxDescriptors},
                      {"linkMbps", m_state->link_bytes_per_second * 8 / 1e6}};
  }
  std::ofstream(folder + "/boot.json") << boot.dump();
}

void System::Launch(Process* process) {
  const std::string folder = m_settings.folder + "/" + process->child->name();
  if (process->starts++ > 0) WriteSettings(*process, false);
  std::vector<std::string> arguments = {
      m_settings.programs +
          (process->is_control ? "/sardinelead-control" : "/sardinelead-edge"),
      "--listen_internal_port=" + std::to_string(kInternalPort + 1)};
  // Simulates a clock that moves backwards at some starts.
  m_last_incarnation += 1000;
  const std::uint64_t back = m_random() % 4 == 0 ? m_random() % 5000 : 0;
  arguments.push_back("--incarnation=" +
                      std::to_string(m_last_incarnation > back
                                         ? m_last_incarnation - back + 1
                                         : 1));
  process->is_expected_to_end = false;
  process->is_killed = false;
  process->is_stopped = false;
  process->is_paused = false;
  process->start_at = TimePoint{};
  process->child->Start(arguments, folder + "/boot.json");
}

System::Process* System::PickProcess(bool is_control) {
  std::vector<Process*> fit;
  for (const auto& process : m_processes) {
    const bool is_up = process->child->IsRunning() && !process->is_stopped;
    if (process->is_control != is_control || !is_up) continue;
    fit.push_back(process.get());
  }
  if (fit.empty()) return nullptr;
  return fit[m_random() % fit.size()];
}

Duration System::RandomSpan(int from_ms, int to_ms) {
  return RandomSpan(from_ms, to_ms, &m_random);
}

Duration System::RandomSpan(int from_ms, int to_ms, std::mt19937_64* random) {
  const auto span = static_cast<std::uint64_t>(to_ms - from_ms);
  return milliseconds(from_ms + static_cast<int>((*random)() % span));
}

void System::Schedule(Duration delay, std::function<void()> action) {
  m_scheduled.push_back({SteadyNow() + delay, std::move(action)});
}

// At most one disk may be lost at a time. A lost disk has recovered only once
// its control process votes again, which a successful read from it confirms.
bool System::CanLoseDisk() const {
  for (const auto& process : m_processes) {
    if (!process->is_control) continue;
    HttpClientRequest call;
    call.path = "/config/read";
    call.deadline = milliseconds(300);
    const Endpoint control{IpAddress::FromV4(process->node), kControlPort};
    const auto answer = SendHttpRequest(control, call);
    if (!answer || answer->status != 200 || process->is_full) return false;
  }
  return true;
}

void System::Kill(Process* process, bool wipe) {
  m_state->ledger.RecordFault(process->node, process->is_control,
                              wipe ? "kill and wipe" : "kill");
  process->is_expected_to_end = true;
  process->is_killed = true;
  process->child->Signal(SIGKILL);
  process->start_at = SteadyNow() + RandomSpan(100, 2000);
  if (!wipe) return;
  const std::string data =
      m_settings.folder + "/" + process->child->name() + "/data";
  Schedule(milliseconds(50), [data] {
    for (const auto& entry : std::filesystem::directory_iterator(data)) {
      std::filesystem::remove(entry.path());
    }
  });
}

void System::Terminate(Process* process) {
  m_state->ledger.Stop(process->node, process->is_control);
  process->is_expected_to_end = true;
  process->child->Signal(SIGTERM);
  process->start_at = SteadyNow() + std::chrono::seconds(7);
}

void System::Freeze(Process* process) {
  m_state->ledger.BeginFault(process->node, process->is_control, "freeze");
  process->is_stopped = true;
  process->child->Signal(SIGSTOP);
  Schedule(RandomSpan(200, 4000), [this, process] {
    process->child->Signal(SIGCONT);
    process->is_stopped = false;
    m_state->ledger.EndFault(process->node, process->is_control);
  });
}

void System::Isolate(Process* process, bool one_way) {
  m_state->ledger.BeginFault(process->node, process->is_control,
                             one_way ? "one-way cut" : "cut");
  const auto set = [this, process, one_way](bool is_cut) {
    LinkFault fault;
    fault.is_cut = is_cut;
    for (const auto& other : m_processes) {
      if (other.get() == process) continue;
      m_relay.SetFault(other->node, process->node, fault);
      if (!one_way) m_relay.SetFault(process->node, other->node, fault);
    }
  };
  set(true);
  Schedule(RandomSpan(500, 5000), [this, process, set] {
    set(false);
    m_state->ledger.EndFault(process->node, process->is_control);
  });
}

// A balancer that reaches only half of the control nodes knows some targets,
// and does not learn of the starts and ends of others.
void System::CutFromSomeControls(Process* edge) {
  m_state->ledger.BeginFault(edge->node, false, "cut from some controls");
  const std::uint64_t parity = m_change_random() % 2;
  const auto set = [this, edge, parity](bool is_cut) {
    LinkFault fault;
    fault.is_cut = is_cut;
    for (const std::uint32_t control : m_state->controls) {
      if (control % 2 != parity) continue;
      m_relay.SetFault(control, edge->node, fault);
      m_relay.SetFault(edge->node, control, fault);
    }
  };
  set(true);
  Schedule(RandomSpan(4000, 6000, &m_change_random), [this, edge, set] {
    set(false);
    m_state->ledger.EndFault(edge->node, false);
  });
}

// Partitions the control nodes into two halves; all other nodes reach both.
void System::SplitControls() {
  const auto& controls = m_state->controls;
  const auto set = [this, &controls](bool is_cut) {
    LinkFault fault;
    fault.is_cut = is_cut;
    for (std::size_t a = 0; a < controls.size(); ++a) {
      for (std::size_t b = 0; b < controls.size(); ++b) {
        if (a % 2 != b % 2) m_relay.SetFault(controls[a], controls[b], fault);
      }
    }
  };
  for (const std::uint32_t node : controls) {
    m_state->ledger.BeginFault(node, true, "split");
  }
  set(true);
  Schedule(RandomSpan(500, 4000), [this, set, &controls] {
    set(false);
    for (const std::uint32_t node : controls) {
      m_state->ledger.EndFault(node, true);
    }
  });
}

// Adds packet loss and reordering on all links.
void System::DegradeLinks() {
  LinkFault fault;
  fault.loss = static_cast<double>(m_random() % 30) / 100;
  fault.delay = RandomSpan(1, 80);
  const auto set = [this](const LinkFault& now) {
    for (const auto& a : m_processes) {
      for (const auto& b : m_processes) {
        m_relay.SetFault(a->node, b->node, now);
      }
    }
  };
  for (const auto& process : m_processes) {
    m_state->ledger.BeginFault(process->node, process->is_control,
                               "loss and delay");
  }
  set(fault);
  Schedule(RandomSpan(500, 4000), [this, set] {
    set(LinkFault{});
    for (const auto& process : m_processes) {
      m_state->ledger.EndFault(process->node, process->is_control);
    }
  });
}

void System::FillDisk(Process* process) {
  m_state->ledger.BeginFault(process->node, true, "full disk");
  process->is_full = true;
  process->child->LimitFiles(true);
  Schedule(RandomSpan(500, 4000), [this, process] {
    process->child->LimitFiles(false);
    process->is_full = false;
    m_state->ledger.EndFault(process->node, true);
  });
}

// Kills the process and overwrites one byte of each data file while it is down.
void System::CorruptDisk(Process* process) {
  Kill(process, false);
  const std::string data =
      m_settings.folder + "/" + process->child->name() + "/data";
  const std::uint64_t draw = m_random();
  Schedule(milliseconds(50), [data, draw] {
    for (const auto& entry : std::filesystem::directory_iterator(data)) {
      const auto size = std::filesystem::file_size(entry.path());
      if (size == 0) continue;
      std::fstream file(entry.path(),
                        std::ios::in | std::ios::out | std::ios::binary);
      file.seekp(static_cast<std::streamoff>(draw % size));
      file.put(static_cast<char>(draw >> 32));
    }
  });
}

void System::DisruptCalls(Process* process) {
  m_state->ledger.BeginFault(process->node, true, "calls broken");
  CallRelay* relay = m_call_relays.at(process->node).get();
  constexpr CallFault kFaults[] = {CallFault::kSilence, CallFault::kOneWay,
                                   CallFault::kRefuse};
  const CallFault fault = kFaults[m_random() % 3];
  if (m_random() % 4 == 0) relay->ResetAll();
  relay->SetFault(fault);
  Schedule(RandomSpan(300, 3000), [this, relay, process] {
    relay->SetFault(CallFault::kNone);
    m_state->ledger.EndFault(process->node, true);
  });
}

void System::KillAllControls() {
  for (const auto& process : m_processes) {
    const bool is_up = process->child->IsRunning() && !process->is_stopped;
    if (process->is_control && is_up) Kill(process.get(), false);
  }
}

// Planned rolling restart of the edges, one after the other.
void System::RestartEdges() {
  Duration delay{0};
  for (const auto& process : m_processes) {
    if (process->is_control) continue;
    Schedule(delay, [this, raw = process.get()] {
      if (raw->child->IsRunning() && !raw->is_stopped) Terminate(raw);
    });
    delay += RandomSpan(300, 2500);
  }
}

void System::InjectFault() {
  ChangeTarget();
  const std::uint64_t draw = m_random() % 16;
  Process* control = PickProcess(true);
  Process* edge = PickProcess(false);
  if (edge != nullptr && m_change_random() % 2 == 0) CutFromSomeControls(edge);
  if (draw == 0 && edge != nullptr) return Kill(edge, false);
  if (draw == 1 && control != nullptr) return Kill(control, false);
  if (draw == 2 && control != nullptr && CanLoseDisk()) {
    return Kill(control, true);
  }
  if (draw == 3 && edge != nullptr) return Freeze(edge);
  if (draw == 4 && control != nullptr) return Freeze(control);
  if (draw == 5 && edge != nullptr) return Isolate(edge, m_random() % 2 == 0);
  if (draw == 6 && control != nullptr) {
    return Isolate(control, m_random() % 2 == 0);
  }
  if (draw == 7) return SplitControls();
  if (draw == 8) return DegradeLinks();
  if (draw == 9 && control != nullptr) return FillDisk(control);
  if (draw == 10 && control != nullptr && CanLoseDisk()) {
    return CorruptDisk(control);
  }
  if (draw == 11 && control != nullptr) return DisruptCalls(control);
  if (draw == 12) return KillAllControls();
  if (draw == 13 && control != nullptr) return Terminate(control);
  if (draw == 14) return RestartEdges();
  ChangeTarget();
}

// The periods of the balancers begin at different times.
void System::ApplyShares(TimePoint now) {
  if (m_settings.edge_share >= 1.0) return;
  const Duration period = m_settings.share_period;
  const auto running =
      std::chrono::duration_cast<Duration>(period * m_settings.edge_share);
  for (const auto& process : m_processes) {
    const bool is_edge = !process->is_control && process->child->IsRunning() &&
                         !process->is_stopped;
    if (!is_edge) continue;
    const Duration offset = period * (process->node % 16) / 16;  // NOLINT
    const bool is_paused =
        (now.time_since_epoch() + offset) % period >= running;
    if (is_paused == process->is_paused) continue;
    process->is_paused = is_paused;
    process->child->Signal(is_paused ? SIGSTOP : SIGCONT);
  }
}

void System::EndShares() {
  m_settings.edge_share = 1.0;
  for (const auto& process : m_processes) {
    if (process->is_paused) process->child->Signal(SIGCONT);
    process->is_paused = false;
  }
}

void System::Watch() {
  const TimePoint now = SteadyNow();
  ApplyShares(now);
  std::vector<ScheduledAction> due;
  for (auto it = m_scheduled.begin(); it != m_scheduled.end();) {
    if (it->at > now) {
      ++it;
      continue;
    }
    due.push_back(std::move(*it));
    it = m_scheduled.erase(it);
  }
  for (const ScheduledAction& later : due) later.action();
  for (const auto& process : m_processes) {
    const int status = process->child->Reap();
    if (status >= 0 && !process->is_expected_to_end) {
      m_state->ledger.OnProcessEnded(process->child->name(), status);
      process->start_at = now;
    }
    if (status >= 0 && process->is_expected_to_end) {
      process->start_at = std::min(process->start_at, now + milliseconds(500));
    }
    const bool is_due =
        process->start_at != TimePoint{} && now >= process->start_at;
    if (!is_due) continue;
    if (process->child->IsRunning()) {
      if (!process->is_killed) {
        m_state->ledger.AddViolation(process->child->name() +
                                     " did not end within its grace");
        process->child->Signal(SIGKILL);
        process->is_killed = true;
      }
      // The kernel has not ended it yet.
      process->start_at = now + milliseconds(100);
      continue;
    }
    m_state->ledger.Stop(process->node, process->is_control);
    Launch(process.get());
  }
}

void System::ClearFaults() {
  for (ScheduledAction& later : std::exchange(m_scheduled, {})) {
    later.action();
  }
  m_relay.Clear();
  const auto targets = static_cast<std::size_t>(m_settings.targets);
  for (std::size_t place = 0; place < targets; ++place) {
    if (m_targets[place] == nullptr) AddSuccessor(place, NewIdentity(place));
  }
}

}  // namespace sardinelead::soak
