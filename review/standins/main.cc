// standins CASE ROOT FOLDER RECORD TROUBLE
//
// Plays one case on the real programs and the real clock. Exit code: 1 if the
// rule was broken, 0 if it held, 2 if the case couldn't run.

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <algorithm>
#include <atomic>
#include <memory>
#include <random>
#include <stdexcept>

#include "client.h"
#include "host.h"
#include "http.h"

namespace review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr const char* kService = "orders";
// Machines are in touch after `contactMs`; a little more is waited.
constexpr auto kInTouch = milliseconds(4500);

void Sleep(milliseconds span) { std::this_thread::sleep_for(span); }

// Three control machines, edges in zone "a", hosts and one client.
struct World {
  World(const std::string& root, const std::string& folder,
        const std::string& record_path)
      : record(record_path), system(root, folder, &record) {}

  Address Service() const { return {system.Ip(9, 1), 8080}; }

  std::string ConfigText(int version) const {
    std::string hostname = Service().Text();
    hostname = hostname.substr(0, hostname.find(':'));
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-notes","hostname":")" + hostname +
           R"(","pathPrefix":"/8080/","type":"non_idempotent",)" +
           R"("timeoutMs":2000,"targetLatencyMs":300,"priority":1,)" +
           R"("service":"orders","maxAttempts":2}],"services":[)" +
           R"({"name":"orders","healthPath":"/health","maxConns":2000,)" +
           R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)" +
           R"("maxBodyBytes":262144,"headerTimeoutMs":3000,)" +
           R"("idleTimeoutMs":15000}})";
  }

  // Starts everything and waits until all machines are in touch.
  void Start(int edges, int hosts, int work_ms) {
    system.Start(edges);
    Sleep(milliseconds(500));
    if (!system.Configure(ConfigText(7))) {
      throw std::runtime_error("the configuration isn't acknowledged");
    }
    for (int i = 0; i < hosts; ++i) AddHost(i, work_ms);
    const Time end = Clock::now() + seconds(5);
    for (const auto& host : all_hosts) {
      while (!host->is_known() && Clock::now() < end) Sleep(milliseconds(20));
      if (!host->is_known()) throw std::runtime_error("no heartbeat is acked");
    }
    if (!system.WaitUntilReady()) throw std::runtime_error("no edge is ready");
    client = std::make_unique<Client>(system.Ip(4, 1), &system, &record);
    Sleep(kInTouch);
  }

  void AddHost(int i, int work_ms) {
    HostSettings settings;
    settings.id = 0x7f3a9100U + static_cast<unsigned>(i);
    settings.service = kService;
    settings.zone = "a";
    settings.address = {system.Ip(3, i + 1), kHostPort};
    settings.work_ms = work_ms;
    all_hosts.push_back(std::make_unique<Host>(settings, &system, &record));
  }

  const Host* HostAt(const Address& address) const {
    for (const auto& host : all_hosts) {
      if (host->settings().address == address) return host.get();
    }
    return nullptr;
  }

  // Opens a flow from each port and sends one request on each.
  void OpenFlows(int first_port, int count) {
    for (int i = 0; i < count; ++i) {
      client->Open(static_cast<std::uint16_t>(first_port + i), Service());
      Sleep(milliseconds(20));
    }
    Sleep(milliseconds(500));
    for (int i = 0; i < count; ++i) {
      const auto port = static_cast<std::uint16_t>(first_port + i);
      if (!client->IsOpen(port)) throw std::runtime_error("a flow didn't open");
    }
  }

  // FLOW (a): the client gets a reset that the flow's host didn't send, while
  // that host lives. No host ends in these cases.
  int CountForeignResets() {
    int count = 0;
    for (const ResetSeen& reset : client->Resets()) {
      const bool is_foreign =
          reset.was_open &&
          (reset.is_from_system || !(reset.from == reset.host));
      if (is_foreign) ++count;
    }
    return count;
  }

  int Verdict() {
    int answered = 0;
    int others = 0;
    for (const RequestResult& result : client->Results()) {
      ++(result.state == RequestState::kAnswered ? answered : others);
    }
    const int resets = CountForeignResets();
    record.Line("requests answered: " + std::to_string(answered) +
                ", not answered: " + std::to_string(others));
    record.Line("FLOW (a): resets of open flows that their living host didn't "
                "send: " +
                std::to_string(resets));
    record.Line(resets > 0 ? "FLOW is broken" : "FLOW held");
    return resets > 0 ? kBroken : kHeld;
  }

  Record record;
  System system;
  std::vector<std::unique_ptr<Host>> all_hosts;
  std::unique_ptr<Client> client;
};

