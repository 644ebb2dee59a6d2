#include "actors.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <optional>
#include <utility>

#include "big_endian.h"
#include "clock.h"
#include "services.h"
#include "wire.h"

namespace sardinelead::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Retransmission of a target's answer to an opening packet, by the platform's
// protocol: after 200 ms, then after twice as long each time.
constexpr Duration kFirstRetransmission = milliseconds(200);
constexpr Duration kLongestRetransmission = milliseconds(1600);
constexpr int kMaxRetransmissions = 8;
// One opening packet in this many finds the target's process paused, and one
// pause in this many is a long one.
constexpr std::uint64_t kPauseInterval = 20;
constexpr std::uint64_t kLongPauseInterval = 20;
// The clock of a target's VM is right, or behind or ahead by this. The platform
// steps clocks by as much (`clock_step` of linaw-lb-large).
constexpr std::uint64_t kMaxClockErrorMs = 2400;

std::uint64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

// The time by the clock of one of the targets' VMs, which differ.
std::uint64_t UnixMsByOwnClock(std::mt19937_64* random) {
  return UnixMs() - kMaxClockErrorMs + (*random)() % 3 * kMaxClockErrorMs;
}

}  // namespace

std::vector<std::uint32_t> SoakState::InRotation() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_in_rotation;
}
void SoakState::SetInRotation(std::vector<std::uint32_t> edges) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_in_rotation = std::move(edges);
}
TargetStart SoakState::TargetAt(const Endpoint& address) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_targets.find(address);
  return found == m_targets.end() ? TargetStart{} : found->second;
}
void SoakState::SetTargetAt(const Endpoint& address, const TargetStart& start) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_targets[address] = start;
}

std::vector<std::pair<Endpoint, TargetStart>> SoakState::Targets() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return {m_targets.begin(), m_targets.end()};
}

TargetActor::TargetActor(SoakState* world, std::uint64_t number,
                         std::string pool, const Endpoint& address,
                         std::string data_centre, std::uint64_t seed)
    : m_state(world),
      m_start{world->NextStart(), number},
      m_pool(std::move(pool)),
      m_address(address),
      m_data_centre(std::move(data_centre)),
      m_random(seed),
      m_started_ms(UnixMsByOwnClock(&m_random)) {
  world->SetTargetAt(address, m_start);
  m_server = std::thread([this] { Serve(); });
  m_announcer = std::thread([this] { Announce(); });
}

TargetActor::~TargetActor() {
  Crash();
  m_server.join();
  m_announcer.join();
}

void TargetActor::Crash() {
  m_state->ledger.OnTargetDown(m_start.id);
  m_is_down = true;
}
void TargetActor::Leave() { m_is_leaving = true; }

void TargetActor::Serve() {
  {
    const UdpSocket socket(m_address);
    while (!m_is_down) ServeOnce(socket);
  }
  m_has_ended = true;
}

void TargetActor::ServeOnce(const UdpSocket& socket) {
  Endpoint source;
  auto datagram =
      socket.Receive(milliseconds(m_held.empty() ? 20 : 1), &source);
  if (!datagram && m_held.empty()) m_read_all_at = SteadyNow();
  RetransmitOpeningAnswers(socket);
  if (datagram) Hold(source.address.ToV4(), *std::move(datagram));
  while (!m_is_down && !m_held.empty() &&
         m_held.begin()->first <= SteadyNow()) {
    const auto held = m_held.extract(m_held.begin());
    OnDatagram(held.mapped().first, held.mapped().second, socket);
  }
}

void TargetActor::Hold(std::uint32_t edge, Bytes datagram) {
  const auto link = m_state->links.find(edge);
  if (link == m_state->links.end()) return;
  const auto passes_at = link->second.Pass(
      datagram.size(), m_state->link_bytes_per_second, SteadyNow());
  if (!passes_at) return m_state->ledger.OnLostAtLink();
  m_held.emplace(*passes_at, std::make_pair(edge, std::move(datagram)));
}

void TargetActor::OnDatagram(std::uint32_t edge, const Bytes& datagram,
                             const UdpSocket& socket) {
  if (datagram.size() < 8) return;
  bool is_whole = false;
  const auto packet = Packet::Decode(
      ByteView(datagram.data() + 8, datagram.size() - 8), &is_whole);
  if (!packet || !is_whole) {
    return m_state->ledger.AddViolation(
        "a target got a packet that its caller did not send");
  }
  if (LoadBigEndian<std::uint64_t>(datagram.data()) == m_start.number) {
    return OnPacket(*packet, edge, socket);
  }
  // Addressed to another target, such as an earlier one at this address.
  if ((packet->flags & kOpen) != 0) return;
  m_state->ledger.OnStrayPacket({packet->source, packet->destination});
}

// The process gets no processor for a while. All that it would do waits.
void TargetActor::PauseAtTimes() {
  const bool is_paused =
      m_state->do_targets_pause && m_random() % kPauseInterval == 0;
  if (!is_paused) return;
  const bool is_long = m_random() % kLongPauseInterval == 0;
  m_state->ledger.OnPaused(m_start.id);
  Sleep(
      milliseconds(is_long ? 700 + m_random() % 1800 : 60 + m_random() % 100));
  m_state->ledger.OnContinued(m_start.id);
}

