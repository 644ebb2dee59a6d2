#include "actors.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <optional>
#include <utility>

#include "big_endian.h"
#include "sardinelead/http_client.h"
#include "wire.h"

namespace sardinelead::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration kCallDeadline = std::chrono::seconds(1);
constexpr Duration kRequestDeadline = std::chrono::seconds(3);
constexpr Duration kAttempt = milliseconds(1400);
constexpr std::uint8_t kAnswerMark = 0xa5;

void Sleep(Duration duration) { std::this_thread::sleep_for(duration); }

Result<HttpAnswer> Call(std::uint32_t node, std::uint16_t port,
                        HttpMethod method, const std::string& path,
                        const std::string& body) {
  HttpCall call;
  call.method = method;
  call.path = path;
  call.body = body;
  call.deadline = kCallDeadline;
  return CallHttp({IpAddress::FromV4(node), port}, call);
}

Endpoint ServiceAt(std::uint32_t last, std::uint16_t port) {
  return {IpAddress::FromV4(0xc6120000 + last), port};
}
const Endpoint kNotes = ServiceAt(1, 8080);
const Endpoint kWatch = ServiceAt(1, 8443);
const Endpoint kPhotos = ServiceAt(2, 8443);
constexpr std::uint16_t kFirstExtraPort = 9000;
constexpr std::uint16_t kExtraRoutes = 6;

// The fixed routes and, by the version's bits, some that come and go.
std::map<Endpoint, std::string> RoutesOf(std::uint64_t version) {
  std::map<Endpoint, std::string> routes = {
      {kNotes, "orders"}, {kWatch, "orders"}, {kPhotos, "gallery"}};
  const std::uint64_t draw = HashCombine(version, 17);
  for (std::uint16_t i = 0; i < kExtraRoutes; ++i) {
    const auto service =
        ServiceAt(3, static_cast<std::uint16_t>(kFirstExtraPort + i));
    if ((draw >> i & 1) == 0) continue;
    routes[service] =
        (draw >> (i + kExtraRoutes) & 1) != 0 ? "orders" : "gallery";
  }
  return routes;
}

std::string ConfigText(std::uint64_t version) {
  json routes = json::array();
  for (const auto& [service, pool] : RoutesOf(version)) {
    routes.push_back(
        {{"name", "r-" + service.ToString()},
         {"hostname", service.address.ToString()},
         {"pathPrefix", "/" + std::to_string(service.port) + "/"},
         {"type", MayRepeat(service) ? "idempotent" : "non_idempotent"},
         {"timeoutMs", 3000},
         {"targetLatencyMs", 300},
         {"priority", 1},
         {"service", pool}});
  }
  const json root = {{"version", version},
                     {"routes", std::move(routes)},
                     {"services",
                      {{{"name", "orders"}, {"healthPath", "/health"}},
                       {{"name", "gallery"}, {"healthPath", "/health"}}}},
                     {"limits", {{"idleTimeoutMs", 15000}}}};
  return root.dump();
}

std::uint64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

}  // namespace

bool MayRepeat(const Endpoint& service) { return !(service == kNotes); }

std::vector<std::uint32_t> World::InRotation() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_in_rotation;
}
void World::SetInRotation(std::vector<std::uint32_t> edges) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_in_rotation = std::move(edges);
}
std::uint64_t World::TargetAt(const Endpoint& address) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_targets.find(address);
  return found == m_targets.end() ? 0 : found->second;
}
void World::SetTargetAt(const Endpoint& address, std::uint64_t number) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_targets[address] = number;
}

TargetActor::TargetActor(World* world, std::uint64_t number, std::string pool,
                         const Endpoint& address, std::string data_centre,
                         std::uint64_t seed)
    : m_world(world),
      m_number(number),
      m_pool(std::move(pool)),
      m_address(address),
      m_data_centre(std::move(data_centre)),
      m_random(seed),
      m_started_ms(UnixMs()) {
  world->SetTargetAt(address, number);
  m_server = std::thread([this] { Serve(); });
  m_announcer = std::thread([this] { Announce(); });
}

