#include "client.h"

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCopies[] = {milliseconds(200), milliseconds(600),
                                    milliseconds(1400)};
constexpr auto kFirstRetransmission = milliseconds(200);
constexpr auto kMaxRetransmission = milliseconds(1600);
constexpr auto kDeadline = milliseconds(2000);
constexpr std::size_t kBodyBytes = 700;

}  // namespace

Client::Client(std::uint32_t ip, System* system, Record* record)
    : m_ip(ip),
      m_system(system),
      m_record(record),
      m_socket({ip, kPacketPort}),
      m_thread([this] { Run(); }) {}

Client::~Client() {
  m_is_over = true;
  m_thread.join();
}

Packet Client::Make(std::uint16_t port, const Flow& flow,
                    std::uint8_t flags) const {
  Packet packet;
  packet.source = {m_ip, port};
  packet.destination = flow.service;
  packet.flags = flags;
  packet.seq = flow.next;
  packet.ack = flow.expected;
  packet.echo = flow.echo;
  return packet;
}

void Client::Send(const Packet& packet) {
  m_socket.Send(m_system->RouteFlow(packet.source, packet.destination),
                packet.Encode());
}

void Client::Open(std::uint16_t port, const Address& service) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Flow& flow = m_flows[port];
  flow = Flow{};
  flow.service = service;
  flow.next = static_cast<std::uint32_t>(std::rand());
  flow.opened_at = Clock::now();
  m_record->Line("client " + Address{m_ip, port}.Text() + " opens a flow to " +
                 service.Text());
  Send(Make(port, flow, kSyn));
}

bool Client::IsOpen(std::uint16_t port) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_flows.find(port);
  return found != m_flows.end() && found->second.is_open &&
         !found->second.has_ended;
}

Address Client::HostOf(std::uint16_t port) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_flows.find(port);
  return found == m_flows.end() ? Address{} : found->second.host;
}

void Client::Request(std::uint16_t port, const std::string& id,
                     bool may_repeat) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Flow& flow = m_flows[port];
  m_results.push_back({id, RequestState::kWaiting});
  if (!flow.is_open || flow.has_ended) {
    m_record->Line("request " + id + " isn't sent: its flow has ended");
    m_results.back().state = RequestState::kBroken;
    return;
  }
  flow.request = m_results.size() - 1;
  flow.input.clear();
  flow.sent = Make(port, flow, kAck);
  flow.sent.data = std::string(may_repeat ? "GET" : "POST") +
                   " /notes HTTP/1.1\r\nHost: notes\r\nRequest-Id: " + id +
                   "\r\nContent-Length: " + std::to_string(kBodyBytes) +
                   "\r\n\r\n" + std::string(kBodyBytes, 'q');
  flow.next += static_cast<std::uint32_t>(flow.sent.data.size());
  flow.is_acknowledged = false;
  flow.interval = kFirstRetransmission;
  flow.due = Clock::now() + flow.interval;
  flow.deadline = Clock::now() + kDeadline;
  m_record->Line("request " + id + " sent from " + Address{m_ip, port}.Text() +
                 " through edge " +
                 std::to_string(m_system->EdgeOf({m_ip, port}, flow.service) +
                                1));
  Send(flow.sent);
}

std::vector<RequestResult> Client::Results() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_results;
}

std::vector<ResetSeen> Client::Resets() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_resets;
}

void Client::Run() {
  while (!m_is_over) {
    Address from;
    const auto datagram = m_socket.Receive(2, &from);
    const std::lock_guard<std::mutex> lock(m_mutex);
    RunTimers();
    if (!datagram) continue;
    bool is_sealed = false;
    const auto packet = Packet::Decode(*datagram, &is_sealed);
    if (!packet) continue;
    if (is_lost && is_lost(*packet)) {
      m_record->Line("the network loses a packet from host " + from.Text() +
                     " to client " + packet->destination.Text() + ", flags " +
                     std::to_string(packet->flags));
      continue;
    }
    OnPacket(*packet, is_sealed, from);
  }
}

