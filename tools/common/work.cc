#include "tools/common/work.h"

#include <nlohmann/json.hpp>

namespace cornelhill {

namespace {

using Json = nlohmann::json;

std::string Pad(std::string text, size_t bytes) {
  if (text.size() < bytes) text.resize(bytes, ' ');
  return text;
}

Error MalformedPayload(const std::string& payload) {
  return Error{ErrorCode::kMalformed, "payload of " +
                                          std::to_string(payload.size()) +
                                          " bytes is not a JSON object"};
}

}  // namespace

std::string EncodeWork(const Work& work, size_t bytes) {
  const Json json = {{"service", work.service},     {"id", work.id},
                     {"ms", work.duration.Count()}, {"chunks", work.chunks},
                     {"parts", work.parts},         {"part", work.part},
                     {"resume", work.resume_from}};
  return Pad(json.dump(), bytes);
}

std::string EncodeChunk(const Chunk& chunk, size_t bytes) {
  const Json json = {{"service", chunk.service},
                     {"id", chunk.id},
                     {"index", chunk.index},
                     {"count", chunk.count}};
  return Pad(json.dump(), bytes);
}

Result<Work> DecodeWork(const std::string& payload) {
  const Json json = Json::parse(payload, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return MalformedPayload(payload);
  Work work;
  work.service = json.value("service", "");
  work.id = json.value("id", "");
  work.duration = Millis(json.value("ms", int64_t{0}));
  work.chunks = json.value("chunks", 1U);
  work.parts = json.value("parts", 1U);
  work.part = json.value("part", 0U);
  work.resume_from = json.value("resume", 0U);
  return work;
}

Result<Chunk> DecodeChunk(const std::string& payload) {
  const Json json = Json::parse(payload, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return MalformedPayload(payload);
  Chunk chunk;
  chunk.service = json.value("service", "");
  chunk.id = json.value("id", "");
  chunk.index = json.value("index", 0U);
  chunk.count = json.value("count", 1U);
  return chunk;
}

}  // namespace cornelhill