// Another writer sends one heartbeat with a service that isn't named in the
// configuration. It gives the address of a living host.
int RunForeignHeartbeat(World* world, bool has_trouble) {
  world->Start(2, 2, 40);
  constexpr int kFlows = 12;
  constexpr int kFirstPort = 41000;
  world->OpenFlows(kFirstPort, kFlows);
  const Host& host = *world->all_hosts[0];
  for (int round = 0; round < 8; ++round) {
    if (round == 2 && has_trouble) {
      const std::string text =
          HeartbeatText("batch-agent", host.settings().address, "a", 1,
                        UnixMilliseconds());
      const HttpAnswer answer =
          Call(world->system.ControlApi(0), "POST",
               "/instances/i-55aa0001/heartbeat", text);
      world->record.Line("another writer sends " + text + " for i-55aa0001: " +
                         std::to_string(answer.status));
    }
    for (int i = 0; i < kFlows; ++i) {
      const auto port = static_cast<std::uint16_t>(kFirstPort + i);
      world->client->Request(port,
                             "q" + std::to_string(round) + "-" +
                                 std::to_string(i),
                             false);
    }
    Sleep(milliseconds(1000));
  }
  Sleep(milliseconds(2500));
  // Where do new flows go afterwards?
  constexpr int kMoreFlows = 10;
  constexpr int kMorePort = 42000;
  world->OpenFlows(kMorePort, kMoreFlows);
  int at_host = 0;
  for (int i = 0; i < kMoreFlows; ++i) {
    const auto port = static_cast<std::uint16_t>(kMorePort + i);
    const bool is_there =
        world->client->HostOf(port) == host.settings().address;
    at_host += is_there ? 1 : 0;
  }
  world->record.Line("of " + std::to_string(kMoreFlows) + " new flows, " +
                     std::to_string(at_host) + " opened at " + host.Name());
  for (const auto& each : world->all_hosts) {
    world->record.Line(each->Name() + " lives; heartbeats acknowledged: " +
                       std::to_string(each->acknowledged()) + ", requests run: " +
                       std::to_string(each->Runs().size()));
  }
  return world->Verdict();
}

// A link drops two packets at one moment: the first copies of two requests to
// one host. Other flows of that host have no request in progress.
int RunLostRequests(World* world, bool has_trouble) {
  world->Start(1, 2, 40);
  constexpr int kFlows = 12;
  constexpr int kFirstPort = 41000;
  world->OpenFlows(kFirstPort, kFlows);
  Host& host = *world->all_hosts[0];
  std::vector<std::uint16_t> ports;
  for (int i = 0; i < kFlows; ++i) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + i);
    world->client->Request(port, "q1-" + std::to_string(i), false);
    if (world->client->HostOf(port) == host.settings().address) {
      ports.push_back(port);
    }
  }
  Sleep(milliseconds(1000));
  if (ports.size() < 4) throw std::runtime_error("too few flows at the host");
  const auto lost = std::make_shared<int>(0);
  if (has_trouble) {
    host.is_lost = [lost](const Packet& packet) {
      if (packet.data.empty() || *lost >= 2) return false;
      ++*lost;
      return true;
    };
  }
  world->client->Request(ports[0], "q2-0", false);
  world->client->Request(ports[1], "q2-1", false);
  Sleep(milliseconds(1500));
  for (std::size_t i = 2; i < ports.size(); ++i) {
    world->client->Request(ports[i], "q3-" + std::to_string(i), false);
  }
  Sleep(milliseconds(1500));
  return world->Verdict();
}

