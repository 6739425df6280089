#pragma once

#include <cstdint>
#include <istream>
#include <ostream>
#include <span>
#include <string_view>
#include <vector>

#include "cornelhill/base/result.h"
#include "cornelhill/config/answers.h"
#include "cornelhill/config/generate.h"

namespace cornelhill {

enum class AnswerType : uint8_t {
  kName,     // 1 to 64 characters of a-z, 0-9 and -.
  kText,     // 1 to 80 characters.
  kAddress,  // IPV4:PORT.
  kInteger,
  kYesNo,
  kChoice,
};

// One question of the questionnaire.
struct Question {
  std::string_view name;  // Field in the answers file.
  std::string_view text;
  std::string_view help;
  AnswerType type;
  bool required;
  std::string_view unit;
  uint32_t minimum = 0;  // Of an integer.
  uint32_t maximum = 0;
  std::vector<std::string_view> choices;
};

// Returns the questions about the team and its callers. Thread-safe.
std::span<const Question> TeamQuestions();

// Returns the questions about each service. Thread-safe.
std::span<const Question> ServiceQuestions();

// Says in words what a question accepts. Thread-safe.
std::string AllowedAnswers(const Question& question);

// Asks every question and repeats one whose answer is not accepted. "?" prints
// the help, an empty line answers an optional question with unknown. Fails
// where the input ends before the last answer.
Result<Answers> Ask(std::istream& in, std::ostream& out);

}  // namespace cornelhill
