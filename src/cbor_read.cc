#include "cbor_read.h"

namespace sardinelead {
namespace {

using Json = nlohmann::json;

// A SAX handler that stops parsing when the nesting exceeds kMaxCborDepth.
class DepthChecker : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }                              // NOLINT
  bool boolean(bool) override { return true; }                       // NOLINT
  bool number_integer(number_integer_t) override { return true; }    // NOLINT
  bool number_unsigned(number_unsigned_t) override { return true; }  // NOLINT
  bool number_float(number_float_t, const string_t&) override {      // NOLINT
    return true;
  }
  bool string(string_t&) override { return true; }             // NOLINT
  bool binary(binary_t&) override { return true; }             // NOLINT
  bool start_object(std::size_t) override { return Enter(); }  // NOLINT
  bool key(string_t&) override { return true; }                // NOLINT
  bool end_object() override { return Leave(); }               // NOLINT
  bool start_array(std::size_t) override { return Enter(); }   // NOLINT
  bool end_array() override { return Leave(); }                // NOLINT
  bool parse_error(std::size_t, const std::string&,            // NOLINT
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Enter() { return ++m_depth <= kMaxCborDepth; }
  bool Leave() {
    --m_depth;
    return true;
  }

  int m_depth = 0;
};

}  // namespace

nlohmann::json ReadCbor(ByteView bytes) {
  DepthChecker checker;
  const bool is_valid = Json::sax_parse(bytes.begin(), bytes.end(), &checker,
                                        Json::input_format_t::cbor);
  if (!is_valid) return Json(Json::value_t::discarded);
  return Json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true,
                         /*allow_exceptions=*/false);
}

}  // namespace sardinelead