void Client::OnPacket(const Packet& packet, bool is_sealed,
                      const Address& from) {
  const std::uint16_t port = packet.destination.port;
  const auto found = m_flows.find(port);
  const bool is_own = found != m_flows.end() &&
                      packet.destination.ip == m_ip &&
                      packet.source == found->second.service;
  if (!is_own || found->second.has_ended) return;
  Flow& flow = found->second;
  const std::string name = "client " + Address{m_ip, port}.Text();
  const bool is_system_reset = packet.flags == kRst && packet.sum == 0;
  if (!is_sealed && !is_system_reset) {
    m_record->Line(name + " got a packet that its sender didn't write so");
    return;
  }
  if ((packet.flags & kRst) != 0) {
    m_record->Line(name + " gets an RST from " +
                   (is_system_reset ? "the system" : "a host") + " at " +
                   from.Text() +
                   (flow.is_open ? "; its flow is open at host " +
                                       flow.host.Text()
                                 : "; its flow isn't open"));
    m_resets.push_back({port, flow.is_open, is_system_reset, from, flow.host});
    flow.has_ended = true;
    Finish(&flow, RequestState::kBroken);
    return;
  }
  // PROTOCOL.md: "place in their own packets the last echo that they received
  // on a flow".
  flow.echo = packet.echo;
  if ((packet.flags & kSyn) != 0) {
    const bool is_answer = (packet.flags & kAck) != 0 &&
                           packet.ack == flow.next + 1 && !flow.is_open;
    if (!is_answer) return;
    flow.is_open = true;
    flow.host = from;
    flow.next += 1;
    flow.expected = packet.seq + 1;
    m_record->Line(name + ": flow open at host " + from.Text());
    Send(Make(port, flow, kAck));
    return;
  }
  const bool is_acknowledged =
      flow.request && static_cast<std::int32_t>(packet.ack - flow.next) >= 0;
  flow.is_acknowledged = flow.is_acknowledged || is_acknowledged;
  if (packet.data.empty()) return;
  if (packet.seq == flow.expected) {
    flow.expected += static_cast<std::uint32_t>(packet.data.size());
    flow.input += packet.data;
  }
  Send(Make(port, flow, kAck));
  CheckAnswer(&flow);
}

void Client::CheckAnswer(Flow* flow) {
  const std::size_t end = flow->input.find("\r\n\r\n");
  if (!flow->request || end == std::string::npos) return;
  const std::size_t at = flow->input.find("Content-Length: ");
  const auto length =
      static_cast<std::size_t>(std::atoll(flow->input.c_str() + at + 16));
  if (flow->input.size() < end + 4 + length) return;
  const std::string& id = m_results[*flow->request].id;
  const bool is_own =
      flow->input.find("Request-Id: " + id + "\r\n") != std::string::npos;
  Finish(flow, is_own ? RequestState::kAnswered : RequestState::kWrong);
}

void Client::Finish(Flow* flow, RequestState state) {
  if (!flow->request) return;
  RequestResult& result = m_results[*flow->request];
  result.state = state;
  const char* const names[] = {"waits", "is answered", "gets a wrong answer",
                               "is broken off", "isn't answered in time"};
  m_record->Line("request " + result.id + " " +
                 names[static_cast<int>(state)]);
  flow->request.reset();
}

void Client::RunTimers() {
  const Time now = Clock::now();
  for (auto& [port, flow] : m_flows) {
    if (flow.has_ended) continue;
    if (!flow.is_open) {
      if (now < flow.opened_at + kCopies[flow.copies]) continue;
      if (flow.copies == 2) {
        flow.has_ended = true;
        m_record->Line("client " + Address{m_ip, port}.Text() +
                       ": no answer to the SYN");
        continue;
      }
      ++flow.copies;
      Packet syn = Make(port, flow, kSyn);
      syn.ack = static_cast<std::uint32_t>(flow.copies);
      syn.echo = 0;
      Send(syn);
      continue;
    }
    if (!flow.request) continue;
    if (now >= flow.deadline) {
      Finish(&flow, RequestState::kLate);
      flow.has_ended = true;
      continue;
    }
    if (flow.is_acknowledged || now < flow.due) continue;
    flow.interval = std::min<milliseconds>(flow.interval * 2,
                                           kMaxRetransmission);
    flow.due = now + flow.interval;
    flow.sent.echo = flow.echo;
    flow.sent.ack = flow.expected;
    Send(flow.sent);
  }
}

}  // namespace review