TargetActor::~TargetActor() {
  Crash();
  m_server.join();
  m_announcer.join();
}

void TargetActor::Crash() {
  m_world->ledger.OnTargetDown(m_number);
  m_is_down = true;
}
void TargetActor::Leave() { m_is_leaving = true; }

void TargetActor::Serve() {
  const UdpSocket socket(m_address);
  while (!m_is_down) {
    Endpoint source;
    const auto datagram = socket.Receive(milliseconds(20), &source);
    if (!datagram || datagram->size() < 8) continue;
    // Meant for the target that had this address before: not even looked at.
    if (LoadBig<std::uint64_t>(datagram->data()) != m_number) continue;
    bool is_whole = false;
    const auto packet = Packet::Decode(
        ByteView(datagram->data() + 8, datagram->size() - 8), &is_whole);
    if (!packet || !is_whole) {
      m_world->ledger.Break(
          "a target got a packet that its caller did not send");
      continue;
    }
    OnPacket(*packet, source.address.ToV4(), socket);
  }
}

void TargetActor::OnPacket(const Packet& packet, std::uint32_t edge,
                           const UdpSocket& socket) {
  Packet reply;
  reply.source = packet.destination;
  reply.destination = packet.source;
  reply.cookie = packet.cookie;
  const Endpoint to{packet.source.address, kPacketPort};
  const auto key = std::make_pair(packet.source, packet.destination);
  if ((packet.flags & kOpen) != 0) {
    const auto [found, is_new] = m_flows.try_emplace(key);
    Flow& flow = found->second;
    if (is_new) {
      flow.sequence = static_cast<std::uint32_t>(m_random());
      flow.next = packet.sequence + 1;
      m_world->ledger.OnOpened(m_number, m_pool, packet.destination, edge,
                               Now());
    }
    reply.flags = kOpen | kAcknowledge;
    reply.sequence = flow.sequence;
    reply.acknowledged = flow.next;
    return socket.Send(to, reply.Encode());
  }
  const auto found = m_flows.find(key);
  if (found == m_flows.end()) {
    reply.flags = kReset;
    reply.sequence = packet.acknowledged;
    return socket.Send(to, reply.Encode());
  }
  Flow& flow = found->second;
  const bool is_next = packet.sequence == flow.next && packet.data.size() >= 9;
  if (is_next) {
    const auto request = LoadBig<std::uint64_t>(packet.data.data());
    m_world->ledger.OnRun(request, m_number, packet.data[8] != 0);
    flow.next += static_cast<std::uint32_t>(packet.data.size());
    flow.answer = Bytes(packet.data.begin(), packet.data.begin() + 8);
    flow.answer.resize(100, kAnswerMark);
  }
  if (!packet.data.empty()) {
    reply.flags = kAcknowledge;
    reply.sequence = flow.sequence + 1;
    reply.acknowledged = flow.next;
    reply.data = flow.answer;
    socket.Send(to, reply.Encode());
  }
  if ((packet.flags & kFinish) == 0) return;
  reply.flags = kAcknowledge | kFinish;
  reply.data.clear();
  socket.Send(to, reply.Encode());
  m_flows.erase(found);
}

bool TargetActor::Say(const char* call, const char* state) {
  const json body = {{"service", m_pool},
                     {"address", m_address.ToString()},
                     {"zone", m_data_centre},
                     {"version", "v1"},
                     {"slots", 4},
                     {"state", state},
                     {"warmupLeftMs", 0},
                     {"sequence", ++m_sequence},
                     {"born", m_started_ms}};
  char id[24];
  std::snprintf(id, sizeof(id), "i-%010llx",
                static_cast<unsigned long long>(m_number));  // NOLINT
  const std::uint32_t control =
      m_world->controls[m_control % m_world->controls.size()];
  const auto answer = Call(control, kCallRelayPort, HttpMethod::kPost,
                           std::string("/instances/") + id + call, body.dump());
  const bool is_done = answer && answer->status == 200;
  if (!is_done) ++m_control;
  if (is_done && state == std::string("draining")) {
    m_world->ledger.OnDrainAcknowledged(m_number, control);
  }
  return is_done;
}

