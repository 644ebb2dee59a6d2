// Callers: flows of several requests, retransmitted as the platform specifies.

#include <algorithm>
#include <optional>
#include <random>

#include "actors.h"
#include "big_endian.h"
#include "clock.h"
#include "services.h"
#include "wire.h"

namespace sardinelead::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kRequestDeadline = std::chrono::seconds(3);
constexpr Duration kAttempt = milliseconds(1400);

class CallerFlow {
 public:
  CallerFlow(SoakState* world, const UdpSocket* socket, const Endpoint& caller,
             const Endpoint& service, std::mt19937_64* random)
      : m_state(world),
        m_socket(socket),
        m_caller(caller),
        m_service(service),
        m_sequence(static_cast<std::uint32_t>((*random)())) {}

  bool Open() {
    Packet syn = Make(kOpen);
    const TimePoint begin = SteadyNow();
    const Duration copies[] = {Duration{0}, milliseconds(200),
                               milliseconds(600)};
    for (std::uint32_t copy = 0; copy < 3; ++copy) {
      syn.acknowledged = copy;
      Send(syn);
      const Duration until = copy < 2 ? copies[copy + 1] : kAttempt;
      const auto answer = Wait(begin + until, kOpen, m_sequence + 1);
      if (m_is_reset || m_state->is_over) return false;
      if (!answer) continue;
      m_sequence += 1;
      m_acknowledged = answer->sequence + 1;
      m_is_open = true;
      m_opened_at = m_answered_by;
      m_target = m_state->TargetAt(m_opened_at).id;
      Send(Make(kAcknowledge));
      return true;
    }
    return false;
  }

  // Returns whether the request was answered.
  bool Request(std::uint64_t request) {
    Packet packet = Make(kAcknowledge);
    packet.data.resize(m_service == PhotosService() ? kLargeRequest : 9);
    StoreBigEndian(request, packet.data.data());
    packet.data[8] = IsIdempotent(m_service) ? 1 : 0;
    const TimePoint begin = SteadyNow();
    const TimePoint end = begin + kRequestDeadline;
    for (Duration wait = milliseconds(200);
         SteadyNow() < end && !m_state->is_over; wait *= 2) {
      packet.cookie = m_cookie;
      Send(packet);
      const auto answer =
          Wait(std::min(SteadyNow() + wait, end), kAcknowledge,
               m_sequence + static_cast<std::uint32_t>(packet.data.size()));
      if (m_is_reset) return false;
      if (!answer) continue;
      m_sequence += static_cast<std::uint32_t>(packet.data.size());
      m_acknowledged += static_cast<std::uint32_t>(answer->data.size());
      Check(request, *answer, SteadyNow() - begin);
      Packet acknowledge = Make(kAcknowledge);
      Send(acknowledge);
      return true;
    }
    return false;
  }

  // Makes no request for `span`, but still receives. Returns whether the flow
  // is still open.
  bool Idle(Duration span) {
    constexpr std::uint8_t kNoFlag = 0;  // No packet is waited for.
    Wait(SteadyNow() + span, kNoFlag, 0);
    return !m_is_reset;
  }

  void Finish() { Send(Make(kFinish | kAcknowledge)); }

 private:
  void Check(std::uint64_t request, const Packet& answer, Duration waited) {
    const bool has_id = answer.data.size() >= 8;
    const std::uint64_t answered =
        has_id ? LoadBigEndian<std::uint64_t>(answer.data.data()) : 0;
    const bool is_whole =
        answer.data.size() == kAnswerBytes &&
        std::all_of(answer.data.begin() + 8, answer.data.end(),
                    [](std::uint8_t b) { return b == kAnswerFill; });
    m_state->ledger.OnAnswer(request, answered, is_whole,
                             waited > milliseconds(500));
    if (!IsExtra(m_service)) m_state->ledger.OnWaited(waited);
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
    const auto edges = m_state->InRotation();
    if (edges.empty()) return;
    FlowKey key;
    key.caller = m_caller;
    key.service = m_service;
    const std::uint32_t edge = edges[key.Hash() % edges.size()];
    m_socket->Send({IpAddress::FromV4(edge), kPacketPort}, packet.Encode());
  }

