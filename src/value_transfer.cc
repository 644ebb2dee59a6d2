#include "value_transfer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace sardinelead {
namespace {

constexpr std::size_t kMaxKeptBytes = 16 << 20;
constexpr std::size_t kMaxTransfers = 4;
constexpr std::uint32_t kRequestBits = 64;
constexpr Duration kPartTimeout = std::chrono::milliseconds(60);
// After this long without a part, another source is tried.
constexpr Duration kSourceTimeout = std::chrono::milliseconds(250);
constexpr Duration kTransferTimeout = std::chrono::seconds(2);

std::uint32_t PartCount(std::uint64_t size) {
  return static_cast<std::uint32_t>((size + kValuePartBytes - 1) /
                                    kValuePartBytes);
}

std::size_t PartSize(std::uint64_t size, std::uint32_t number) {
  const std::uint64_t start = std::uint64_t{number} * kValuePartBytes;
  return std::min<std::uint64_t>(kValuePartBytes, size - start);
}

}  // namespace

ValueDigest DigestOf(ByteView value) {
  const XXH128_hash_t hash = XXH3_128bits(value.data, value.size);
  return {value.size, hash.high64, hash.low64};
}

void ValueTransfer::Keep(const ValueDigest& digest, SharedBytes value) {
  const auto same =
      std::find_if(m_kept.begin(), m_kept.end(),
                   [&](const Kept& kept) { return kept.digest == digest; });
  if (same != m_kept.end()) {
    m_kept_bytes -= same->value->size();
    m_kept.erase(same);
  }
  m_kept_bytes += value->size();
  m_kept.push_back({digest, std::move(value)});
  while (m_kept.size() > 1 && m_kept_bytes > kMaxKeptBytes) {
    m_kept_bytes -= m_kept.front().value->size();
    m_kept.pop_front();
  }
}

SharedBytes ValueTransfer::Find(const ValueDigest& digest) const {
  for (const Kept& kept : m_kept) {
    if (kept.digest == digest) return kept.value;
  }
  return nullptr;
}

std::vector<ValuePart> ValueTransfer::PartsFor(
    const PartRequest& request) const {
  std::vector<ValuePart> parts;
  const SharedBytes value = Find(request.digest);
  if (value == nullptr) return parts;
  const std::uint64_t count = PartCount(value->size());
  for (std::uint32_t bit = 0; bit < kRequestBits; ++bit) {
    const std::uint64_t number = std::uint64_t{request.first} + bit;
    const bool is_wanted = (request.wanted >> bit & 1) != 0 && number < count;
    if (!is_wanted) continue;
    ValuePart part;
    part.number = static_cast<std::uint32_t>(number);
    const auto start =
        value->begin() + static_cast<std::ptrdiff_t>(number * kValuePartBytes);
    const auto size =
        static_cast<std::ptrdiff_t>(PartSize(value->size(), part.number));
    part.bytes.assign(start, start + size);
    parts.push_back(std::move(part));
    if (parts.size() == kMaxPartsInFlight) break;
  }
  return parts;
}

ValueTransfer::Transfer* ValueTransfer::FindTransfer(
    const ValueDigest& digest) {
  for (Transfer& transfer : m_transfers) {
    if (transfer.digest == digest) return &transfer;
  }
  return nullptr;
}

bool ValueTransfer::IsFetching(const ValueDigest& digest) const {
  return std::any_of(
      m_transfers.begin(), m_transfers.end(),
      [&](const Transfer& transfer) { return transfer.digest == digest; });
}

bool ValueTransfer::IsProgressing(const ValueDigest& digest,
                                  TimePoint now) const {
  return std::any_of(m_transfers.begin(), m_transfers.end(),
                     [&](const Transfer& transfer) {
                       return transfer.digest == digest &&
                              now - transfer.progress_at <= kSourceTimeout;
                     });
}