// An opening answer that the caller does not acknowledge is sent again, also
// where the caller has opened the flow at another target.
void TargetActor::RetransmitOpeningAnswers(const UdpSocket& socket) {
  const TimePoint now = SteadyNow();
  for (auto& [key, flow] : m_flows) {
    const bool is_due = !flow.is_open && now >= flow.retransmit_at &&
                        flow.retransmissions < kMaxRetransmissions;
    if (!is_due) continue;
    socket.Send({key.first.address, kPacketPort}, flow.opening_answer);
    ++flow.retransmissions;
    flow.retransmission_wait =
        std::min(flow.retransmission_wait * 2, kLongestRetransmission);
    flow.retransmit_at = now + flow.retransmission_wait;
  }
}

void TargetActor::OnOpening(const Packet& packet, std::uint32_t edge,
                            const UdpSocket& socket) {
  const auto [found, is_new] =
      m_flows.try_emplace(std::make_pair(packet.source, packet.destination));
  Flow& flow = found->second;
  if (is_new) {
    flow.sequence = static_cast<std::uint32_t>(m_random());
    flow.next = packet.sequence + 1;
    m_state->ledger.OnOpened(m_start.id, m_pool, packet.destination, edge,
                             SteadyNow());
    m_state->ledger.OnNewFlow(m_data_centre, edge, m_read_all_at);
  }
  PauseAtTimes();
  if (m_is_down) return;
  Packet reply;
  reply.source = packet.destination;
  reply.destination = packet.source;
  reply.cookie = packet.cookie;
  reply.flags = kOpen | kAcknowledge;
  reply.sequence = flow.sequence;
  reply.acknowledged = flow.next;
  flow.opening_answer = reply.Encode();
  flow.retransmission_wait = kFirstRetransmission;
  flow.retransmit_at = SteadyNow() + kFirstRetransmission;
  socket.Send({packet.source.address, kPacketPort}, flow.opening_answer);
}

void TargetActor::OnPacket(const Packet& packet, std::uint32_t edge,
                           const UdpSocket& socket) {
  if ((packet.flags & kOpen) != 0) return OnOpening(packet, edge, socket);
  Packet reply;
  reply.source = packet.destination;
  reply.destination = packet.source;
  reply.cookie = packet.cookie;
  const Endpoint to{packet.source.address, kPacketPort};
  const auto found =
      m_flows.find(std::make_pair(packet.source, packet.destination));
  // The flow opens at the target whose sequence number the caller acknowledges.
  const bool is_held = found != m_flows.end() &&
                       (found->second.is_open ||
                        packet.acknowledged == found->second.sequence + 1);
  if (!is_held) {
    reply.flags = kReset;
    reply.sequence = packet.acknowledged;
    return socket.Send(to, reply.Encode());
  }
  Flow& flow = found->second;
  flow.is_open = true;
  m_state->ledger.OnOwnPacket(found->first, m_start.id);
  const bool is_next = packet.sequence == flow.next && packet.data.size() >= 9;
  if (is_next) {
    const auto request = LoadBigEndian<std::uint64_t>(packet.data.data());
    m_state->ledger.OnRun(request, m_start.id, packet.data[8] != 0);
    flow.next += static_cast<std::uint32_t>(packet.data.size());
    flow.answer = Bytes(packet.data.begin(), packet.data.begin() + 8);
    flow.answer.resize(kAnswerBytes, kAnswerFill);
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

bool TargetActor::PostInstance(const char* call, const char* state) {
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
                static_cast<unsigned long long>(m_start.number));  // NOLINT
  const std::uint32_t control =
      m_state->controls[m_control % m_state->controls.size()];
  const auto answer = CallControl(
      control, HttpMethod::kPost, std::string("/instances/") + id + call,
      call == std::string("/deregister") ? "" : body.dump());
  const bool is_done = answer && answer->status == 200;
  if (!is_done) ++m_control;
  if (is_done && state == std::string("draining")) {
    m_state->ledger.OnDrainAcknowledged(m_start.id, control);
  }
  return is_done;
}

void TargetActor::Announce() {
  m_control = m_random();
  while (!m_is_down && !m_is_leaving) {
    const bool is_done = PostInstance("/heartbeat", "ready");
    Sleep(is_done ? kHeartbeat : milliseconds(50));
  }
  TimePoint drained;
  while (!m_is_down && (drained == TimePoint{} || SteadyNow() < drained)) {
    const bool is_done = PostInstance("/heartbeat", "draining");
    if (is_done && drained == TimePoint{}) {
      drained = SteadyNow() + kDrainLimit + milliseconds(500);
    }
    Sleep(is_done ? kHeartbeat : milliseconds(50));
  }
  if (!m_is_down) PostInstance("/deregister", "draining");
  m_state->ledger.OnTargetDown(m_start.id);
  m_is_down = true;
}

}  // namespace sardinelead::soak
