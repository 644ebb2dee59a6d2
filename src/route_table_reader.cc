#include "route_table_reader.h"

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "route_encoding.h"

namespace sardinelead {
namespace {

using Json = nlohmann::json;

// Nesting of the arrays.
enum Level : std::size_t {
  kOutside,
  kTable,
  kList,  // Of routes or pools.
  kItem,  // A route or a pool.
  kShares,
  kShare,
  kLevelCount,
};
// Positions of the fields in their arrays.
enum TableField : std::size_t { kVersion, kRoutes, kPools, kIdle, kTableSize };
enum RouteField : std::size_t {
  kRouteName,
  kAddress,
  kKind,
  kTimeout,
  kObjective,
  kPriority,
  kRouteShares,
  kRouteSize,
};
enum PoolField : std::size_t {
  kPoolName,
  kHealthPath,
  kMaxFlows,
  kPoolSize,  // Of a pool without a warm-up.
  kWarmUp = kPoolSize,
  kWarmUpRate,
  kWarmingPoolSize,
};
enum ShareField : std::size_t { kShareName, kWeight, kShareSize };

// Each callback returns false to stop at a value that the form does not have.
class Reader : public nlohmann::json_sax<Json> {
 public:
  RouteTable TakeTable() { return std::move(m_table); }
  bool is_complete() const { return m_is_complete; }  // NOLINT

  bool null() override { return false; }                            // NOLINT
  bool boolean(bool) override { return false; }                     // NOLINT
  bool number_integer(number_integer_t) override { return false; }  // NOLINT
  bool number_float(number_float_t, const string_t&) override {     // NOLINT
    return false;
  }
  bool binary(binary_t&) override { return false; }          // NOLINT
  bool start_object(std::size_t) override { return false; }  // NOLINT
  bool key(string_t&) override { return false; }             // NOLINT
  bool end_object() override { return false; }               // NOLINT
  bool parse_error(std::size_t, const std::string&,          // NOLINT
                   const nlohmann::detail::exception&) override {
    return false;
  }

  bool number_unsigned(number_unsigned_t value) override {  // NOLINT
    const std::size_t field = m_fields[m_level]++;
    if (m_level == kTable) return SetTableNumber(field, value);
    const bool fits = value <= std::numeric_limits<std::uint32_t>::max();
    if (!fits) return false;
    const auto number = static_cast<std::uint32_t>(value);
    if (m_level == kItem && IsRoute()) return SetRouteNumber(field, number);
    if (m_level == kItem) return SetPoolNumber(field, number);
    const bool is_weight = m_level == kShare && field == kWeight;
    if (is_weight) m_table.routes.back().pools.back().weight = number;
    return is_weight;
  }

  bool string(string_t& text) override {  // NOLINT
    const std::size_t field = m_fields[m_level]++;
    if (m_level == kItem && IsRoute()) return SetRouteText(field, &text);
    if (m_level == kItem) return SetPoolText(field, &text);
    const bool is_name = m_level == kShare && field == kShareName;
    if (is_name) m_table.routes.back().pools.back().pool = std::move(text);
    return is_name;
  }

  bool start_array(std::size_t) override {  // NOLINT
    const std::size_t field = m_fields[m_level]++;
    if (!MayOpen(field)) return false;
    m_level = static_cast<Level>(m_level + 1);
    m_fields[m_level] = 0;
    if (m_level == kItem && IsRoute()) m_table.routes.emplace_back();
    if (m_level == kItem && !IsRoute()) m_table.pools.emplace_back();
    if (m_level == kShare) m_table.routes.back().pools.emplace_back();
    return true;
  }

  bool end_array() override {  // NOLINT
    const std::size_t size = m_fields[m_level];
    const bool is_whole = IsWhole(size);
    if (m_level == kTable) m_is_complete = is_whole;
    m_level = static_cast<Level>(m_level - 1);
    return is_whole;
  }

 private:
  // Whether the list that is being read is that of the routes.
  bool IsRoute() const { return m_fields[kTable] == kRoutes + 1; }

  // Whether an array may start as element `field` of the present one.
  bool MayOpen(std::size_t field) const {
    switch (m_level) {
      case kOutside:
        return field == 0;
      case kTable:
        return field == kRoutes || field == kPools;
      case kItem:
        return IsRoute() && field == kRouteShares;
      case kList:
      case kShares:
        return true;
      default:
        return false;
    }
  }

  bool IsWhole(std::size_t size) const {
    switch (m_level) {
      case kTable:
        return size == kTableSize;
      case kItem:
        if (IsRoute()) return size == kRouteSize;
        return size == kPoolSize || size == kWarmingPoolSize;
      case kShare:
        return size == kShareSize;
      default:
        return true;
    }
  }

  bool SetTableNumber(std::size_t field, std::uint64_t value) {
    if (field == kVersion) {
      m_table.version = ConfigVersion{value};
      return true;
    }
    const bool is_idle =
        field == kIdle && value <= std::numeric_limits<std::uint32_t>::max();
    if (is_idle) m_table.idle_timeout = std::chrono::milliseconds(value);
    return is_idle;
  }

  bool SetRouteNumber(std::size_t field, std::uint32_t number) {
    Route& route = m_table.routes.back();
    switch (field) {
      case kKind:
        route.kind = static_cast<RequestKind>(number);
        return number < static_cast<std::uint32_t>(RequestKind::kCount);
      case kTimeout:
        route.timeout_ms = number;
        return true;
      case kObjective:
        route.objective_ms = number;
        return true;
      case kPriority:
        route.priority = number;
        return true;
      default:
        return false;
    }
  }

  bool SetPoolNumber(std::size_t field, std::uint32_t number) {
    Pool& pool = m_table.pools.back();
    switch (field) {
      case kMaxFlows:
        pool.max_flows = number;
        return true;
      case kWarmUp:
        pool.warm_up = std::chrono::milliseconds(number);
        return true;
      case kWarmUpRate:
        pool.warm_up_rate = number / kRateSteps;
        return true;
      default:
        return false;
    }
  }

  bool SetRouteText(std::size_t field, std::string* text) {
    Route& route = m_table.routes.back();
    if (field == kRouteName) {
      route.name = std::move(*text);
      return true;
    }
    const auto address = Endpoint::Parse(*text);
    if (field != kAddress || !address) return false;
    route.address = *address;
    return true;
  }

  bool SetPoolText(std::size_t field, std::string* text) {
    Pool& pool = m_table.pools.back();
    if (field == kPoolName) {
      pool.name = std::move(*text);
      return true;
    }
    if (field == kHealthPath) pool.health_path = std::move(*text);
    return field == kHealthPath;
  }

  RouteTable m_table;
  Level m_level = kOutside;
  // Number of elements read of the array at each level.
  std::array<std::size_t, kLevelCount> m_fields{};
  bool m_is_complete = false;
};

}  // namespace

std::optional<RouteTable> ReadRouteTable(ByteView cbor) {
  Reader reader;
  const bool is_read = Json::sax_parse(cbor.begin(), cbor.end(), &reader,
                                       Json::input_format_t::cbor);
  if (!is_read || !reader.is_complete()) return std::nullopt;
  return reader.TakeTable();
}

}  // namespace sardinelead
