#include "cornelhill/config/declaration_diff.h"

#include <algorithm>
#include <cassert>

#include "cornelhill/config/rule_fields.h"

namespace cornelhill {

namespace {

std::string ToText(Protocol protocol) {
  return protocol == Protocol::kTcp ? "tcp" : "udp";
}

std::string Summary(const ServiceDeclaration& service) {
  return ToText(service.protocol) + " " + ToString(service.address) +
         ", application " + service.application;
}

void DiffService(const ServiceDeclaration& before,
                 const ServiceDeclaration& after,
                 std::vector<DeclarationChange>& changes) {
  const auto compare = [&](std::string field, std::string from,
                           std::string to) {
    if (from == to) return;
    changes.push_back({ChangeKind::kFieldChanged, after.name, std::move(field),
                       std::move(from), std::move(to)});
  };
  compare("address", ToString(before.address), ToString(after.address));
  compare("protocol", ToText(before.protocol), ToText(after.protocol));
  compare("application", before.application, after.application);
  for (const RuleField& field : RuleFields()) {
    compare("rules." + std::string(field.name),
            std::to_string(GetRule(before.rules, field)),
            std::to_string(GetRule(after.rules, field)));
  }
}

}  // namespace

std::string_view ToString(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kServiceAdded:
      return "service_added";
    case ChangeKind::kServiceRemoved:
      return "service_removed";
    case ChangeKind::kFieldChanged:
      return "field_changed";
  }
  return "unknown";
}

std::vector<DeclarationChange> DiffDeclarations(const Declaration& before,
                                                const Declaration& after) {
  const auto by_name = &ServiceDeclaration::name;
  assert(std::ranges::is_sorted(before.services, {}, by_name));
  assert(std::ranges::is_sorted(after.services, {}, by_name));
  std::vector<DeclarationChange> changes;
  auto old_service = before.services.begin();
  auto new_service = after.services.begin();
  while (old_service != before.services.end() ||
         new_service != after.services.end()) {
    if (new_service == after.services.end() ||
        (old_service != before.services.end() &&
         old_service->name < new_service->name)) {
      changes.push_back({ChangeKind::kServiceRemoved, old_service->name, "",
                         Summary(*old_service), ""});
      ++old_service;
    } else if (old_service == before.services.end() ||
               new_service->name < old_service->name) {
      changes.push_back({ChangeKind::kServiceAdded, new_service->name, "", "",
                         Summary(*new_service)});
      ++new_service;
    } else {
      DiffService(*old_service, *new_service, changes);
      ++old_service;
      ++new_service;
    }
  }
  return changes;
}

std::string RenderChanges(const std::vector<DeclarationChange>& changes) {
  if (changes.empty()) return "no changes\n";
  std::string text;
  for (const DeclarationChange& change : changes) {
    switch (change.kind) {
      case ChangeKind::kServiceAdded:
        text += "+ service " + change.service + ": " + change.to + "\n";
        break;
      case ChangeKind::kServiceRemoved:
        text += "- service " + change.service + ": " + change.from + "\n";
        break;
      case ChangeKind::kFieldChanged:
        text += "~ service " + change.service + ": " + change.field + " " +
                change.from + " -> " + change.to + "\n";
        break;
    }
  }
  return text;
}

}  // namespace cornelhill
