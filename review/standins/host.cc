#include "host.h"

#include <cstdio>
#include <cstdlib>

#include "http.h"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr auto kHeartbeat = milliseconds(770);
constexpr auto kFirstRetransmission = milliseconds(200);
constexpr auto kMaxRetransmission = milliseconds(1600);
constexpr int kMaxTries = 8;
constexpr std::size_t kBodyBytes = 600;

std::string HexId(std::uint64_t id) {
  char text[32];
  std::snprintf(text, sizeof(text), "i-%08llx",
                static_cast<unsigned long long>(id));
  return text;
}

// The value of a header of the request at the start of `input`.
std::string HeaderOf(const std::string& input, const std::string& name) {
  const std::size_t at = input.find(name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 2;
  return input.substr(begin, input.find("\r\n", begin) - begin);
}

// Removes the first complete request from `input` and returns its id.
std::string TakeRequest(std::string* input) {
  const std::size_t end = input->find("\r\n\r\n");
  if (end == std::string::npos) return "";
  const auto length = static_cast<std::size_t>(
      std::atoll(HeaderOf(*input, "Content-Length").c_str()));
  if (input->size() < end + 4 + length) return "";
  const std::string id = HeaderOf(*input, "Request-Id");
  input->erase(0, end + 4 + length);
  return id;
}

}  // namespace

std::uint64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

std::string HeartbeatText(const std::string& service, const Address& address,
                          const std::string& zone, std::uint64_t sequence,
                          std::uint64_t born) {
  return R"({"service":")" + service + R"(","address":")" + address.Text() +
         R"(","zone":")" + zone +
         R"(","version":"v1","slots":3,"state":"ready","warmupLeftMs":0,)" +
         R"("sequence":)" + std::to_string(sequence) + R"(,"born":)" +
         std::to_string(born) + "}";
}

Host::Host(const HostSettings& settings, System* system, Record* record)
    : m_settings(settings),
      m_system(system),
      m_record(record),
      m_born(UnixMilliseconds()),
      m_random(std::random_device{}()),
      m_socket(settings.address) {
  m_server = std::thread([this] { Serve(); });
  m_announcer = std::thread([this] { Announce(); });
}

Host::~Host() {
  m_is_over = true;
  m_server.join();
  m_announcer.join();
}

std::string Host::Name() const { return "host " + HexId(m_settings.id); }

std::vector<std::string> Host::Runs() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_runs;
}

void Host::Announce() {
  const int controls = m_system->controls();
  int control = static_cast<int>(m_settings.id) % controls;
  for (std::uint64_t sequence = 1; !m_is_over; ++sequence) {
    const HttpAnswer answer =
        Call(m_system->ControlApi(control), "POST",
             "/instances/" + HexId(m_settings.id) + "/heartbeat",
             HeartbeatText(m_settings.service, m_settings.address,
                           m_settings.zone, sequence, m_born));
    const bool is_acknowledged = answer.status / 100 == 2;
    if (is_acknowledged) ++m_acknowledged;
    if (is_acknowledged && !m_is_known) {
      m_record->Line(Name() + " of " + m_settings.service + " at " +
                     m_settings.address.Text() +
                     ": first heartbeat acknowledged, born " +
                     std::to_string(m_born));
    }
    m_is_known = m_is_known || is_acknowledged;
    if (!is_acknowledged) control = (control + 1) % controls;
    const Time next = Clock::now() + kHeartbeat;
    while (is_acknowledged && !m_is_over && Clock::now() < next) {
      std::this_thread::sleep_for(milliseconds(10));
    }
  }
}

void Host::Serve() {
  while (!m_is_over) {
    Address from;
    const auto datagram = m_socket.Receive(2, &from);
    RunTimers();
    if (!datagram || datagram->size() < 8) continue;
    std::uint64_t id = 0;
    for (int i = 0; i < 8; ++i) {
      id = id << 8 | static_cast<std::uint8_t>((*datagram)[i]);
    }
    const bool is_for_this_host = id == m_settings.id || id == 0;
    if (!is_for_this_host) continue;
    bool is_sealed = false;
    const auto packet = Packet::Decode(datagram->substr(8), &is_sealed);
    if (!packet || !is_sealed) {
      m_record->Line(Name() + " got a packet that its sender didn't write so");
      continue;
    }
    if (is_lost && is_lost(*packet)) {
      m_record->Line("the network loses a packet from " +
                     packet->source.Text() + " to " + Name() + ", seq " +
                     std::to_string(packet->seq) + ", " +
                     std::to_string(packet->data.size()) + " bytes");
      continue;
    }
    OnPacket(*packet);
  }
}

Packet Host::Make(const Key& key, const Flow& flow, std::uint8_t flags) const {
  Packet packet;
  packet.source = key.second;
  packet.destination = key.first;
  packet.flags = flags;
  packet.seq = flow.next;
  packet.ack = flow.expected;
  packet.echo = flow.echo;
  return packet;
}

