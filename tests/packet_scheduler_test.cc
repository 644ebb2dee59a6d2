#include "packet_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kHigh = 0;
constexpr std::uint32_t kLow = 2;
constexpr int kUploadPackets = 16;
constexpr std::uint16_t kUploadBytes = 1200;
constexpr Duration kObjective = milliseconds(800);
constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

FlowKey Flow(std::uint32_t service, std::uint32_t caller, std::uint16_t port) {
  FlowKey key;
  key.service = {IpAddress::FromV4(0x0a000000 + service), 80};
  key.caller = {IpAddress::FromV4(0xc0000200 + caller), port};
  return key;
}

ScheduledPacket Data(const FlowKey& flow, std::uint32_t sequence,
                     std::uint32_t priority) {
  ScheduledPacket packet;
  packet.flow = flow;
  packet.sequence = sequence;
  packet.length = kUploadBytes;
  packet.priority = priority;
  return packet;
}

ScheduledPacket Opening(const FlowKey& flow) {
  ScheduledPacket packet;
  packet.flow = flow;
  packet.flags = 2;
  packet.is_urgent = true;
  return packet;
}

struct Sent {
  ScheduledPacket packet;
  Duration waited{0};
  TimePoint at;
};

// A scheduler on a link of 1.5 Mbit/s. Packets have headers of 40 bytes.
struct NarrowLink {
  explicit NarrowLink(PacketSchedulerSettings settings = {})
      : scheduler(settings, &link, MakeHooks()) {}

  PacketSchedulerHooks MakeHooks() {
    PacketSchedulerHooks hooks;
    hooks.send = [this](const Endpoint&, ByteView head, ByteView body) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{40}, head.size);
      handed_over += head.size + body.size;
    };
    hooks.on_sent = [this](const ScheduledPacket& packet, Duration waited) {
      sent.push_back({packet, waited, now});
    };
    hooks.on_dropped = [this](const ScheduledPacket&,
                              ScheduleDropReason reason) {
      ++dropped[static_cast<std::size_t>(reason)];
    };
    return hooks;
  }

  static LinkModelSettings Settings() {
    LinkModelSettings settings;
    settings.capacity = 187'500;
    return settings;
  }

  ScheduleResult Add(const ScheduledPacket& packet) {
    const Bytes head(40, 1);
    const Bytes body(packet.length, 2);
    return scheduler.Add(packet, Endpoint(), head, body, now);
  }

  void AddUpload(const FlowKey& flow, std::uint32_t priority = kLow) {
    for (int i = 0; i < kUploadPackets; ++i) Add(Data(flow, i, priority));
  }

  // Packets of several uploads that arrive at once are interleaved.
  void AddUploads(const std::vector<FlowKey>& flows) {
    for (int i = 0; i < kUploadPackets; ++i) {
      for (const FlowKey& flow : flows) Add(Data(flow, i, kLow));
    }
  }

  // Lets time pass, with a timer of `resolution`.
  void Run(Duration duration, Duration resolution = milliseconds(1)) {
    const TimePoint end = now + duration;
    auto next = scheduler.Release(now);
    while (now < end) {
      now += resolution;
      if (next && *next <= now) next = scheduler.Release(now);
    }
  }

  // When the last packet of an upload was sent; nullopt if one is missing.
  std::optional<Duration> Finished(const FlowKey& flow) const {
    int packets = 0;
    TimePoint last;
    for (const Sent& one : sent) {
      if (one.packet.flow != flow || one.packet.is_urgent) continue;
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(packets), one.packet.sequence);
      ++packets;
      last = one.at;
    }
    if (packets < kUploadPackets) return std::nullopt;
    return last - kStart;
  }

  int FinishedWithin(const std::vector<FlowKey>& flows, Duration limit) const {
    int count = 0;
    for (const FlowKey& flow : flows) {
      const auto finished = Finished(flow);
      if (finished && *finished <= limit) ++count;
    }
    return count;
  }

  std::size_t Dropped(ScheduleDropReason reason) const {
    return dropped[static_cast<std::size_t>(reason)];
  }

  LinkModel link{Settings()};
  TimePoint now = kStart;
  std::vector<Sent> sent;
  std::size_t handed_over = 0;
  std::array<std::size_t, static_cast<std::size_t>(ScheduleDropReason::kCount)>
      dropped{};
  PacketScheduler scheduler;
};

