#ifndef SARDINELEAD_SRC_CBOR_FIELDS_H_
#define SARDINELEAD_SRC_CBOR_FIELDS_H_

// Reads the fields of a CBOR array in order and checks the type and range of
// each. After the first invalid field, ok() stays false and every further read
// returns zero or an empty value.

#include <limits>
#include <nlohmann/json.hpp>

#include "cbor_read.h"
#include "sardinelead/types.h"

namespace sardinelead {

class CborFields {
 public:
  explicit CborFields(ByteView body)
      : m_array(ReadCbor(body)), m_ok(m_array.is_array()) {}

  bool ok() const { return m_ok; }  // NOLINT
  bool AtEnd() const { return m_ok && m_next == m_array.size(); }

  // Reads an unsigned integer of at most `max`.
  std::uint64_t Unsigned(std::uint64_t max) {
    const nlohmann::json* field = Next();
    if (field == nullptr || !field->is_number_unsigned()) return SetInvalid();
    const auto value = field->get<std::uint64_t>();
    return value <= max ? value : SetInvalid();
  }
  std::uint32_t Unsigned32() {
    return static_cast<std::uint32_t>(
        Unsigned(std::numeric_limits<std::uint32_t>::max()));
  }
  std::uint64_t Unsigned64() {
    return Unsigned(std::numeric_limits<std::uint64_t>::max());
  }
  // Reads an array of at most `max_size` unsigned integers, each at most `max`.
  std::vector<std::uint64_t> UnsignedArray(std::size_t max_size,
                                           std::uint64_t max) {
    std::vector<std::uint64_t> values;
    const nlohmann::json* field = Next();
    if (field == nullptr || !field->is_array() || field->size() > max_size) {
      SetInvalid();
      return values;
    }
    for (const nlohmann::json& value : *field) {
      const bool is_valid =
          value.is_number_unsigned() && value.get<std::uint64_t>() <= max;
      if (!is_valid) SetInvalid();
      values.push_back(is_valid ? value.get<std::uint64_t>() : 0);
    }
    return values;
  }
  Bytes Binary(std::size_t max_size) {
    const nlohmann::json* field = Next();
    if (field == nullptr || !field->is_binary() ||
        field->get_binary().size() > max_size) {
      SetInvalid();
      return {};
    }
    return field->get_binary();
  }

 private:
  const nlohmann::json* Next() {
    if (!m_ok || m_next >= m_array.size()) return nullptr;
    return &m_array[m_next++];
  }
  std::uint64_t SetInvalid() {
    m_ok = false;
    return 0;
  }

  nlohmann::json m_array;
  std::size_t m_next = 0;
  bool m_ok;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CBOR_FIELDS_H_
