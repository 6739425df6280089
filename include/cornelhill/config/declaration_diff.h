#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cornelhill/config/declaration.h"

namespace cornelhill {

enum class ChangeKind : uint8_t {
  kServiceAdded,
  kServiceRemoved,
  kFieldChanged
};

// Returns the name used on the command line, e.g. "service_added". Thread-safe.
std::string_view ToString(ChangeKind kind);

// One difference between two declarations.
struct DeclarationChange {
  ChangeKind kind = ChangeKind::kFieldChanged;
  std::string service;
  // Empty unless `kind` is `kFieldChanged`: e.g. "address" or
  // "rules.short_quantum_ms".
  std::string field;
  // For an added or removed service, `to` or `from` sums it up.
  std::string from;
  std::string to;

  bool operator==(const DeclarationChange&) const = default;
};

// Returns what changes from `before` to `after`, ordered by service and then
// by field. A renamed service is one removed and one added. Requires that the
// services of both are ordered by name. Thread-safe.
std::vector<DeclarationChange> DiffDeclarations(const Declaration& before,
                                                const Declaration& after);

// Writes one line for each change, or "no changes". Thread-safe.
std::string RenderChanges(const std::vector<DeclarationChange>& changes);

}  // namespace cornelhill
