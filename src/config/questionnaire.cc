#include "cornelhill/config/questionnaire.h"

#include <charconv>
#include <cstring>
#include <string>

#include "config/schema_checker.h"
#include "cornelhill/config/schemas.h"

namespace cornelhill {

namespace {

// Stands where errors name a file.
constexpr const char* kNoFile = "answers";

// Yields the JSON value of an answer as typed. A value of the wrong type is
// left as text for the schema to refuse.
Json ToJson(const Question& question, const std::string& text) {
  if (question.type == AnswerType::kYesNo) {
    if (text == "yes") return true;
    if (text == "no") return false;
  }
  if (question.type == AnswerType::kInteger) {
    int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, number);
    if (status == std::errc() && stop == end) return number;
  }
  return text;
}

std::string Trim(const std::string& text) {
  const size_t begin = text.find_first_not_of(" \t\r");
  if (begin == text.npos) return "";
  return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

Result<std::string> ReadAnswer(std::istream& in, const Question& question) {
  std::string line;
  if (!std::getline(in, line)) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string(question.name) +
                    ": missing, the input ended; expected " +
                    AllowedAnswers(question));
  }
  return Trim(line);
}

void PrintQuestion(const Question& question, std::ostream& out) {
  out << question.text << "\n  [" << AllowedAnswers(question);
  if (!question.unit.empty() && question.type == AnswerType::kInteger) {
    out << ", " << question.unit;
  }
  out << (question.required ? "" : "; empty if unknown") << "; ? for help]\n> ";
}

// Asks until the answer is accepted; adds it to `object` unless unknown.
Result<void> AskOne(const Question& question, std::istream& in,
                    std::ostream& out, Json& object) {
  while (true) {
    PrintQuestion(question, out);
    const Result<std::string> answer = ReadAnswer(in, question);
    if (answer.has_error()) {
      out << "\n";
      return answer.error();
    }
    const std::string& text = answer.value();
    if (text == "?") {
      out << "  " << question.help << "\n";
      continue;
    }
    if (text.empty() && !question.required) break;
    Json value = ToJson(question, text);
    static const SchemaChecker checker(AnswersSchema(), "questions");
    const Json document = {{std::string(question.name), value}};
    const Result<void> accepted = checker.Check(document, kNoFile);
    if (accepted.has_value()) {
      object[std::string(question.name)] = std::move(value);
      break;
    }
    out << "  " << accepted.error().message.substr(std::strlen(kNoFile) + 2)
        << "\n";
  }
  return boost::outcome_v2::success();
}

}  // namespace

std::span<const Question> TeamQuestions() {
  static const std::vector<Question> questions = {
      {"team", "What is the name of your team?",
       "The name only labels the answers.", AnswerType::kName, true, ""},
      {"top_priority",
       "What hurts your callers most?",
       "broken_flows: a stream or an upload breaks off. head_of_line_blocking: "
       "short work waits behind long work. peak_service: callers are refused "
       "or wait when demand rises suddenly. imbalance: some upstreams are busy "
       "while others are idle.",
       AnswerType::kChoice,
       true,
       "",
       0,
       0,
       {"broken_flows", "head_of_line_blocking", "peak_service", "imbalance"}},
      {"sudden_demand", "Does demand rise several-fold within seconds?",
       "For example when a class starts or a match ends.", AnswerType::kYesNo,
       false, ""},
      {"stragglers",
       "Do a few pieces of work run many times longer than the rest?",
       "Such work is limited to a share of the slots, so that it cannot fill "
       "an upstream.",
       AnswerType::kYesNo, false, ""},
      {"heavy_callers", "Can one caller send far more than the others?",
       "For example a caller that uploads a whole archive at once.",
       AnswerType::kYesNo, false, ""},
  };
  return questions;
}

