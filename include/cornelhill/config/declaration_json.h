#pragma once

#include <string>
#include <string_view>

#include "cornelhill/base/result.h"
#include "cornelhill/config/declaration.h"

namespace cornelhill {

// Largest declaration file.
constexpr size_t kMaxDeclarationBytes = 4194304;

// Reads and checks the declaration file at `path`. The error is one line with
// the file, the field, the value and what is accepted. Thread-safe.
Result<Declaration> LoadDeclaration(const std::string& path);

// Parses and checks `text`; `file` is the name used in errors. Thread-safe.
Result<Declaration> ParseDeclaration(std::string_view text,
                                     const std::string& file);

// Writes the canonical form: services ordered by name, keys sorted, every rule
// stated, so that a changed default changes no declared service. Equal
// declarations give equal text, and reading it back gives an equal
// declaration. Thread-safe.
std::string WriteDeclaration(const Declaration& declaration);

}  // namespace cornelhill