void Host::SendToClient(const Packet& packet) {
  m_socket.Send({packet.destination.ip, kPacketPort}, packet.Encode());
}

void Host::SendReliably(Flow* flow, const Packet& packet, std::uint32_t end) {
  SendToClient(packet);
  Unacknowledged sent;
  sent.packet = packet;
  sent.end = end;
  sent.interval = kFirstRetransmission;
  sent.due = Clock::now() + sent.interval;
  flow->unacknowledged.push_back(std::move(sent));
}

void Host::OnPacket(const Packet& packet) {
  const Key key{packet.source, packet.destination};
  auto found = m_flows.find(key);
  if ((packet.flags & kSyn) != 0) {
    if (found != m_flows.end()) {
      SendToClient(found->second.unacknowledged.empty()
                       ? Make(key, found->second, kAck)
                       : found->second.unacknowledged.front().packet);
      return;
    }
    Flow flow;
    flow.first = static_cast<std::uint32_t>(m_random());
    flow.next = flow.first;
    flow.expected = packet.seq + 1;
    flow.echo = packet.echo;
    const Packet answer = Make(key, flow, kSyn | kAck);
    flow.next += 1;
    m_record->Line(Name() + " answers the SYN of " + packet.source.Text());
    SendReliably(&flow, answer, flow.next);
    m_flows.emplace(key, std::move(flow));
    return;
  }
  const bool is_held =
      found != m_flows.end() &&
      (found->second.is_open || packet.ack == found->second.first + 1);
  if (!is_held) {
    if ((packet.flags & kRst) != 0) return;
    m_record->Line(Name() + " sends an RST to " + packet.source.Text() +
                   ": it doesn't hold the flow");
    Flow none;
    none.next = packet.ack;
    none.expected = packet.seq;
    none.echo = packet.echo;
    SendToClient(Make(key, none, kRst));
    return;
  }
  Flow& flow = found->second;
  if (!flow.is_open) {
    flow.is_open = true;
    m_record->Line(Name() + ": the flow of " + packet.source.Text() +
                   " is open");
  }
  if ((packet.flags & kRst) != 0) {
    m_flows.erase(found);
    return;
  }
  flow.echo = packet.echo;
  auto& waiting = flow.unacknowledged;
  while (!waiting.empty() &&
         static_cast<std::int32_t>(packet.ack - waiting.front().end) >= 0) {
    waiting.pop_front();
  }
  OnData(key, &flow, packet);
  if ((packet.flags & kFin) == 0) return;
  flow.expected += 1;
  SendToClient(Make(key, flow, kFin | kAck));
  m_flows.erase(found);
}

void Host::OnData(const Key& key, Flow* flow, const Packet& packet) {
  if (packet.data.empty()) return;
  if (packet.seq == flow->expected) {
    flow->expected += static_cast<std::uint32_t>(packet.data.size());
    flow->input += packet.data;
  }
  SendToClient(Make(key, *flow, kAck));
  for (std::string id = TakeRequest(&flow->input); !id.empty();
       id = TakeRequest(&flow->input)) {
    m_record->Line(Name() + " runs request " + id);
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_runs.push_back(id);
    }
    m_working.push_back(
        {key, id, Clock::now() + milliseconds(m_settings.work_ms)});
  }
}

void Host::Answer(const Work& work) {
  const auto found = m_flows.find(work.key);
  if (found == m_flows.end()) return;
  Flow& flow = found->second;
  Packet packet = Make(work.key, flow, kAck);
  packet.data = "HTTP/1.1 200 OK\r\nRequest-Id: " + work.id +
                "\r\nResponse-Seal: " + HexId(m_settings.id) +
                "\r\nContent-Length: " + std::to_string(kBodyBytes) +
                "\r\n\r\n" + std::string(kBodyBytes, 'n');
  flow.next += static_cast<std::uint32_t>(packet.data.size());
  SendReliably(&flow, packet, flow.next);
}

void Host::RunTimers() {
  const Time now = Clock::now();
  while (!m_working.empty() && m_working.front().done <= now) {
    Answer(m_working.front());
    m_working.pop_front();
  }
  for (auto it = m_flows.begin(); it != m_flows.end();) {
    Flow& flow = it->second;
    bool has_given_up = false;
    for (Unacknowledged& sent : flow.unacknowledged) {
      if (now < sent.due) continue;
      has_given_up = has_given_up || sent.tries >= kMaxTries;
      if (has_given_up) break;
      ++sent.tries;
      sent.interval = std::min<milliseconds>(sent.interval * 2,
                                             kMaxRetransmission);
      sent.due = now + sent.interval;
      SendToClient(sent.packet);
    }
    it = has_given_up ? m_flows.erase(it) : std::next(it);
  }
}

}  // namespace review
