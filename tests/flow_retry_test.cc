#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "sardinelead/flow_director.h"

namespace sardinelead {
namespace {

const ServiceId kService{1};
const TimePoint kNow = TimePoint{} + std::chrono::hours(1);

Target MakeTarget(std::uint32_t number, TargetState state) {
  Target target;
  target.service = kService;
  target.tunnel = Endpoint{IpAddress::FromV4(0x0b000000 + number), 9};
  target.incarnation = Incarnation{1};
  target.id = MakeTargetId(kService, target.tunnel, target.incarnation);
  target.state = state;
  return target;
}

PacketInfo OpeningPacket() {
  PacketInfo packet;
  packet.key.caller = Endpoint{IpAddress::FromV4(0x0c000001), 1000};
  packet.key.service = Endpoint{IpAddress::FromV4(0x0a000001), 443};
  packet.kind = PacketKind::kTcpOpen;
  return packet;
}

// A single balancer with two targets, of which the first dies.
class FlowRetryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowRetryTest);
  CPPUNIT_TEST(PicksAnotherTargetIfTheFirstIsDead);
  CPPUNIT_TEST(DropsARepeatedOpeningIfTheRetryBudgetIsSpent);
  CPPUNIT_TEST(DoesNotRestoreAResetFlowFromACopy);
  CPPUNIT_TEST(ResetsAFlowWithADeadTargetOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Service service;
    service.id = kService;
    service.address = OpeningPacket().key.service;
    auto configuration = std::make_shared<Configuration>();
    configuration->services["w/s"] = service;
    configuration->BuildIndex();
    m_board = std::make_unique<Blackboard>();
    m_board->configuration.Publish(configuration);
    Member self;
    self.id = NodeId{1};
    self.state = MemberState::kReady;
    m_board->view.Publish(
        std::make_shared<View>(NodeId{1}, std::vector<Member>{self}, true));
    PublishTargets(TargetState::kActive);
    m_replaced_targets.clear();
    m_may_retry = true;
  }

  void PicksAnotherTargetIfTheFirstIsDead() {
    FlowDirector director = MakeDirector();
    CPPUNIT_ASSERT(SendOpening(&director).target == FirstTarget());
    PublishTargets(TargetState::kDead);
    CPPUNIT_ASSERT(SendOpening(&director).target == SecondTarget());
    CPPUNIT_ASSERT(m_replaced_targets == std::vector<TargetId>{FirstTarget()});
    // Further retransmissions keep the second target.
    CPPUNIT_ASSERT(SendOpening(&director).target == SecondTarget());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_replaced_targets.size());
  }

  void DropsARepeatedOpeningIfTheRetryBudgetIsSpent() {
    FlowDirector director = MakeDirector();
    SendOpening(&director);
    PublishTargets(TargetState::kDead);
    m_may_retry = false;
    CPPUNIT_ASSERT(SendOpening(&director).action == FlowAction::kDrop);
    m_may_retry = true;
    CPPUNIT_ASSERT(SendOpening(&director).target == SecondTarget());
  }

  // A copy may still have the record of a reset flow when a late packet reaches
  // it. The primary must not take the record back, or the next sweep resets
  // whichever flow uses the key by then.
  void DoesNotRestoreAResetFlowFromACopy() {
    FlowDirector director = MakeDirector();
    RelayHeader found;
    found.sender = NodeId{2};
    found.hops = 1;
    found.step = RelayStep::kRecordFound;
    found.target = FirstTarget();
    PacketInfo late = OpeningPacket();
    late.kind = PacketKind::kTcpData;
    BlackboardReader reader(m_board.get());
    PublishTargets(TargetState::kDead);
    director.OnTick(&reader, kNow);
    CPPUNIT_ASSERT(director.OnPacket(&reader, late, &found, kNow).action ==
                   FlowAction::kDrop);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, director.Counts().held);
    // While the target is alive, the copy's record is accepted.
    PublishTargets(TargetState::kActive);
    CPPUNIT_ASSERT(director.OnPacket(&reader, late, &found, kNow).target ==
                   FirstTarget());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, director.Counts().held);
  }

  // The reset is sent either for the first packet after the death or by the
  // sweep. A second one would hit whichever flow uses the key by then.
  void ResetsAFlowWithADeadTargetOnce() {
    for (const bool has_packet : {true, false}) {
      PublishTargets(TargetState::kActive);
      FlowDirector director = MakeDirector();
      SendOpening(&director);
      PacketInfo data = OpeningPacket();
      data.kind = PacketKind::kTcpData;
      BlackboardReader reader(m_board.get());
      director.OnPacket(&reader, data, nullptr, kNow);
      PublishTargets(TargetState::kDead);
      if (has_packet) {
        CPPUNIT_ASSERT(director.OnPacket(&reader, data, nullptr, kNow).action ==
                       FlowAction::kReset);
      }
      std::size_t resets = 0;
      for (int tick = 1; tick <= 100; ++tick) {
        const TimePoint now = kNow + tick * std::chrono::milliseconds(50);
        resets += director.OnTick(&reader, now).size();
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{has_packet ? 0U : 1U}, resets);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, director.Counts().held);
    }
  }

 private:
  static TargetId FirstTarget() {
    return MakeTarget(1, TargetState::kActive).id;
  }
  static TargetId SecondTarget() {
    return MakeTarget(2, TargetState::kActive).id;
  }

  void PublishTargets(TargetState state) {
    m_board->targets.Publish(
        std::make_shared<TargetSnapshot>(std::vector<Target>{
            MakeTarget(1, state), MakeTarget(2, TargetState::kActive)}));
  }

  FlowDirector MakeDirector() {
    FlowDirectorSettings settings;
    settings.self = NodeId{1};
    settings.max_flows = 1000;
    return FlowDirector(
        settings,
        [](const FlowKey&, const Service&, TimePoint) { return FirstTarget(); },
        [](const FlowEvent&) {},
        [this](const FlowKey&, const Service&, TargetId first,
               TimePoint) -> tl::expected<TargetId, RefuseReason> {
          m_replaced_targets.push_back(first);
          if (!m_may_retry) return tl::unexpected(RefuseReason::kOverloaded);
          return SecondTarget();
        });
  }

  FlowOutcome SendOpening(FlowDirector* director) {
    BlackboardReader reader(m_board.get());
    return director->OnPacket(&reader, OpeningPacket(), nullptr, kNow);
  }

  std::unique_ptr<Blackboard> m_board;
  std::vector<TargetId> m_replaced_targets;
  bool m_may_retry = true;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowRetryTest);

}  // namespace
}  // namespace sardinelead
