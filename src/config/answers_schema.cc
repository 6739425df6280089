#include <nlohmann/json.hpp>
#include <string>

#include "cornelhill/config/questionnaire.h"
#include "cornelhill/config/schemas.h"

namespace cornelhill {

namespace {

using OrderedJson = nlohmann::ordered_json;

OrderedJson FieldOf(const Question& question) {
  OrderedJson field = OrderedJson::object();
  switch (question.type) {
    case AnswerType::kName:
      field = {{"type", "string"},
               {"pattern", "^[a-z0-9-]{1,64}$"},
               {"maxLength", 64}};
      break;
    case AnswerType::kText:
      field = {{"type", "string"}, {"minLength", 1}, {"maxLength", 80}};
      break;
    case AnswerType::kAddress:
      field = {{"type", "string"},
               {"pattern", "^[0-9.]{7,15}:[0-9]{1,5}$"},
               {"maxLength", 21},
               {"syntax", "ipv4-port"}};
      break;
    case AnswerType::kInteger:
      field = {{"type", "integer"},
               {"minimum", question.minimum},
               {"maximum", question.maximum}};
      break;
    case AnswerType::kYesNo:
      field = {{"type", "boolean"}};
      break;
    case AnswerType::kChoice:
      field = {{"enum", question.choices}};
      break;
  }
  if (question.type != AnswerType::kYesNo) {
    field["accepts"] = AllowedAnswers(question);
  }
  if (!question.unit.empty()) field["unit"] = question.unit;
  field["description"] = question.text;
  return field;
}

OrderedJson ObjectOf(std::span<const Question> questions) {
  OrderedJson properties = OrderedJson::object();
  OrderedJson required = OrderedJson::array();
  for (const Question& question : questions) {
    properties[std::string(question.name)] = FieldOf(question);
    if (question.required) required.push_back(question.name);
  }
  return {{"type", "object"},
          {"properties", std::move(properties)},
          {"required", std::move(required)},
          {"additionalProperties", false}};
}

std::string Build() {
  OrderedJson schema = {{"$schema", "http://json-schema.org/draft-07/schema#"},
                        {"title", "Answers to the questionnaire"}};
  schema.update(ObjectOf(TeamQuestions()));
  schema["properties"]["services"] = {
      {"type", "array"},
      {"minItems", 1},
      {"maxItems", 4096},
      {"accepts", "a list of 1 to 4096 services"},
      {"description", "The services."},
      {"items", {{"$ref", "#/definitions/service"}}}};
  schema["required"].push_back("services");
  // The interactive questionnaire checks single answers by "questions".
  OrderedJson questions = ObjectOf(TeamQuestions());
  questions["properties"].update(ObjectOf(ServiceQuestions())["properties"]);
  questions["properties"]["another_service"] = {{"type", "boolean"}};
  for (OrderedJson& field : questions["properties"]) {
    if (field.value("type", "") == "boolean") field["accepts"] = "yes or no";
  }
  questions.erase("required");
  schema["definitions"] = {{"service", ObjectOf(ServiceQuestions())},
                           {"questions", std::move(questions)}};
  return schema.dump(2) + "\n";
}

}  // namespace

std::string_view AnswersSchema() {
  static const std::string schema = Build();
  return schema;
}

}  // namespace cornelhill