// A complete configuration with `routes` routes, each at an address of its own.
std::string BigConfigText(int version, int routes, std::uint32_t first_ip) {
  static const char* const kKinds[] = {"idempotent", "non_idempotent",
                                       "download"};
  static const char* const kPools[] = {"orders", "gallery"};
  static const int kPorts[] = {80, 443, 8080, 8443};
  static const int kTimeouts[] = {1500, 2000, 3000};
  std::mt19937 random(1);  // All versions have the same routes.
  std::string text = R"({"version":)" + std::to_string(version) +
                     R"(,"routes":[)";
  for (int i = 0; i < routes; ++i) {
    std::string name = "r-";
    for (int digit = 0; digit < 7; ++digit) {
      name += "0123456789abcdefghijklmnopqrstuvwxyz"[random() % 36];
    }
    const std::string ip =
        Address{first_ip + static_cast<std::uint32_t>(i), 0}.Text();
    const unsigned port = random() % 5 == 0
                              ? kPorts[random() % 4]
                              : 1024 + random() % 60000;
    // A change of a time-out tells the versions apart.
    const int timeout_ms = i == 0 ? 1000 + version : kTimeouts[random() % 3];
    text += i == 0 ? "" : ",";
    text += R"({"name":")" + name + R"(","hostname":")" +
            ip.substr(0, ip.find(':')) + R"(","pathPrefix":"/)" +
            std::to_string(port) + R"(/","type":")" + kKinds[random() % 3] +
            R"(","timeoutMs":)" + std::to_string(timeout_ms) +
            R"(,"targetLatencyMs":300,"priority":)" +
            std::to_string(1 + random() % 2) + R"(,"service":")" +
            kPools[random() % 2] + R"(","maxAttempts":2})";
  }
  return text + R"(],"services":[{"name":"orders","healthPath":"/health",)" +
         R"("maxConns":2000,"protocol":"h1","tls":false},{"name":"gallery",)" +
         R"("healthPath":"/health","maxConns":2000,"protocol":"h1",)" +
         R"("tls":false}],"limits":{"maxHeaderBytes":16384,)" +
         R"("maxBodyBytes":262144,"headerTimeoutMs":3000,)" +
         R"("idleTimeoutMs":15000}})";
}

// The operator: sends one order until it is acknowledged, to one node after
// the other, with increasing backoff. Returns whether it was acknowledged.
bool SendOrder(World* world, int version, const std::string& text, int node,
               Time end) {
  milliseconds backoff(100);
  for (int i = node; Clock::now() < end; ++i) {
    const int control = i % world->system.controls();
    const HttpAnswer answer = Call(world->system.ControlApi(control), "POST",
                                   "/config/replace", text, seconds(3));
    world->record.Line("version " + std::to_string(version) + " sent to " +
                       world->system.control(control).name + ": " +
                       std::to_string(answer.status));
    if (answer.status == 200) return true;
    Sleep(backoff);
    backoff = std::min<milliseconds>(backoff * 2, milliseconds(1600));
  }
  return false;
}

int VersionOf(const std::string& text) {
  const std::size_t at = text.find("\"version\":");
  return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + 10);
}

// Reads the configuration at one node after the other for `span`. Counts the
// answers, and those that are older than `newest`.
struct Reads {
  int answered = 0;
  int older = 0;
};
Reads ReadBack(World* world, int newest, seconds span) {
  constexpr int kEnough = 8;
  Reads reads;
  const Time end = Clock::now() + span;
  for (int i = 0; Clock::now() < end && reads.answered < kEnough; ++i) {
    const int control = i % world->system.controls();
    const HttpAnswer answer = Call(world->system.ControlApi(control), "GET",
                                   "/config/read", "", seconds(3));
    const int version = answer.status == 200 ? VersionOf(answer.body) : 0;
    world->record.Line("read at " + world->system.control(control).name + ": " +
                       std::to_string(answer.status) + ", version " +
                       std::to_string(version));
    if (answer.status == 200) ++reads.answered;
    if (answer.status == 200 && version < newest) ++reads.older;
    Sleep(milliseconds(200));
  }
  return reads;
}

