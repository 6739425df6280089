#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "cornelhill/base/registry.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// Exit codes of `cornelhillctl`.
enum class ExitCode : uint8_t {
  kDone = 0,
  kDifferences = 1,  // `diff` only.
  kUsage = 2,
  kRefused = 3,      // A file or a request is not accepted.
  kUnavailable = 4,  // Control or processes cannot be reached.
  kIo = 5,           // A file cannot be read or written.
};

enum class OutputFormat : uint8_t { kTable, kJson };

// One call of a subcommand.
struct Invocation {
  std::vector<std::string> arguments;  // Without flags.
  OutputFormat output = OutputFormat::kTable;
  std::istream& in;
  std::ostream& out;  // Results.
  std::ostream& err;  // Errors and prompts.
};

// A subcommand registers itself by a namespace-scope `Registration` in its own
// source file under src/ctl/:
//   const Registration<Subcommand> registration("status", {.summary = ...,
//   ...});
struct Subcommand {
  std::string summary;    // One line for `cornelhillctl --help`.
  std::string arguments;  // e.g. "BEFORE AFTER".
  size_t min_arguments = 0;
  size_t max_arguments = 0;
  // Abseil flags that the subcommand accepts besides --output and --help.
  std::vector<std::string> flags;
  std::string details;  // Further lines for `cornelhillctl NAME --help`.
  ExitCode (*run)(Invocation& invocation) = nullptr;
};

// Runs the tool with `arguments` (without the program's name) and returns its
// exit code. Sets Abseil flags; not thread-safe.
ExitCode RunTool(const std::vector<std::string>& arguments, std::istream& in,
                 std::ostream& out, std::ostream& err);

// Prints the error as one line and returns the exit code of its kind.
ExitCode ReportError(Invocation& invocation, const Error& error);

// Rows of text under named columns. Column names are lower-case words.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;  // As wide as `columns`.
};

// Prints aligned columns, or a JSON list with one object of texts for each row.
void PrintTable(Invocation& invocation, const Table& table);

}  // namespace cornelhill
