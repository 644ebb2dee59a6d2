#include "replica_message.h"

#include <utility>

#include "cbor.h"

namespace sardinelead {
namespace {

using nlohmann::json;

json BallotToJson(const Ballot& ballot) {
  return json::array({ballot.counter, ballot.replica.value, ballot.store});
}

Ballot ReadBallot(CborArrayReader* reader) {
  CborArrayReader fields(reader->Array());
  Ballot ballot;
  ballot.counter = fields.Number();
  ballot.replica.value = static_cast<std::uint32_t>(fields.Number());
  ballot.store = fields.Number();
  return ballot;
}

}  // namespace

Bytes AgreementMessage::Encode() const {
  json list = json::array();
  for (const Bytes& item : values) list.push_back(Binary(item));
  json fields =
      json::array({static_cast<std::uint64_t>(type), cluster, store, index,
                   BallotToJson(ballot), BallotToJson(acceptor_ballot),
                   Binary(value), std::move(list), seen_store, seen_index});
  if (digest) {
    fields.push_back(json::array(
        {digest->size, digest->hash_high, digest->hash_low, part, wanted}));
  }
  return ToCbor(fields);
}

std::optional<AgreementMessage> AgreementMessage::Decode(ByteView bytes) {
  const json root = FromCbor(bytes);
  CborArrayReader reader(root);
  AgreementMessage message;
  const std::uint64_t type = reader.Number();
  if (type > static_cast<std::uint64_t>(kLastAgreementType)) {
    return std::nullopt;
  }
  message.type = static_cast<AgreementType>(type);
  message.cluster = reader.Number();
  message.store = reader.Number();
  message.index = reader.Number();
  message.ballot = ReadBallot(&reader);
  message.acceptor_ballot = ReadBallot(&reader);
  message.value = reader.Blob();
  for (const json& item : reader.Array()) {
    if (!item.is_binary()) return std::nullopt;
    message.values.push_back(item.get_binary());
  }
  message.seen_store = reader.Number();
  message.seen_index = reader.Number();
  if (reader.ok() && !reader.AtEnd()) {
    CborArrayReader fields(reader.Array());
    ValueDigest& digest = message.digest.emplace();
    digest.size = fields.Number();
    digest.hash_high = fields.Number();
    digest.hash_low = fields.Number();
    message.part = static_cast<std::uint32_t>(fields.Number());
    message.wanted = fields.Number();
    if (!fields.ok()) return std::nullopt;
  }
  const bool must_have_digest = message.type == AgreementType::kFetchValue ||
                                message.type == AgreementType::kValuePart;
  if (must_have_digest && !message.digest) return std::nullopt;
  if (!reader.ok() || !reader.AtEnd()) return std::nullopt;
  return message;
}

Bytes JournalRecord::Encode() const {
  return ToCbor(json::array({static_cast<std::uint64_t>(type), index,
                             BallotToJson(ballot), Binary(value)}));
}

std::optional<JournalRecord> JournalRecord::Decode(ByteView bytes) {
  const json root = FromCbor(bytes);
  CborArrayReader reader(root);
  JournalRecord record;
  const std::uint64_t type = reader.Number();
  if (type > static_cast<std::uint64_t>(kLastJournalRecordType)) {
    return std::nullopt;
  }
  record.type = static_cast<JournalRecordType>(type);
  record.index = reader.Number();
  record.ballot = ReadBallot(&reader);
  record.value = reader.Blob();
  if (!reader.ok() || !reader.AtEnd()) return std::nullopt;
  return record;
}

Bytes StoredState::Encode() const {
  return ToCbor(
      json::array({Binary(state), BallotToJson(acceptor.promised),
                   BallotToJson(acceptor.accepted), Binary(acceptor.value)}));
}

std::optional<StoredState> StoredState::Decode(ByteView bytes) {
  const json root = FromCbor(bytes);
  CborArrayReader reader(root);
  StoredState stored;
  stored.state = reader.Blob();
  stored.acceptor.promised = ReadBallot(&reader);
  stored.acceptor.accepted = ReadBallot(&reader);
  stored.acceptor.value = reader.Blob();
  if (!reader.ok() || !reader.AtEnd()) return std::nullopt;
  return stored;
}

}  // namespace sardinelead