std::vector<FlowKey> FlowsOfCallers(std::uint32_t service, int callers) {
  std::vector<FlowKey> flows;
  flows.reserve(callers);
  for (int i = 0; i < callers; ++i) flows.push_back(Flow(service, i, 1000));
  return flows;
}

class PacketSchedulerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketSchedulerTest);
  CPPUNIT_TEST(IdleLinkPassesPackets);
  CPPUNIT_TEST(UploadBurstAmongShortRequests);
  CPPUNIT_TEST(EqualUploadsFinishOneAfterTheOther);
  CPPUNIT_TEST(ManyCallersOfOneServiceAgainstOneOfAnother);
  CPPUNIT_TEST(ManyFlowsOfOneCallerAgainstOneOfAnother);
  CPPUNIT_TEST(ShortRequestOfTheSameRankAmongUploads);
  CPPUNIT_TEST(NewCallersOfTheSameRankAgainstAnUpload);
  CPPUNIT_TEST(CopiesOfWaitingPackets);
  CPPUNIT_TEST(LowestRankUnderContinuousLoadOfHigherOnes);
  CPPUNIT_TEST(OverdueDataUnderOpeningPackets);
  CPPUNIT_TEST(FullQueueDropsTheOldestOfTheLowestRank);
  CPPUNIT_TEST(ExpiredPacketsAreDropped);
  CPPUNIT_TEST(CopyOfAnExpiredPacketReplacesIt);
  CPPUNIT_TEST(EndedFlowIsDropped);
  CPPUNIT_TEST(LateTimerLosesNoCapacity);
  CPPUNIT_TEST(ExpectedWaitOfABurst);
  CPPUNIT_TEST(RandomLoadKeepsBoundsAndOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void IdleLinkPassesPackets() {
    NarrowLink world;
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT(world.Add(Data(Flow(1, 1, 1), i, kLow)) ==
                     ScheduleResult::kSendNow);
      world.now += milliseconds(8);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, world.sent.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.handed_over);
    CPPUNIT_ASSERT(!world.scheduler.Release(world.now));
  }

  // Guards against short requests that wait behind uploads.
  void UploadBurstAmongShortRequests() {
    NarrowLink world;
    world.AddUploads(FlowsOfCallers(1, 6));
    for (std::uint16_t port = 1; port <= 20; ++port) {
      const FlowKey flow = Flow(2, 100, port);
      world.Add(Opening(flow));
      world.Add(Data(flow, 0, kHigh));
      world.Run(milliseconds(25));
    }
    for (const Sent& one : world.sent) {
      if (one.packet.priority == kLow && !one.packet.is_urgent) continue;
      const auto limit = milliseconds(one.packet.is_urgent ? 9 : 16);
      CPPUNIT_ASSERT(one.waited <= limit);
    }
    world.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6 * kUploadPackets + 40},
                         world.sent.size());
  }

  // Guards against turns of a packet each, after which all uploads finish at
  // the same time and miss the objective.
  void EqualUploadsFinishOneAfterTheOther() {
    const auto flows = FlowsOfCallers(1, 8);
    NarrowLink world;
    world.AddUploads(flows);
    world.Run(seconds(2));
    CPPUNIT_ASSERT(world.FinishedWithin(flows, kObjective) >= 6);
    PacketSchedulerSettings packet_turns;
    packet_turns.turn_bytes = kUploadBytes;
    packet_turns.flow_turn_bytes = kUploadBytes;
    NarrowLink other(packet_turns);
    other.AddUploads(flows);
    other.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, other.FinishedWithin(flows, kObjective));
  }

  void ManyCallersOfOneServiceAgainstOneOfAnother() {
    const FlowKey single = Flow(2, 100, 1);
    NarrowLink world;
    world.AddUploads(FlowsOfCallers(1, 20));
    world.AddUpload(single);
    world.Run(seconds(3));
    CPPUNIT_ASSERT(world.Finished(single).value() <= milliseconds(300));
  }

  void ManyFlowsOfOneCallerAgainstOneOfAnother() {
    const FlowKey single = Flow(1, 100, 1);
    std::vector<FlowKey> flows;
    flows.reserve(20);
    for (std::uint16_t i = 0; i < 20; ++i) flows.push_back(Flow(1, 1, i));
    NarrowLink world;
    world.AddUploads(flows);
    world.AddUpload(single);
    world.Run(seconds(3));
    CPPUNIT_ASSERT(world.Finished(single).value() <= milliseconds(300));
  }

  // Guards against requests of one packet that wait for whole turns.
  void ShortRequestOfTheSameRankAmongUploads() {
    NarrowLink world;
    world.AddUploads(FlowsOfCallers(1, 8));
    world.Run(milliseconds(200));
    world.Add(Data(Flow(1, 100, 1), 0, kLow));
    world.Run(milliseconds(15));
    CPPUNIT_ASSERT(world.sent.back().packet.flow == Flow(1, 100, 1) ||
                   world.sent[world.sent.size() - 2].packet.flow ==
                       Flow(1, 100, 1));
  }

  // Guards against an upload that never has a turn, since each new caller goes
  // first.
  void NewCallersOfTheSameRankAgainstAnUpload() {
    const FlowKey upload = Flow(1, 1, 1);
    NarrowLink world;
    world.AddUpload(upload);
    for (std::uint32_t caller = 100; caller < 300; ++caller) {
      world.Add(Data(Flow(1, caller, 1), 0, kLow));
      world.Run(milliseconds(5));
    }
    CPPUNIT_ASSERT(world.Finished(upload).value() <= milliseconds(400));
  }

  // Guards against copies that take capacity, and against a copy that moves
  // the packet that waits.
  void CopiesOfWaitingPackets() {
    NarrowLink world;
    const FlowKey flow = Flow(1, 1, 1);
    world.AddUpload(flow);
    const std::size_t waiting = world.scheduler.packets();
    for (int i = 2; i < kUploadPackets; ++i) {
      CPPUNIT_ASSERT(world.Add(Data(flow, i, kLow)) ==
                     ScheduleResult::kDuplicate);
    }
    CPPUNIT_ASSERT_EQUAL(waiting, world.scheduler.packets());
    CPPUNIT_ASSERT_EQUAL(std::size_t{14},
                         world.Dropped(ScheduleDropReason::kDuplicate));
    ScheduledPacket other_flags = Data(flow, 5, kLow);
    other_flags.flags = 1;
    CPPUNIT_ASSERT(world.Add(other_flags) == ScheduleResult::kQueued);
    world.Run(milliseconds(150));
    CPPUNIT_ASSERT(world.sent.back().packet.flags == 1);
    CPPUNIT_ASSERT(world.Add(Data(flow, 5, kLow)) == ScheduleResult::kSendNow);
  }

  // The stated bound: overdue data gets a quarter of the bytes, not more.
  void LowestRankUnderContinuousLoadOfHigherOnes() {
    NarrowLink world;
    const FlowKey upload = Flow(1, 1, 1);
    const FlowKey busy = Flow(2, 2, 2);
    std::uint32_t sequence = 0;
    while (sequence < 20) world.Add(Data(busy, sequence++, kHigh));
    world.AddUpload(upload);
    for (std::uint16_t i = 0; i < 400; ++i) {
      world.Add(Data(busy, sequence++, kHigh));
      if (i % 10 == 0) world.Add(Opening(Flow(2, 2, i)));
      world.Run(milliseconds(6));
    }
    int high_between = 3;
    for (const Sent& one : world.sent) {
      if (one.packet.is_urgent) CPPUNIT_ASSERT(one.waited <= milliseconds(9));
      if (one.packet.flow == busy) ++high_between;
      if (one.packet.flow != upload) continue;
      CPPUNIT_ASSERT(one.waited >= milliseconds(400));
      CPPUNIT_ASSERT(high_between >= 3);
      high_between = 0;
    }
    CPPUNIT_ASSERT(world.Finished(upload).value() <= milliseconds(950));
  }

  // Urgent packets do not give way to overdue data.
  void OverdueDataUnderOpeningPackets() {
    NarrowLink world;
    world.AddUpload(Flow(1, 1, 1));
    world.Add(Data(Flow(2, 2, 2), 0, kHigh));
    world.now += milliseconds(600);
    world.link.OnSent(20'000, world.now);
    world.Add(Opening(Flow(3, 3, 3)));
    world.sent.clear();
    world.Run(milliseconds(140));
    CPPUNIT_ASSERT(world.sent[0].packet.is_urgent);
    CPPUNIT_ASSERT_EQUAL(kLow, world.sent[1].packet.priority);
    CPPUNIT_ASSERT_EQUAL(kHigh, world.sent[2].packet.priority);
  }

  void FullQueueDropsTheOldestOfTheLowestRank() {
    PacketSchedulerSettings settings;
    settings.max_packets = 10;
    NarrowLink world(settings);
    const FlowKey upload = Flow(1, 1, 1);
    world.AddUpload(upload);  // 2 pass, 10 wait, the oldest 4 are dropped.
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         world.Dropped(ScheduleDropReason::kQueueFull));
    CPPUNIT_ASSERT(world.Add(Data(upload, 2, kLow + 1)) ==
                   ScheduleResult::kDropped);
    CPPUNIT_ASSERT(world.Add(Data(upload, 15, kLow)) ==
                   ScheduleResult::kDuplicate);
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(world.Add(Data(Flow(2, 2, 2), i, kHigh)) ==
                     ScheduleResult::kQueued);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, world.scheduler.packets());
    world.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(kHigh, world.sent.back().packet.priority);
    PacketSchedulerSettings bytes;
    bytes.max_bytes = 6200;  // 5 packets.
    NarrowLink small(bytes);
    small.AddUpload(upload);
    CPPUNIT_ASSERT_EQUAL(bytes.max_bytes, small.scheduler.bytes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{9},
                         small.Dropped(ScheduleDropReason::kQueueFull));
  }

  // Guards against the transfer of packets whose caller has given up.
  void ExpiredPacketsAreDropped() {
    NarrowLink world;
    world.AddUploads(FlowsOfCallers(1, 30));
    ScheduledPacket impatient = Data(Flow(1, 100, 1), 0, kLow + 1);
    impatient.max_wait = milliseconds(100);
    world.Add(impatient);
    world.Run(milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         world.Dropped(ScheduleDropReason::kExpired));
    world.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.scheduler.packets());
    for (const Sent& one : world.sent) {
      CPPUNIT_ASSERT(one.waited <= PacketSchedulerSettings().max_wait);
    }
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{30 * kUploadPackets + 1},
        world.sent.size() + world.Dropped(ScheduleDropReason::kExpired));
  }

  // Guards against the loss of both: the copy as a duplicate, and then the
  // waiting packet as expired. An older packet with a longer limit waits too.
  void CopyOfAnExpiredPacketReplacesIt() {
    NarrowLink world;
    world.AddUpload(Flow(1, 1, 1));
    ScheduledPacket request = Data(Flow(2, 2, 2), 0, kLow);
    request.max_wait = milliseconds(100);
    world.Add(request);
    world.now += milliseconds(101);
    world.link.OnSent(100'000, world.now);
    CPPUNIT_ASSERT(world.Add(request) == ScheduleResult::kQueued);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         world.Dropped(ScheduleDropReason::kExpired));
    CPPUNIT_ASSERT(world.Add(request) == ScheduleResult::kDuplicate);
  }

  void EndedFlowIsDropped() {
    NarrowLink world;
    const auto flows = FlowsOfCallers(1, 3);
    world.AddUploads(flows);
    world.Add(Opening(flows[1]));
    world.scheduler.RemoveFlow(flows[1]);
    world.scheduler.RemoveFlow(Flow(9, 9, 9));
    CPPUNIT_ASSERT(world.Dropped(ScheduleDropReason::kFlowEnded) >= 15);
    world.Run(seconds(1));
    CPPUNIT_ASSERT(world.Finished(flows[0]) && world.Finished(flows[2]));
    CPPUNIT_ASSERT(!world.Finished(flows[1]));
  }

  // Several packets are due at once; the burst in advance covers the lateness.
  void LateTimerLosesNoCapacity() {
    const auto flows = FlowsOfCallers(1, 8);
    NarrowLink world;
    world.AddUploads(flows);
    world.Run(seconds(2), milliseconds(5));
    constexpr double kSeconds = 8 * kUploadPackets * 1268 / 187'500.0;
    CPPUNIT_ASSERT_EQUAL(
        8, world.FinishedWithin(flows, milliseconds(int(kSeconds * 1050))));
  }

  void ExpectedWaitOfABurst() {
    NarrowLink world;
    CPPUNIT_ASSERT(world.scheduler.ExpectedWait(kLow, kStart) == Duration(0));
    world.AddUploads(FlowsOfCallers(1, 4));
    const Duration low = world.scheduler.ExpectedWait(kLow);
    CPPUNIT_ASSERT(low > milliseconds(430) && low < milliseconds(460));
    CPPUNIT_ASSERT(world.scheduler.ExpectedWait(kHigh) < milliseconds(15));
    CPPUNIT_ASSERT(world.scheduler.ExpectedWait(kHigh, kStart + seconds(1)) ==
                   Duration(0));
  }

  // Every packet is reported once, the bounds hold, a flow's packets of one
  // rank stay in order, and the link is never given more than it carries.
  void RandomLoadKeepsBoundsAndOrder() {
    const bool ok = rc::check([] {
      PacketSchedulerSettings settings;
      settings.max_packets = 40;
      settings.max_bytes = 30'000;
      NarrowLink world(settings);
      std::size_t added = 0;
      std::uint32_t sequence = 0;
      for (int step = 0; step < 300; ++step) {
        const auto choice = *rc::gen::inRange(0, 40);
        const FlowKey flow =
            Flow(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 3),
                 *rc::gen::inRange<std::uint16_t>(0, 3));
        if (choice == 0) {
          world.scheduler.RemoveFlow(flow);
          continue;
        }
        ScheduledPacket packet =
            choice < 5 ? Data(flow, sequence, *rc::gen::inRange(0, 3))
                       : Data(flow, ++sequence, *rc::gen::inRange(0, 3));
        packet.is_urgent = choice > 30;
        packet.length = *rc::gen::inRange<std::uint16_t>(0, 1400);
        world.Add(packet);
        ++added;
        RC_ASSERT(world.scheduler.packets() <= settings.max_packets);
        RC_ASSERT(world.scheduler.bytes() <= settings.max_bytes);
        world.Run(milliseconds(*rc::gen::inRange(0, 6)));
      }
      CheckBacklog(world);
      world.Run(seconds(3));
      std::size_t reported = world.sent.size();
      for (const std::size_t dropped : world.dropped) reported += dropped;
      RC_ASSERT(reported == added);
      RC_ASSERT(world.scheduler.bytes() == 0);
      CheckOrder(world.sent);
    });
    CPPUNIT_ASSERT(ok);
  }

 private:
  static void CheckBacklog(const NarrowLink& world) {
    const Duration most = world.link.TimeFor(2600);
    RC_ASSERT(world.link.Backlog(world.now) <= most);
  }

  static void CheckOrder(const std::vector<Sent>& sent) {
    std::map<std::pair<std::string, PacketRank>, std::uint32_t> last;
    for (const Sent& one : sent) {
      auto& sequence = last[{one.packet.flow.ToString(), RankOf(one.packet)}];
      RC_ASSERT(one.packet.sequence >= sequence);
      sequence = one.packet.sequence;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketSchedulerTest);

}  // namespace
}  // namespace sardinelead