void TargetActor::Announce() {
  m_control = m_random();
  while (!m_is_down && !m_is_leaving) {
    const bool is_done = Say("/heartbeat", "ready");
    Sleep(is_done ? kHeartbeat : milliseconds(50));
  }
  TimePoint drained;
  while (!m_is_down && (drained == TimePoint{} || Now() < drained)) {
    const bool is_done = Say("/heartbeat", "draining");
    if (is_done && drained == TimePoint{}) {
      drained = Now() + kDrain + milliseconds(500);
    }
    Sleep(is_done ? kHeartbeat : milliseconds(50));
  }
  if (!m_is_down) Say("/deregister", "draining");
  m_world->ledger.OnTargetDown(m_number);
  m_is_down = true;
  m_has_ended = true;
}

namespace {

// One flow of a caller.
class CallerFlow {
 public:
  CallerFlow(World* world, const UdpSocket* socket, const Endpoint& caller,
             const Endpoint& service, std::mt19937_64* random)
      : m_world(world),
        m_socket(socket),
        m_caller(caller),
        m_service(service),
        m_sequence(static_cast<std::uint32_t>((*random)())) {}

  bool Open() {
    Packet syn = Make(kOpen);
    const TimePoint begin = Now();
    const Duration copies[] = {Duration{0}, milliseconds(200),
                               milliseconds(600)};
    for (std::uint32_t copy = 0; copy < 3; ++copy) {
      syn.acknowledged = copy;
      Send(syn);
      const Duration until = copy < 2 ? copies[copy + 1] : kAttempt;
      const auto answer = Wait(begin + until, kOpen, m_sequence + 1);
      if (m_is_reset || m_world->is_over) return false;
      if (!answer) continue;
      m_cookie = answer->cookie;
      m_sequence += 1;
      m_acknowledged = answer->sequence + 1;
      m_is_open = true;
      m_target = m_world->TargetAt(m_answered_by);
      Send(Make(kAcknowledge));
      return true;
    }
    return false;
  }

  // Whether the request was answered.
  bool Request(std::uint64_t request) {
    Packet packet = Make(kAcknowledge);
    packet.data.resize(9);
    StoreBig(request, packet.data.data());
    packet.data[8] = MayRepeat(m_service) ? 1 : 0;
    const TimePoint begin = Now();
    const TimePoint end = begin + kRequestDeadline;
    for (Duration wait = milliseconds(200); Now() < end && !m_world->is_over;
         wait *= 2) {
      packet.cookie = m_cookie;
      Send(packet);
      const auto answer =
          Wait(std::min(Now() + wait, end), kAcknowledge,
               m_sequence + static_cast<std::uint32_t>(packet.data.size()));
      if (m_is_reset) return false;
      if (!answer) continue;
      m_sequence += static_cast<std::uint32_t>(packet.data.size());
      m_acknowledged += static_cast<std::uint32_t>(answer->data.size());
      Check(request, *answer, Now() - begin > milliseconds(500));
      Packet acknowledge = Make(kAcknowledge);
      Send(acknowledge);
      return true;
    }
    return false;
  }

  void Finish() { Send(Make(kFinish | kAcknowledge)); }

 private:
  void Check(std::uint64_t request, const Packet& answer, bool was_late) {
    const bool has_id = answer.data.size() >= 8;
    const std::uint64_t answered =
        has_id ? LoadBig<std::uint64_t>(answer.data.data()) : 0;
    const bool is_whole =
        answer.data.size() == 100 &&
        std::all_of(answer.data.begin() + 8, answer.data.end(),
                    [](std::uint8_t b) { return b == kAnswerMark; });
    m_world->ledger.OnAnswer(request, answered, is_whole, was_late);
  }