// Many changes, of which up to eight are in progress at once, of a
// configuration that has grown to `grown_routes`. Without the trouble it has
// not grown.
int RunOrdersInProgress(World* world, bool has_trouble, int grown_routes) {
  constexpr int kSmallRoutes = 350;
  constexpr int kInProgress = 8;
  constexpr int kFirst = 10;
  constexpr int kLast = 130;
  const int routes = has_trouble ? grown_routes : kSmallRoutes;
  const auto make_text = [&](int version) {
    return BigConfigText(version, version == kFirst ? kSmallRoutes : routes,
                         world->system.Ip(10, 0));
  };
  System& system = world->system;
  system.Start(1, 4);
  Sleep(milliseconds(1000));
  world->record.Line("the configuration grows from " +
                     std::to_string(kSmallRoutes) + " to " +
                     std::to_string(routes) + " routes, " +
                     std::to_string(make_text(kLast).size()) + " bytes");
  const Time first_end = Clock::now() + seconds(10);
  if (!SendOrder(world, kFirst, make_text(kFirst), 0, first_end)) {
    throw std::runtime_error("the first configuration isn't acknowledged");
  }
  Sleep(kInTouch);
  std::atomic<int> newest{kFirst};
  std::atomic<int> next{kFirst};
  std::atomic<int> acknowledged{0};
  std::vector<std::thread> orders;
  const Time end = Clock::now() + seconds(40);
  for (int i = 0; i < kInProgress; ++i) {
    orders.emplace_back([&] {
      for (int version = ++next; version <= kLast; version = ++next) {
        if (!SendOrder(world, version, make_text(version), version, end)) {
          return;
        }
        ++acknowledged;
        int seen = newest;
        while (seen < version &&
               !newest.compare_exchange_weak(seen, version)) {
        }
      }
    });
  }
  for (std::thread& order : orders) order.join();
  world->record.Line("changes acknowledged: " + std::to_string(acknowledged) +
                     " of " + std::to_string(kLast - kFirst) +
                     ", newest version " + std::to_string(newest));
  // At the end of the day the operator reads for at least `contactMs`.
  const Reads reads = ReadBack(world, newest, seconds(15));
  world->record.Line("CONFIG: reads answered: " +
                     std::to_string(reads.answered) +
                     ", older than acknowledged: " +
                     std::to_string(reads.older));
  const bool is_broken = reads.answered == 0 || reads.older > 0;
  world->record.Line(is_broken ? "CONFIG is broken" : "CONFIG held");
  if (!is_broken) return kHeld;
  // Not part of the verdict: does a restart of all control processes help?
  for (int i = 0; i < system.controls(); ++i) {
    system.Signal(system.control(i), SIGKILL);
    system.Restart(&system.control(i));
  }
  Sleep(seconds(5));
  const Reads later = ReadBack(world, newest, seconds(6));
  world->record.Line("after a restart of all control processes, reads "
                     "answered: " +
                     std::to_string(later.answered));
  return kBroken;
}

// A core machine loses its disk right after a configuration was acknowledged
// and joins again. Later all control processes are killed at the same moment,
// right after a heartbeat was acknowledged, and another one loses its disk.
// Without the trouble the first disk isn't lost.
int RunSecondDisk(World* world, bool has_trouble) {
  constexpr int kVersion = 7;
  System& system = world->system;
  system.Start(1, 4);
  world->AddHost(0, 40);
  Sleep(kInTouch);
  if (!system.Configure(world->ConfigText(kVersion))) {
    throw std::runtime_error("the configuration isn't acknowledged");
  }
  if (has_trouble) system.LoseDisk(0);
  // The machine stops counting as lost `catchUpS` (4 s) after it is back.
  Sleep(seconds(12));
  Reads reads = ReadBack(world, kVersion, seconds(5));
  if (reads.answered < 8) throw std::runtime_error("no read before the fault");
  const int heartbeats = world->all_hosts[0]->acknowledged();
  const Time last = Clock::now() + seconds(3);
  while (world->all_hosts[0]->acknowledged() == heartbeats &&
         Clock::now() < last) {
    Sleep(milliseconds(1));
  }
  world->record.Line("final fault, right after a heartbeat was acknowledged");
  system.KillControls(1);
  // `recoveryS` is 12 s.
  Sleep(seconds(12));
  reads = ReadBack(world, kVersion, seconds(25));
  world->record.Line("CONFIG: reads answered after the final fault: " +
                     std::to_string(reads.answered));
  const bool is_broken = reads.answered == 0 || reads.older > 0;
  world->record.Line(is_broken ? "CONFIG is broken" : "CONFIG held");
  return is_broken ? kBroken : kHeld;
}

int Run(int argc, char** argv) {
  if (argc != 6) return kCouldNotRun;
  const std::string name = argv[1];
  const bool has_trouble = std::string(argv[5]) != "0";
  std::srand(static_cast<unsigned>(UnixMilliseconds()));
  World world(argv[2], argv[3], argv[4]);
  world.record.Line("case " + name + ", TROUBLE=" + argv[5]);
  try {
    if (name == "foreign-heartbeat") {
      return RunForeignHeartbeat(&world, has_trouble);
    }
    if (name == "lost-requests") return RunLostRequests(&world, has_trouble);
    if (name == "second-disk") return RunSecondDisk(&world, has_trouble);
    const std::string orders = "orders-in-progress-";
    if (name.rfind(orders, 0) == 0) {
      const int routes = std::atoi(name.c_str() + orders.size());
      return RunOrdersInProgress(&world, has_trouble, routes);
    }
  } catch (const std::exception& error) {
    world.record.Line(std::string("couldn't run: ") + error.what());
  }
  return kCouldNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  return review::Run(argc, argv);
}
