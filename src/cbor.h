#ifndef SARDINELEAD_SRC_CBOR_H_
#define SARDINELEAD_SRC_CBOR_H_

// CBOR encoding, and type-checked decoding of CBOR arrays.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "cbor_read.h"
#include "sardinelead/types.h"

namespace sardinelead {

inline Bytes ToCbor(const nlohmann::json& value) {
  return nlohmann::json::to_cbor(value);
}

// Returns a discarded value if the bytes are not valid CBOR or exceed
// kMaxCborDepth.
inline nlohmann::json FromCbor(ByteView bytes) { return ReadCbor(bytes); }

inline nlohmann::json Binary(Bytes bytes) {
  return nlohmann::json::binary(std::move(bytes));
}

// Reads the elements of an array in order. A missing element or one of the
// wrong type yields zero or an empty value and makes ok() false; AtEnd() is
// then true and all further reads return zero or empty values.
class CborArrayReader {
 public:
  explicit CborArrayReader(const nlohmann::json& array) : m_array(array) {
    m_ok = array.is_array();
  }

  bool ok() const { return m_ok; }  // NOLINT
  bool AtEnd() const { return !m_ok || m_next == m_array.size(); }

  std::uint64_t Number() {
    const nlohmann::json* element = Next();
    if (element == nullptr || !element->is_number_unsigned()) {
      m_ok = false;
      return 0;
    }
    return element->get<std::uint64_t>();
  }

  std::string Text() {
    const nlohmann::json* element = Next();
    if (element == nullptr || !element->is_string()) {
      m_ok = false;
      return "";
    }
    return element->get<std::string>();
  }

  Bytes Blob() {
    const nlohmann::json* element = Next();
    if (element == nullptr || !element->is_binary()) {
      m_ok = false;
      return {};
    }
    return element->get_binary();
  }

  // Returns an empty array if the element is not an array.
  const nlohmann::json& Array() {
    static const auto* const kEmpty =
        new nlohmann::json(nlohmann::json::array());
    const nlohmann::json* element = Next();
    if (element != nullptr && element->is_array()) return *element;
    m_ok = false;
    return *kEmpty;
  }

  // Returns nullptr past the end or after an error.
  const nlohmann::json* Next() {
    if (AtEnd()) {
      m_ok = false;
      return nullptr;
    }
    return &m_array[m_next++];
  }

 private:
  const nlohmann::json& m_array;
  std::size_t m_next = 0;
  bool m_ok = false;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CBOR_H_
