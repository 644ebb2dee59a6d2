#include "sardinelead/view.h"

#include <algorithm>
#include <utility>

namespace sardinelead {
namespace {

struct RankedMember {
  std::uint64_t score = 0;
  const Member* member = nullptr;

  friend bool operator<(const RankedMember& a, const RankedMember& b) {
    return a.score != b.score ? a.score > b.score : a.member->id < b.member->id;
  }
};

// Whether a member in `state` serves its records to others.
bool ServesRecords(MemberState state) {
  return state == MemberState::kReady || state == MemberState::kLeaving;
}

void Append(Chain* chain, NodeId node) {
  if (chain->size < chain->nodes.size()) chain->nodes[chain->size++] = node;
}

// Appends the members that may hold records once the leaving ones are gone: the
// first kCopies ready members in `ranked`, and the joining members ranked
// before the last of them. Each of these joining members would be a holder if
// it were ready now, so all are prepared, whichever becomes ready first.
void AppendSuccessors(const std::vector<RankedMember>& ranked, Chain* chain) {
  std::size_t staying = 0;
  for (const RankedMember& entry : ranked) {
    if (staying == kCopies) return;
    if (entry.member->state == MemberState::kLeaving) continue;
    if (entry.member->state == MemberState::kReady) ++staying;
    if (chain->RankOf(entry.member->id) >= 0) continue;
    Append(chain, entry.member->id);
  }
}

Chain MakeChain(PartitionId partition, const std::vector<Member>& members) {
  std::vector<RankedMember> ranked;
  ranked.reserve(members.size());
  for (const Member& member : members) {
    if (member.state == MemberState::kDead) continue;
    ranked.push_back({HashCombine(partition, member.id.value), &member});
  }
  std::sort(ranked.begin(), ranked.end());
  Chain chain;
  for (const RankedMember& entry : ranked) {
    if (chain.size == kCopies) break;
    if (ServesRecords(entry.member->state)) Append(&chain, entry.member->id);
  }
  chain.holders = chain.size;
  AppendSuccessors(ranked, &chain);
  return chain;
}

// Whether the records held under `before` are invalid under `after`, because
// the member was removed and rejoined in between.
bool HasRejoined(const Member* before, const Member* after) {
  if (before == nullptr || after == nullptr) return false;
  return before->epoch != after->epoch;
}

std::uint32_t MakeTag(const std::vector<Member>& members) {
  std::uint64_t hash = members.size();
  for (const Member& member : members) {
    const auto state = static_cast<std::uint64_t>(member.state);
    hash = HashCombine(hash, member.id.value);
    hash = HashCombine(hash, member.incarnation.value);
    hash = HashCombine(hash, std::uint64_t{member.epoch} << 8 | state);
  }
  const auto tag = static_cast<std::uint32_t>(hash);
  return tag == 0 ? 1 : tag;
}

}  // namespace

const char* Name(MemberState state) {
  switch (state) {
    case MemberState::kJoining:
      return "joining";
    case MemberState::kReady:
      return "ready";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

int Chain::RankOf(NodeId node) const {
  for (int i = 0; i < size; ++i) {
    if (nodes[i] == node) return i;
  }
  return -1;
}

View::View(NodeId self, std::vector<Member> members, bool may_decide)
    : View(View(), self, std::move(members)) {
  m_tenures = std::make_shared<std::vector<std::uint32_t>>(kPartitionCount);
  m_permissions.serve_until = TimePoint::max();
  if (may_decide) m_permissions.decide_until = TimePoint::max();
  m_serial = 0;
}

View::View(const View& previous, NodeId self, std::vector<Member> members)
    : m_self(self),
      m_members(std::move(members)),
      m_serial(previous.m_serial + 1) {
  std::sort(m_members.begin(), m_members.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  auto chains = std::make_shared<std::vector<Chain>>(kPartitionCount);
  auto tenures =
      std::make_shared<std::vector<std::uint32_t>>(*previous.m_tenures);
  const bool has_rejoined = HasRejoined(previous.Find(self), Find(self));
  for (PartitionId p = 0; p < kPartitionCount; ++p) {
    (*chains)[p] = MakeChain(p, m_members);
    const bool was_in = previous.ChainOf(p).RankOf(self) >= 0;
    const bool is_in = (*chains)[p].RankOf(self) >= 0;
    if (was_in != is_in || has_rejoined) (*tenures)[p] = m_serial;
  }
  m_chains = std::move(chains);
  m_tenures = std::move(tenures);
  m_tag = MakeTag(m_members);
}

const Member* View::Find(NodeId id) const {
  const auto found = std::lower_bound(
      m_members.begin(), m_members.end(), id,
      [](const Member& member, NodeId wanted) { return member.id < wanted; });
  const bool is_found = found != m_members.end() && found->id == id;
  return is_found ? &*found : nullptr;
}

Holders View::HoldersOf(PartitionId partition) const {
  Holders holders{};
  const Chain& chain = ChainOf(partition);
  for (int i = 0; i < chain.holders; ++i) holders[i] = chain.nodes[i];
  return holders;
}

}  // namespace sardinelead