  Packet Make(std::uint8_t flags) const {
    Packet packet;
    packet.source = m_caller;
    packet.destination = m_service;
    packet.flags = flags;
    packet.sequence = m_sequence;
    packet.acknowledged = m_acknowledged;
    packet.cookie = m_cookie;
    return packet;
  }

  void Send(const Packet& packet) {
    const auto edges = m_world->InRotation();
    if (edges.empty()) return;
    FlowKey key;
    key.caller = m_caller;
    key.service = m_service;
    const std::uint32_t edge = edges[key.Hash() % edges.size()];
    m_socket->Send({IpAddress::FromV4(edge), kPacketPort}, packet.Encode());
  }

  // A packet of this flow with `flag` that acknowledges `acknowledged`, and
  // with data unless it opens the flow.
  std::optional<Packet> Wait(TimePoint until, std::uint8_t flag,
                             std::uint32_t acknowledged) {
    while (Now() < until && !m_world->is_over) {
      Endpoint source;
      const auto bytes = m_socket->Receive(
          std::min<Duration>(until - Now(), milliseconds(20)), &source);
      if (!bytes) continue;
      bool is_whole = false;
      auto packet = Packet::Decode(*bytes, &is_whole);
      const bool is_own = packet && packet->destination == m_caller &&
                          packet->source == m_service;
      if (!is_own) continue;
      if ((packet->flags & kReset) != 0) {
        m_is_reset = true;
        if (!is_whole) OnBalancersReset(source.address.ToV4());
        return std::nullopt;
      }
      if (!is_whole) {
        m_world->ledger.Break("a caller got a packet that no target sent");
      }
      const bool is_answer = (packet->flags & flag) != 0 &&
                             packet->acknowledged == acknowledged &&
                             (flag == kOpen || !packet->data.empty());
      if (!is_answer) continue;
      m_answered_by = source;
      m_cookie = packet->cookie;
      return packet;
    }
    return std::nullopt;
  }

  void OnBalancersReset(std::uint32_t edge) {
    m_world->ledger.OnReset(m_target, m_is_open, edge, m_service,
                            m_caller.ToString() + " to " +
                                m_service.ToString() + " at target " +
                                m_answered_by.ToString());
  }

  World* m_world;
  const UdpSocket* m_socket;
  Endpoint m_caller;
  Endpoint m_service;
  std::uint32_t m_sequence;
  std::uint32_t m_acknowledged = 0;
  std::uint32_t m_cookie = 0;
  bool m_is_open = false;
  bool m_is_reset = false;
  Endpoint m_answered_by;      // Whoever sent the last packet taken.
  std::uint64_t m_target = 0;  // At which the flow opened.
};

// A service to call: mostly one that always has a route.
Endpoint DrawService(std::mt19937_64* random) {
  const Endpoint fixed[] = {kNotes, kWatch, kPhotos, kWatch};
  const std::uint64_t draw = (*random)();
  if (draw % 10 < 7) return fixed[draw / 10 % 4];
  const auto port =
      static_cast<std::uint16_t>(kFirstExtraPort + draw / 10 % kExtraRoutes);
  return ServiceAt(3, port);
}

}  // namespace

void RunCaller(World* world, std::uint32_t address, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const UdpSocket socket({IpAddress::FromV4(address), kPacketPort});
  std::uint16_t port = 1024;
  while (!world->is_over) {
    const Endpoint service = DrawService(&random);
    port = port >= 60'000 ? 1024 : static_cast<std::uint16_t>(port + 1);
    const bool is_owed = !(service.address == ServiceAt(3, 1).address);
    CallerFlow flow(world, &socket, {IpAddress::FromV4(address), port}, service,
                    &random);
    bool is_open = flow.Open();
    if (!is_open && is_owed && !world->is_over) world->ledger.OnFailed(0);
    const std::uint64_t requests = 1 + random() % 12;
    for (std::uint64_t i = 0; is_open && i < requests; ++i) {
      const std::uint64_t request = world->NextRequest();
      is_open = flow.Request(request);
      if (!is_open && is_owed && !world->is_over) {
        world->ledger.OnFailed(request);
      }
      Sleep(milliseconds(random() % 200));
    }
    if (is_open) flow.Finish();
    Sleep(milliseconds(20 + random() % 50));
  }
}

