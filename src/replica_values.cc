// Values that are too large for a message: replicas send their digest, and who
// lacks the value fetches it from the sender (value_transfer.h). The message is
// kept meanwhile and handled once its value is there. Every handler checks its
// message against the present state, so that a message may be handled late.

#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace sardinelead {
namespace {

constexpr std::size_t kMaxWaitingMessages = 16;

}  // namespace

void Replica::Core::PutValue(const Bytes& value, AgreementMessage* message) {
  if (value.size() <= m_settings.max_inline_value_bytes) {
    message->value = value;
    return;
  }
  const ValueDigest digest = DigestOf(value);
  SharedBytes kept = m_values.Find(digest);
  if (kept == nullptr) kept = std::make_shared<const Bytes>(value);
  m_values.Keep(digest, std::move(kept));
  message->digest = digest;
}

// Whether the handler of the message will use the value that it refers to.
bool Replica::Core::NeedsValue(NodeId from,
                               const AgreementMessage& message) const {
  const std::uint64_t next = m_state.index() + 1;
  switch (message.type) {
    case AgreementType::kAccept:
      return message.index == next && !(message.ballot < m_acceptor.promised) &&
             m_acceptor.accepted != message.ballot;
    case AgreementType::kPromise:
      return m_phase == Phase::kPreparing && IsVoteForProposal(from, message) &&
             m_adopted_ballot < message.acceptor_ballot;
    case AgreementType::kSnapshot:
      return m_state.cluster() == 0 || message.index > m_state.index();
    case AgreementType::kValues:
      return message.index + message.values.size() >= next;
    default:
      return false;
  }
}

// Replaces the digest of a message by its value. If the value must be fetched
// first, keeps a copy of the message. Returns whether the message, without the
// value, is to be handled now.
bool Replica::Core::TakeValue(NodeId from, AgreementMessage* message,
                              TimePoint now) {
  const bool is_transfer = message->type == AgreementType::kFetchValue ||
                           message->type == AgreementType::kValuePart;
  if (!message->digest || is_transfer) return true;
  const ValueDigest digest = *message->digest;
  const bool is_list = message->type == AgreementType::kValues;
  const bool is_needed = NeedsValue(from, *message);
  if (const SharedBytes value = is_needed ? m_values.Find(digest) : nullptr) {
    message->digest.reset();
    if (is_list) {
      message->values.push_back(*value);
    } else {
      message->value = *value;
    }
    return true;
  }
  if (is_needed && m_values.Fetch(digest, from, now)) {
    AwaitValue(from, *message);
    SendPartRequests(now);
  }
  message->digest.reset();
  return !is_needed || is_list;
}

void Replica::Core::AwaitValue(NodeId from, const AgreementMessage& message) {
  const auto is_same = [&](const WaitingMessage& waiting) {
    return waiting.from == from && waiting.message.type == message.type &&
           waiting.message.ballot == message.ballot &&
           *waiting.message.digest == *message.digest;
  };
  m_awaiting_values.erase(std::remove_if(m_awaiting_values.begin(),
                                         m_awaiting_values.end(), is_same),
                          m_awaiting_values.end());
  if (m_awaiting_values.size() == kMaxWaitingMessages) {
    m_awaiting_values.pop_front();
  }
  m_awaiting_values.push_back({from, message});
}

void Replica::Core::HandleFetchValue(NodeId from,
                                     const AgreementMessage& message) {
  const PartRequest request{m_settings.self, *message.digest, message.part,
                            message.wanted};
  for (ValuePart& part : m_values.PartsFor(request)) {
    AgreementMessage reply = MakeMessage(AgreementType::kValuePart);
    reply.digest = message.digest;
    reply.part = part.number;
    reply.value = std::move(part.bytes);
    Send(from, reply);
  }
}

void Replica::Core::HandleValuePart(const AgreementMessage& message,
                                    TimePoint now) {
  const ValueDigest digest = *message.digest;
  const SharedBytes value =
      m_values.OnPart(digest, {message.part, message.value}, now);
  SendPartRequests(now);
  if (value == nullptr) return;
  for (WaitingMessage& waiting : std::exchange(m_awaiting_values, {})) {
    if (!(*waiting.message.digest == digest)) {
      m_awaiting_values.push_back(std::move(waiting));
      continue;
    }
    const bool is_ready = TakeValue(waiting.from, &waiting.message, now);
    if (is_ready) Handle(waiting.from, waiting.message, now);
  }
}

void Replica::Core::SendPartRequests(TimePoint now) {
  for (const PartRequest& request : m_values.TakeRequests(now)) {
    AgreementMessage message = MakeMessage(AgreementType::kFetchValue);
    message.digest = request.digest;
    message.part = request.first;
    message.wanted = request.wanted;
    Send(request.to, message);
  }
  const auto is_abandoned = [this](const WaitingMessage& waiting) {
    return !m_values.IsFetching(*waiting.message.digest) &&
           m_values.Find(*waiting.message.digest) == nullptr;
  };
  m_awaiting_values.erase(std::remove_if(m_awaiting_values.begin(),
                                         m_awaiting_values.end(), is_abandoned),
                          m_awaiting_values.end());
}

// Whether the value of another replica's current proposal is on its way. A
// proposal of this replica would only delay it.
bool Replica::Core::IsReceivingProposal(TimePoint now) const {
  return std::any_of(m_awaiting_values.begin(), m_awaiting_values.end(),
                     [&](const WaitingMessage& waiting) {
                       return waiting.message.type == AgreementType::kAccept &&
                              NeedsValue(waiting.from, waiting.message) &&
                              m_values.IsProgressing(*waiting.message.digest,
                                                     now);
                     });
}

bool Replica::Core::IsCatchingUp() const {
  return std::any_of(m_awaiting_values.begin(), m_awaiting_values.end(),
                     [](const WaitingMessage& waiting) {
                       const AgreementType type = waiting.message.type;
                       return type == AgreementType::kSnapshot ||
                              type == AgreementType::kValues;
                     });
}

}  // namespace sardinelead