  // Waits for a packet of this flow that has `flag`, acknowledges
  // `acknowledged` and, unless it opens the flow, carries data.
  std::optional<Packet> Wait(TimePoint until, std::uint8_t flag,
                             std::uint32_t acknowledged) {
    while (SteadyNow() < until && !m_state->is_over) {
      Endpoint source;
      const auto bytes = m_socket->Receive(
          std::min<Duration>(until - SteadyNow(), milliseconds(20)), &source);
      if (!bytes) continue;
      bool is_whole = false;
      auto packet = Packet::Decode(*bytes, &is_whole);
      const bool is_own = packet && packet->destination == m_caller &&
                          packet->source == m_service;
      if (!is_own) continue;
      // A caller returns the last cookie that it received on the flow, whoever
      // sent it.
      if (packet->cookie != 0) m_cookie = packet->cookie;
      if ((packet->flags & kReset) != 0) {
        m_is_reset = true;
        if (is_whole) {
          OnTargetsReset(source);
        } else {
          OnBalancersReset(source.address.ToV4());
        }
        return std::nullopt;
      }
      if (!is_whole) {
        m_state->ledger.AddViolation(
            "a caller got a packet that no target sent");
      }
      const bool is_answer = (packet->flags & flag) != 0 &&
                             packet->acknowledged == acknowledged &&
                             (flag == kOpen || !packet->data.empty());
      if (!is_answer) continue;
      m_answered_by = source;
      return packet;
    }
    return std::nullopt;
  }

  std::string Describe() const {
    return m_caller.ToString() + " to " + m_service.ToString() + " at target " +
           m_opened_at.ToString();
  }

  void OnBalancersReset(std::uint32_t edge) {
    m_state->ledger.OnReset(m_target, m_is_open, edge, Describe());
  }

  void OnTargetsReset(const Endpoint& sender) {
    if (!m_is_open || sender == m_opened_at) return;
    m_state->ledger.OnResetByOtherTarget(
        m_target, Describe() + ", reset by " + sender.ToString());
  }

  SoakState* m_state;
  const UdpSocket* m_socket;
  Endpoint m_caller;
  Endpoint m_service;
  std::uint32_t m_sequence;
  std::uint32_t m_acknowledged = 0;
  std::uint32_t m_cookie = 0;
  bool m_is_open = false;
  bool m_is_reset = false;
  Endpoint m_answered_by;      // Source of the last accepted packet.
  Endpoint m_opened_at;        // Address of the target the flow opened at.
  std::uint64_t m_target = 0;  // The id of that target's start.
};

// Picks a random service; 70% of the picks always have a route.
Endpoint PickService(std::mt19937_64* random) {
  const Endpoint fixed[] = {NotesService(), WatchService(), PhotosService(),
                            WatchService()};
  const std::uint64_t draw = (*random)();
  if (draw % 10 < 7) return fixed[draw / 10 % 4];
  return ExtraService(static_cast<std::uint16_t>(draw / 10 % kExtraRoutes));
}

}  // namespace

void RunCaller(SoakState* world, std::uint32_t address, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const UdpSocket socket({IpAddress::FromV4(address), kPacketPort});
  std::uint16_t port = 1024;
  while (!world->is_over) {
    const Endpoint service = PickService(&random);
    port = port >= 60'000 ? 1024 : static_cast<std::uint16_t>(port + 1);
    const bool must_serve = !IsExtra(service);
    CallerFlow flow(world, &socket, {IpAddress::FromV4(address), port}, service,
                    &random);
    bool is_open = flow.Open();
    if (!is_open && must_serve && !world->is_over) world->ledger.OnFailed(0);
    const std::uint64_t requests = 1 + random() % 12;
    for (std::uint64_t i = 0; is_open && i < requests; ++i) {
      const std::uint64_t request = world->NextRequest();
      is_open = flow.Request(request);
      if (!is_open && must_serve && !world->is_over) {
        world->ledger.OnFailed(request);
      }
      if (!is_open) break;
      is_open = flow.Idle(milliseconds(random() % 400));
      if (!is_open && must_serve && !world->is_over) world->ledger.OnFailed(0);
    }
    if (is_open) flow.Finish();
    Sleep(milliseconds(20 + random() % 50));
  }
}

}  // namespace sardinelead::soak
