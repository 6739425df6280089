#include "cornelhill/config/check_file.h"

#include <array>
#include <utility>

#include "config/schema_checker.h"
#include "cornelhill/config/answers.h"
#include "cornelhill/config/declaration_json.h"
#include "cornelhill/config/settings.h"

namespace cornelhill {

namespace {

constexpr std::array<std::pair<FileKind, std::string_view>, 3> kKinds = {{
    {FileKind::kSettings, "settings"},
    {FileKind::kDeclaration, "declaration"},
    {FileKind::kAnswers, "answers"},
}};

std::string Services(size_t count) {
  return std::to_string(count) + (count == 1 ? " service" : " services");
}

Result<FileKind> DetectKind(const std::string& text, const std::string& path) {
  BOOST_OUTCOME_TRY(document, ParseJson(text, path));
  if (document.is_object()) {
    if (document.contains("role")) return FileKind::kSettings;
    if (document.contains("top_priority")) return FileKind::kAnswers;
    if (document.contains("services")) return FileKind::kDeclaration;
  }
  return FieldError(path, document, {},
                    "an object with the field role (settings), services "
                    "(declaration) or top_priority (answers)");
}

}  // namespace

std::string_view ToString(FileKind kind) {
  return kKinds.at(static_cast<size_t>(kind)).second;
}

std::optional<FileKind> ParseFileKind(std::string_view name) {
  for (const auto& [kind, known] : kKinds) {
    if (known == name) return kind;
  }
  return std::nullopt;
}

Result<CheckedFile> CheckFile(const std::string& path,
                              std::optional<FileKind> kind) {
  BOOST_OUTCOME_TRY(text, ReadTextFile(path, kMaxDeclarationBytes));
  if (!kind.has_value()) {
    BOOST_OUTCOME_TRY(detected, DetectKind(text, path));
    kind = detected;
  }
  std::string summary;
  switch (*kind) {
    case FileKind::kSettings: {
      BOOST_OUTCOME_TRY(settings, ParseSettings(text, path));
      summary = std::string(ToString(settings.role)) + " " + settings.instance;
      break;
    }
    case FileKind::kDeclaration: {
      BOOST_OUTCOME_TRY(declaration, ParseDeclaration(text, path));
      summary = Services(declaration.services.size());
      break;
    }
    case FileKind::kAnswers: {
      BOOST_OUTCOME_TRY(answers, ParseAnswers(text, path));
      summary =
          "team " + answers.team + ", " + Services(answers.services.size());
      break;
    }
  }
  return CheckedFile{*kind, std::move(summary)};
}

}  // namespace cornelhill