void RunRouters(World* world) {
  std::map<std::uint32_t, int> misses;
  while (!world->is_over) {
    std::vector<std::uint32_t> in_rotation;
    for (const std::uint32_t edge : world->edges) {
      HttpCall call;
      call.path = "/readiness";
      call.deadline = milliseconds(100);
      const auto answer =
          CallHttp({IpAddress::FromV4(edge), kReadinessPort}, call);
      const bool is_ready = answer && answer->status == 200;
      misses[edge] = is_ready ? 0 : misses[edge] + 1;
      if (misses[edge] < 2) in_rotation.push_back(edge);
    }
    if (in_rotation.size() * 2 < world->edges.size()) {
      in_rotation = world->edges;
    }
    world->SetInRotation(std::move(in_rotation));
    Sleep(milliseconds(300));
  }
}

bool SendConfig(World* world, std::uint64_t version, Duration limit,
                std::mt19937_64* random) {
  const std::string text = ConfigText(version);
  world->ledger.OnSent(version, text, RoutesOf(version));
  const TimePoint end = Now() + limit;
  while (Now() < end && !world->is_over) {
    const std::uint32_t control =
        world->controls[(*random)() % world->controls.size()];
    const auto answer = Call(control, kCallRelayPort, HttpMethod::kPost,
                             "/config/replace", text);
    if (answer && answer->status == 200) {
      world->ledger.OnAccepted(version);
      return true;
    }
    const bool is_refused = answer && answer->status / 100 == 4;
    if (is_refused) {
      world->ledger.Break("a valid configuration was refused: " + answer->body);
      return false;
    }
    Sleep(milliseconds(50));
  }
  return false;
}

void RunOperator(World* world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uint64_t version = 1;
  while (!world->is_over) {
    version += 1 + random() % 3;
    std::thread rival;
    if (random() % 3 == 0) {
      const std::uint64_t higher = ++version;
      rival = std::thread([world, higher, seed] {
        std::mt19937_64 own(seed + higher);
        SendConfig(world, higher, std::chrono::seconds(8), &own);
      });
      SendConfig(world, higher - 1, std::chrono::seconds(8), &random);
    } else {
      SendConfig(world, version, std::chrono::seconds(8), &random);
    }
    if (random() % 4 == 0) {
      const std::uint32_t control =
          world->controls[random() % world->controls.size()];
      const std::string half = ConfigText(version + 1).substr(0, 200);
      const auto answer = Call(control, kCallRelayPort, HttpMethod::kPost,
                               "/config/replace", half);
      if (answer && answer->status == 200) {
        world->ledger.Break("a configuration that was cut short was accepted");
      }
    }
    if (rival.joinable()) rival.join();
    Sleep(milliseconds(random() % 1500));
  }
}

std::uint64_t ReadConfig(World* world, std::uint32_t control) {
  const std::uint64_t newest = world->ledger.NewestAccepted();
  const auto answer =
      Call(control, kCallRelayPort, HttpMethod::kGet, "/config/read", "");
  if (!answer || answer->status != 200) return 0;
  const json body = json::parse(answer->body, nullptr, false);
  if (!body.is_object() || !body.contains("version")) {
    world->ledger.Break("a read gave no configuration: " + answer->body);
    return 0;
  }
  const std::uint64_t version = body["version"].get<std::uint64_t>();
  world->ledger.OnRead(newest, version, answer->body);
  return version;
}

void RunReader(World* world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!world->is_over) {
    ReadConfig(world, world->controls[random() % world->controls.size()]);
    Sleep(milliseconds(50 + random() % 200));
  }
}

}  // namespace sardinelead::soak
