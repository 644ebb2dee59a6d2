#include "value_transfer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
const NodeId kHolder{1};
const NodeId kOtherHolder{2};

class ValueTransferTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValueTransferTest);
  CPPUNIT_TEST(TransfersValuesOfAnySize);
  CPPUNIT_TEST(OnlyLostPartsAreRequestedAgain);
  CPPUNIT_TEST(PartsInFlightAreLimited);
  CPPUNIT_TEST(ContinuesFromAnotherHolder);
  CPPUNIT_TEST(AbandonsATransferWithoutProgress);
  CPPUNIT_TEST(IgnoresUnexpectedParts);
  CPPUNIT_TEST(DiscardsAValueThatDoesNotMatch);
  CPPUNIT_TEST(LimitsSizeAndNumber);
  CPPUNIT_TEST(KeepsTheLatestValues);
  CPPUNIT_TEST_SUITE_END();

 public:
  static SharedBytes MakeValue(std::size_t size, std::uint64_t seed = 1) {
    std::mt19937_64 random(seed);
    Bytes value(size);
    for (std::uint8_t& byte : value) byte = static_cast<std::uint8_t>(random());
    return std::make_shared<const Bytes>(std::move(value));
  }

  void setUp() override { m_value = MakeValue(250'500); }

  // Fetches m_value from m_holder over a network that loses `loss` percent of
  // the parts. Returns the value, or nullptr after ten seconds.
  SharedBytes Fetch(unsigned loss) {
    const ValueDigest digest = DigestOf(*m_value);
    m_holder.Keep(digest, m_value);
    CPPUNIT_ASSERT(m_receiver.Fetch(digest, kHolder, m_now));
    const TimePoint end = m_now + 10 * kSecond;
    std::mt19937_64 random(7);
    while (m_now < end) {
      for (const PartRequest& request : m_receiver.TakeRequests(m_now)) {
        CPPUNIT_ASSERT(request.to == kHolder);
        const auto parts = m_holder.PartsFor(request);
        m_requested += parts.size();
        m_most_at_once = std::max(m_most_at_once, parts.size());
        for (const ValuePart& part : parts) {
          if (random() % 100 < loss) continue;
          if (auto value = m_receiver.OnPart(digest, part, m_now)) return value;
        }
      }
      m_now += milliseconds(1);
    }
    return nullptr;
  }

  void TransfersValuesOfAnySize() {
    for (const std::size_t size :
         {1, 999, 1000, 1001, 63'999, 64'000, 64'001, 1'000'000}) {
      m_value = MakeValue(size, size);
      const SharedBytes received = Fetch(0);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(size), received != nullptr);
      CPPUNIT_ASSERT(*received == *m_value);
      CPPUNIT_ASSERT(m_receiver.Find(DigestOf(*m_value)) == received);
      CPPUNIT_ASSERT(!m_receiver.IsFetching(DigestOf(*m_value)));
    }
  }

  void OnlyLostPartsAreRequestedAgain() {
    const SharedBytes received = Fetch(30);
    CPPUNIT_ASSERT(received != nullptr && *received == *m_value);
    // 251 parts, of which 30 % are lost at each try.
    CPPUNIT_ASSERT(m_requested > 251);
    CPPUNIT_ASSERT(m_requested < 251 * 100 / 70 * 5 / 4);
  }

  void PartsInFlightAreLimited() {
    CPPUNIT_ASSERT(Fetch(10) != nullptr);
    CPPUNIT_ASSERT(m_most_at_once <= kMaxPartsInFlight);
    // A request for more than that is answered in part.
    const PartRequest all{kHolder, DigestOf(*m_value), 0, ~std::uint64_t{0}};
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMaxPartsInFlight},
                         m_holder.PartsFor(all).size());
  }

  void ContinuesFromAnotherHolder() {
    const ValueDigest digest = DigestOf(*m_value);
    m_holder.Keep(digest, m_value);
    m_receiver.Fetch(digest, kHolder, m_now);
    for (const ValuePart& part :
         m_holder.PartsFor(m_receiver.TakeRequests(m_now).at(0))) {
      m_receiver.OnPart(digest, part, m_now);
    }
    // The first holder has died; another one names the same value.
    m_receiver.TakeRequests(m_now);
    m_receiver.Fetch(digest, kOtherHolder, m_now + milliseconds(100));
    auto requests = m_receiver.TakeRequests(m_now + milliseconds(100));
    CPPUNIT_ASSERT(requests.at(0).to == kHolder);
    CPPUNIT_ASSERT(!m_receiver.IsProgressing(digest, m_now + kSecond));
    m_receiver.Fetch(digest, kOtherHolder, m_now + kSecond);
    requests = m_receiver.TakeRequests(m_now + kSecond);
    CPPUNIT_ASSERT(requests.at(0).to == kOtherHolder);
    CPPUNIT_ASSERT_EQUAL(kMaxPartsInFlight, requests.at(0).first);
  }

  void AbandonsATransferWithoutProgress() {
    const ValueDigest digest = DigestOf(*m_value);
    m_receiver.Fetch(digest, kHolder, m_now);
    CPPUNIT_ASSERT(!m_receiver.TakeRequests(m_now + kSecond).empty());
    CPPUNIT_ASSERT(m_receiver.TakeRequests(m_now + 3 * kSecond).empty());
    CPPUNIT_ASSERT(!m_receiver.IsFetching(digest));
  }

  void IgnoresUnexpectedParts() {
    const ValueDigest digest = DigestOf(*m_value);
    CPPUNIT_ASSERT(!m_receiver.OnPart(digest, {0, Bytes(1000)}, m_now));
    m_receiver.Fetch(digest, kHolder, m_now);
    CPPUNIT_ASSERT(!m_receiver.OnPart(digest, {251, Bytes(1000)}, m_now));
    CPPUNIT_ASSERT(!m_receiver.OnPart(digest, {0, Bytes(999)}, m_now));
    CPPUNIT_ASSERT(!m_receiver.OnPart(digest, {250, Bytes(1000)}, m_now));
    const SharedBytes received = Fetch(0);
    CPPUNIT_ASSERT(received != nullptr && *received == *m_value);
  }

  void DiscardsAValueThatDoesNotMatch() {
    m_value = MakeValue(10);
    const ValueDigest digest = DigestOf(*m_value);
    m_receiver.Fetch(digest, kHolder, m_now);
    CPPUNIT_ASSERT(!m_receiver.OnPart(digest, {0, Bytes(10)}, m_now));
    CPPUNIT_ASSERT(!m_receiver.IsFetching(digest));
    CPPUNIT_ASSERT(m_receiver.Find(digest) == nullptr);
  }

  void LimitsSizeAndNumber() {
    CPPUNIT_ASSERT(!m_receiver.Fetch({0, 1, 1}, kHolder, m_now));
    CPPUNIT_ASSERT(
        !m_receiver.Fetch({kMaxValueBytes + 1, 1, 1}, kHolder, m_now));
    for (std::uint64_t i = 1; i <= 4; ++i) {
      CPPUNIT_ASSERT(m_receiver.Fetch({i, 1, 1}, kHolder, m_now));
    }
    CPPUNIT_ASSERT(!m_receiver.Fetch({5, 1, 1}, kHolder, m_now));
    CPPUNIT_ASSERT(m_receiver.Fetch({4, 1, 1}, kHolder, m_now));
  }

  void KeepsTheLatestValues() {
    constexpr std::size_t kSize = 5 << 20;
    std::vector<SharedBytes> values;
    for (std::uint64_t i = 0; i < 4; ++i) {
      values.push_back(std::make_shared<const Bytes>(
          Bytes(kSize, static_cast<std::uint8_t>(i))));
      m_holder.Keep(DigestOf(*values[i]), values[i]);
    }
    CPPUNIT_ASSERT(m_holder.Find(DigestOf(*values[0])) == nullptr);
    for (std::uint64_t i = 1; i < 4; ++i) {
      CPPUNIT_ASSERT(m_holder.Find(DigestOf(*values[i])) == values[i]);
    }
    // The last value is kept, whatever its size.
    const SharedBytes large = std::make_shared<const Bytes>(Bytes(20 << 20));
    m_holder.Keep(DigestOf(*large), large);
    CPPUNIT_ASSERT(m_holder.Find(DigestOf(*large)) == large);
  }

 private:
  TimePoint m_now{kSecond};
  SharedBytes m_value;
  ValueTransfer m_holder;
  ValueTransfer m_receiver;
  std::size_t m_requested = 0;
  std::size_t m_most_at_once = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValueTransferTest);

}  // namespace
}  // namespace sardinelead
