#ifndef SARDINELEAD_SRC_TEXT_TABLE_H_
#define SARDINELEAD_SRC_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace sardinelead {

// Formats rows of cells as lines with aligned columns. The first row holds the
// column headers.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_TEXT_TABLE_H_
