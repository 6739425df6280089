#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cornelhill/base/result.h"

namespace cornelhill {

enum class FileKind : uint8_t { kSettings, kDeclaration, kAnswers };

// Returns the name used on the command line, e.g. "settings". Thread-safe.
std::string_view ToString(FileKind kind);

// Returns the kind with that name, or nothing. Thread-safe.
std::optional<FileKind> ParseFileKind(std::string_view name);

struct CheckedFile {
  FileKind kind = FileKind::kSettings;
  std::string summary;  // e.g. "2 services".
};

// Checks the file at `path`. Without `kind` its fields tell what it is.
// Thread-safe.
Result<CheckedFile> CheckFile(const std::string& path,
                              std::optional<FileKind> kind);

}  // namespace cornelhill
