#include "text_table.h"

#include <algorithm>

namespace sardinelead {

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  constexpr std::size_t kColumnGap = 2;
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      const bool is_last = i + 1 == row.size();
      if (!is_last) text.append(widths[i] + kColumnGap - row[i].size(), ' ');
    }
    text += '\n';
  }
  return text;
}

}  // namespace sardinelead
