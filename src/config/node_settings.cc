#include "cornelhill/config/node_settings.h"

#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "cornelhill/config/json_document.h"

namespace cornelhill {

namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxMillis = 3600000;
constexpr int64_t kMaxPort = 65000;

constexpr int64_t kMaxToleratedFailures = 1000;
constexpr int64_t kMinMemoryMb = 32;
constexpr int64_t kMaxMemoryMb = 1 << 20;

// Reads fields and remembers the first fault and which fields were asked for.
class FieldReader {
 public:
  FieldReader(const Json& document, std::string file)
      : document(document), file(std::move(file)) {}

  std::string Text(const std::string& name, bool required) {
    const Json* field = this->Find(name, required);
    if (field == nullptr) return {};
    if (!field->is_string() ||
        (required && field->get_ref<const std::string&>().empty())) {
      this->Refuse(name, "a text");
      return {};
    }
    return field->get<std::string>();
  }

  std::optional<Endpoint> Address(const std::string& name, bool required) {
    const std::string text = this->Text(name, required);
    if (text.empty()) return std::nullopt;
    const Result<Endpoint> parsed = ParseEndpoint(text);
    if (!parsed.has_value()) {
      this->Refuse(name, "an IPv4 address and port, e.g. \"10.1.0.10:7720\"");
      return std::nullopt;
    }
    return parsed.value();
  }

  int64_t Number(const std::string& name, int64_t fallback, int64_t lowest,
                 int64_t highest) {
    const Json* field = this->Find(name, false);
    if (field == nullptr) return fallback;
    if (!field->is_number_integer() || field->get<int64_t>() < lowest ||
        field->get<int64_t>() > highest) {
      this->Refuse(name, "an integer from " + std::to_string(lowest) + " to " +
                             std::to_string(highest));
      return fallback;
    }
    return field->get<int64_t>();
  }

  // A duration in the field NAME_s, in seconds, or NAME_ms, in milliseconds.
  Millis Duration(const std::string& name, Millis fallback, Millis lowest) {
    const std::string seconds = name + "_s";
    const Json* field = this->Find(seconds, false);
    if (field == nullptr) {
      return Millis(this->Number(name + "_ms", fallback.Count(), lowest.Count(),
                                 kMaxMillis));
    }
    const double value = field->is_number() ? field->get<double>() : -1;
    const double low = static_cast<double>(lowest.Count()) / 1000;
    const double high = static_cast<double>(kMaxMillis) / 1000;
    if (!(value >= low && value <= high)) {
      this->Refuse(seconds, "a number of seconds from " + std::to_string(low) +
                                " to " + std::to_string(high));
      return fallback;
    }
    return Millis(std::llround(value * 1000));
  }

  // An integer, or a fraction, of which the integer part counts.
  int64_t WholePart(const std::string& name, int64_t fallback, int64_t lowest,
                    int64_t highest) {
    const Json* field = this->Find(name, false);
    if (field == nullptr) return fallback;
    const double value = field->is_number() ? field->get<double>() : -1;
    if (!(value >= static_cast<double>(lowest) &&
          value <= static_cast<double>(highest))) {
      this->Refuse(name, "a number from " + std::to_string(lowest) + " to " +
                             std::to_string(highest));
      return fallback;
    }
    return static_cast<int64_t>(value);
  }

  bool Flag(const std::string& name) {
    const Json* field = this->Find(name, false);
    if (field == nullptr) return false;
    if (!field->is_boolean()) this->Refuse(name, "true or false");
    return field->is_boolean() && field->get<bool>();
  }

  std::vector<Endpoint> Addresses(const std::string& name) {
    std::vector<Endpoint> out;
    const Json* field = this->Find(name, true);
    if (field == nullptr) return out;
    if (!field->is_array()) this->Refuse(name, "a list of addresses");
    if (!field->is_array()) return out;
    for (const Json& item : *field) {
      const Result<Endpoint> parsed = ParseEndpoint(
          item.is_string() ? item.get<std::string>() : std::string());
      if (!parsed.has_value()) {
        this->Refuse(name, "a list of IPv4 addresses with ports");
        return out;
      }
      out.push_back(parsed.value());
    }
    return out;
  }

  void Refuse(const std::string& name, const std::string& accepted) {
    if (!this->fault.empty()) return;
    const auto found = this->document.find(name);
    const std::string value =
        found == this->document.end() ? "nothing" : found->dump();
    this->fault = this->file + ": field " + name + " is " + value +
                  "; accepted: " + accepted;
  }