std::span<const Question> ServiceQuestions() {
  static const std::vector<Question> questions = {
      {"name", "What is the name of the service?",
       "The name under which operators refer to the service.",
       AnswerType::kName, true, ""},
      {"address", "At which address do callers reach it?",
       "No two services share an address.", AnswerType::kAddress, true, ""},
      {"protocol",
       "Which protocol do callers use?",
       "Without an answer it is udp.",
       AnswerType::kChoice,
       false,
       "",
       0,
       0,
       {"tcp", "udp"}},
      {"application", "Which application name do its agents announce?",
       "Without an answer it is the name of the service.", AnswerType::kName,
       false, ""},
      {"upstreams", "On how many upstreams does it run?",
       "Count the upstreams in all failure domains.", AnswerType::kInteger,
       true, "upstreams", 1, 10000},
      {"slots", "How many requests does one upstream run at a time?",
       "These are the slots that short and long work share.",
       AnswerType::kInteger, true, "slots", 1, 1024},
      {"connections", "How many open flows does one upstream take?",
       "The queue of an upstream need not be longer than this.",
       AnswerType::kInteger, false, "flows", 1, 100000},
      {"short_work", "What is the short work?",
       "For example: quiz answers. The words appear in the reasons.",
       AnswerType::kText, false, ""},
      {"short_work_ms", "How long does short work usually hold a slot?",
       "Work that runs several times longer is scheduled as long work.",
       AnswerType::kInteger, false, "ms", 1, 10000},
      {"short_work_bytes", "How many bytes does short work send?",
       "Work that sends several times more is scheduled as long work.",
       AnswerType::kInteger, false, "bytes", 1, 16777216},
      {"long_work", "What is the long work?",
       "For example: streams and uploads. The words appear in the reasons.",
       AnswerType::kText, false, ""},
      {"long_work_ms", "How long does long work usually hold a slot?",
       "Work that runs several times longer counts as a straggler.",
       AnswerType::kInteger, false, "ms", 1, 600000},
      {"patience_ms", "How long does a caller wait before it gives up?",
       "Work that waits longer than this is of no use to the caller.",
       AnswerType::kInteger, false, "ms", 1, 600000},
      {"caller_peak_rate",
       "How many requests does an ordinary caller start at its peak?",
       "A caller far above this is limited.", AnswerType::kInteger, false,
       "requests per second", 1, 100000},
  };
  return questions;
}

std::string AllowedAnswers(const Question& question) {
  switch (question.type) {
    case AnswerType::kName:
      return "1 to 64 characters of a-z, 0-9 and -";
    case AnswerType::kText:
      return "1 to 80 characters";
    case AnswerType::kAddress:
      return "IPV4:PORT other than 0.0.0.0 and port 0, e.g. 127.0.0.1:7000";
    case AnswerType::kInteger:
      return "an integer from " + std::to_string(question.minimum) + " to " +
             std::to_string(question.maximum);
    case AnswerType::kYesNo:
      return "yes or no";
    case AnswerType::kChoice:
      break;
  }
  std::string text = "one of ";
  for (const std::string_view choice : question.choices) {
    if (choice != question.choices.front()) text += ", ";
    text += choice;
  }
  return text;
}

Result<Answers> Ask(std::istream& in, std::ostream& out) {
  Json document = Json::object();
  for (const Question& question : TeamQuestions()) {
    BOOST_OUTCOME_TRY(AskOne(question, in, out, document));
  }
  const Question another = {"another_service",
                            "Is there another service?",
                            "Answer yes to describe one more service.",
                            AnswerType::kYesNo,
                            true,
                            ""};
  Json& services = document["services"];
  Json more = true;
  while (more == true) {
    Json service = Json::object();
    for (const Question& question : ServiceQuestions()) {
      BOOST_OUTCOME_TRY(AskOne(question, in, out, service));
    }
    services.push_back(std::move(service));
    // Refuses a repeated name, address or application at once.
    const Result<Answers> so_far = ParseAnswers(document.dump(), kNoFile);
    if (so_far.has_error()) {
      out << "  " << so_far.error().message
          << "\n  Describe this service again.\n";
      services.erase(services.size() - 1);
      continue;
    }
    Json reply = Json::object();
    BOOST_OUTCOME_TRY(AskOne(another, in, out, reply));
    more = reply["another_service"];
  }
  return ParseAnswers(document.dump(), kNoFile);
}

}  // namespace cornelhill
