#pragma once

#include <cstdint>
#include <string>

#include "cornelhill/base/millis.h"
#include "cornelhill/base/result.h"

namespace cornelhill {

// Work that a simulated caller requests from a simulated upstream in one
// packet.
struct Work {
  std::string service;       // Service that the caller addressed.
  std::string id;            // Unique for each request.
  Millis duration;           // Slot time of the request.
  uint32_t chunks = 1;       // Packets of the answer, spread over the duration.
  uint32_t parts = 1;        // Packets of the request.
  uint32_t part = 0;         // Index of this packet.
  uint32_t resume_from = 0;  // First chunk that the caller lacks.

  bool operator==(const Work&) const = default;
};

// One packet of the answer.
struct Chunk {
  std::string service;  // Service whose upstream ran the request.
  std::string id;
  uint32_t index = 0;
  uint32_t count = 1;

  bool operator==(const Chunk&) const = default;
};

// Payloads are JSON, padded with spaces to `bytes` if shorter.
std::string EncodeWork(const Work& work, size_t bytes = 0);
std::string EncodeChunk(const Chunk& chunk, size_t bytes = 0);
Result<Work> DecodeWork(const std::string& payload);
Result<Chunk> DecodeChunk(const std::string& payload);

}  // namespace cornelhill
