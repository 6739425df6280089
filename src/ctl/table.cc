#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>

#include "cornelhill/ctl/subcommand.h"

namespace cornelhill {

namespace {

void PrintRow(const std::vector<std::string>& cells,
              const std::vector<size_t>& widths, std::ostream& out) {
  std::string line;
  for (size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    // The last column is not padded, so that no line ends in spaces.
    if (i + 1 < cells.size()) {
      line.append(widths[i] - cells[i].size() + 2, ' ');
    }
  }
  line.resize(line.find_last_not_of(' ') + 1);
  out << line << "\n";
}

}  // namespace

void PrintTable(Invocation& invocation, const Table& table) {
  if (invocation.output == OutputFormat::kJson) {
    auto list = nlohmann::ordered_json::array();
    for (const auto& row : table.rows) {
      auto object = nlohmann::ordered_json::object();
      for (size_t i = 0; i < row.size(); ++i) object[table.columns[i]] = row[i];
      list.push_back(std::move(object));
    }
    invocation.out << list.dump(
                          2, ' ', false,
                          nlohmann::ordered_json::error_handler_t::replace)
                   << "\n";
    return;
  }
  std::vector<size_t> widths;
  for (const std::string& column : table.columns) {
    widths.push_back(column.size());
  }
  for (const auto& row : table.rows) {
    assert(row.size() == table.columns.size());
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  PrintRow(table.columns, widths, invocation.out);
  for (const auto& row : table.rows) PrintRow(row, widths, invocation.out);
}

}  // namespace cornelhill