bool ValueTransfer::Fetch(const ValueDigest& digest, NodeId from,
                          TimePoint now) {
  if (Transfer* transfer = FindTransfer(digest)) {
    const bool is_stuck = now - transfer->progress_at > kSourceTimeout;
    if (is_stuck) transfer->from = from;
    return true;
  }
  const bool may_start = digest.size > 0 && digest.size <= kMaxValueBytes &&
                         m_transfers.size() < kMaxTransfers;
  if (!may_start) return false;
  Transfer transfer;
  transfer.digest = digest;
  transfer.from = from;
  transfer.bytes.resize(digest.size);
  transfer.missing = PartCount(digest.size);
  transfer.parts.resize(transfer.missing);
  transfer.progress_at = now;
  m_transfers.push_back(std::move(transfer));
  return true;
}

SharedBytes ValueTransfer::OnPart(const ValueDigest& digest, ValuePart part,
                                  TimePoint now) {
  Transfer* transfer = FindTransfer(digest);
  if (transfer == nullptr || part.number >= transfer->parts.size()) {
    return nullptr;
  }
  Part& slot = transfer->parts[part.number];
  const bool is_new = !slot.is_received &&
                      part.bytes.size() == PartSize(digest.size, part.number);
  if (!is_new) return nullptr;
  slot.is_received = true;
  std::copy(part.bytes.begin(), part.bytes.end(),
            transfer->bytes.begin() +
                static_cast<std::ptrdiff_t>(part.number * kValuePartBytes));
  transfer->progress_at = now;
  if (--transfer->missing > 0) return nullptr;
  auto value = std::make_shared<const Bytes>(std::move(transfer->bytes));
  m_transfers.erase(m_transfers.begin() + (transfer - m_transfers.data()));
  if (!(DigestOf(*value) == digest)) return nullptr;
  Keep(digest, value);
  return value;
}

std::vector<PartRequest> ValueTransfer::TakeRequests(TimePoint now) {
  m_transfers.erase(std::remove_if(m_transfers.begin(), m_transfers.end(),
                                   [&](const Transfer& transfer) {
                                     return now - transfer.progress_at >
                                            kTransferTimeout;
                                   }),
                    m_transfers.end());
  std::vector<PartRequest> requests;
  for (Transfer& transfer : m_transfers) {
    auto request = NextRequest(&transfer, now);
    if (request) requests.push_back(*request);
  }
  return requests;
}

// Requests further parts once half of those in flight have arrived, so that a
// request asks for many parts.
std::optional<PartRequest> ValueTransfer::NextRequest(Transfer* transfer,
                                                      TimePoint now) {
  std::vector<Part>& parts = transfer->parts;
  std::uint32_t& first = transfer->first_missing;
  while (parts[first].is_received) ++first;
  const auto end = static_cast<std::uint32_t>(
      std::min<std::size_t>(parts.size(), first + kRequestBits));
  std::uint32_t in_flight = 0;
  for (std::uint32_t i = first; i < end; ++i) {
    const bool is_in_flight = !parts[i].is_received &&
                              parts[i].requested_at != TimePoint{} &&
                              now - parts[i].requested_at <= kPartTimeout;
    in_flight += is_in_flight ? 1 : 0;
  }
  if (in_flight > kMaxPartsInFlight / 2) return std::nullopt;
  PartRequest request{transfer->from, transfer->digest, first, 0};
  for (std::uint32_t i = first; i < end && in_flight < kMaxPartsInFlight; ++i) {
    const bool is_due =
        !parts[i].is_received && (parts[i].requested_at == TimePoint{} ||
                                  now - parts[i].requested_at > kPartTimeout);
    if (!is_due) continue;
    parts[i].requested_at = now;
    request.wanted |= std::uint64_t{1} << (i - first);
    ++in_flight;
  }
  if (request.wanted == 0) return std::nullopt;
  return request;
}

}  // namespace sardinelead