  // Returns the first fault, with fields that nobody asked for.
  std::string Fault() {
    for (const auto& [name, value] : this->document.items()) {
      if (!this->asked.contains(name)) this->Refuse(name, "no such field");
    }
    return this->fault;
  }

 private:
  const Json* Find(const std::string& name, bool required) {
    this->asked.insert(name);
    const auto found = this->document.find(name);
    if (found != this->document.end()) return &*found;
    if (required) this->Refuse(name, "this field is required");
    return nullptr;
  }

  const Json& document;
  std::string file;
  std::string fault;
  std::set<std::string> asked;
};

std::optional<NodeRole> RoleOf(const std::string& name) {
  if (name == "entry") return NodeRole::kEntry;
  if (name == "sidecar") return NodeRole::kSidecar;
  if (name == "core") return NodeRole::kCore;
  return std::nullopt;
}

}  // namespace

bool IsNodeSettings(std::string_view text) {
  const Json document = ParseJsonDocument(text);
  return document.is_object() && document.contains("platform");
}

Result<NodeSettings> ParseNodeSettings(std::string_view text,
                                       const std::string& file) {
  const Json document = ParseJsonDocument(text);
  if (!document.is_object()) {
    return Fail(ErrorCode::kMalformed, file + ": not a JSON object");
  }
  FieldReader reader(document, file);
  NodeSettings out;
  const std::optional<NodeRole> role = RoleOf(reader.Text("role", true));
  if (!role.has_value()) reader.Refuse("role", "entry, sidecar or core");
  out.role = role.value_or(NodeRole::kEntry);
  const bool entry = out.role == NodeRole::kEntry;
  const bool sidecar = out.role == NodeRole::kSidecar;
  const bool core = out.role == NodeRole::kCore;
  out.platform = reader.Text("platform", true);
  out.instance = reader.Text("instance", true);
  out.failure_domain = reader.Text("failure_domain", true);
  const Result<Endpoint> address =
      ParseEndpoint(reader.Text("address", true) + ":1");
  if (!address.has_value()) reader.Refuse("address", "an IPv4 address");
  if (address.has_value()) out.address = address.value().address;
  out.base_port =
      static_cast<uint16_t>(reader.Number("base_port", 0, 1, kMaxPort));
  if (out.base_port == 0) reader.Refuse("base_port", "a port");
  out.seeds = reader.Addresses("seeds");
  out.packets = reader.Address("packets", !core);
  out.ready = reader.Address("ready", entry);
  if (sidecar) {
    out.outbound = reader.Address("outbound", true);
    out.upstream = reader.Address("upstream", true);
    out.service = reader.Text("service", true);
  }
  if (!entry) out.operators = reader.Address("operators", true);
  if (core) {
    out.data_directory = reader.Text("data_directory", false);
    out.bootstrap = reader.Flag("bootstrap");
    out.tolerated_failures = static_cast<size_t>(
        reader.Number("tolerated_failures", 1, 0, kMaxToleratedFailures));
    out.memory_mb = static_cast<size_t>(
        reader.WholePart("memory_mb", 64, kMinMemoryMb, kMaxMemoryMb));
  }
  out.grace = reader.Duration("grace", Millis(6000), Millis(500));
  out.flow_lifetime =
      reader.Duration("flow_lifetime", Millis(60000), Millis(1000));
  out.heartbeat =
      Millis(reader.WholePart("heartbeat_ms", 1200, 50, kMaxMillis));
  out.metrics = reader.Address("metrics", false);
  const std::string level = reader.Text("log_level", false);
  const auto known = level.empty() ? LogLevel::kInfo : ParseLogLevel(level);
  if (!known.has_value()) {
    reader.Refuse("log_level", "info, warn, error or off");
  }
  out.log_level = known.value_or(LogLevel::kInfo);
  const std::string fault = reader.Fault();
  if (!fault.empty()) return Fail(ErrorCode::kInvalidArgument, fault);
  return out;
}

Result<NodeSettings> LoadNodeSettings(const std::string& path) {
  std::ifstream in(path);
  if (!in) return Fail(ErrorCode::kNotFound, path + ": cannot be read");
  std::stringstream text;
  text << in.rdbuf();
  BOOST_OUTCOME_TRY(settings, ParseNodeSettings(text.str(), path));
  settings.path = path;
  return settings;
}

}  // namespace cornelhill
