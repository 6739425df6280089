// Packets of the platform: the head of PROTOCOL.md and a keyed sum that only
// the two ends of a flow know.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace review {

constexpr uint8_t kReset = 1;
constexpr uint8_t kAck = 2;
constexpr uint8_t kSyn = 16;
constexpr uint8_t kBounced = 32;
constexpr uint8_t kFin = 128;

struct Packet {
  uint32_t sum = 0;
  uint32_t source = 0;
  uint32_t destination = 0;
  uint16_t source_port = 0;
  uint16_t destination_port = 0;
  uint8_t flags = 0;
  uint8_t pad = 0;
  uint32_t echo = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  std::string data;
};

inline void Put(std::string* out, size_t at, uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i, value >>= 8) {
    (*out)[at + static_cast<size_t>(i)] = static_cast<char>(value & 0xff);
  }
}

inline uint32_t Get(const std::string& in, size_t at, int bytes) {
  uint32_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value = value << 8 | static_cast<uint8_t>(in[at + static_cast<size_t>(i)]);
  }
  return value;
}

// Covers all fields but echo, pad and the flag BOUNCED.
inline uint32_t SumOf(const Packet& packet) {
  uint32_t hash = 0x5eed1234;
  const auto add = [&hash](uint64_t value) {
    for (int i = 0; i < 8; ++i, value >>= 8) {
      hash = (hash ^ static_cast<uint32_t>(value & 0xff)) * 16777619U;
    }
  };
  add(packet.source);
  add(packet.destination);
  add(packet.source_port);
  add(packet.destination_port);
  add(packet.flags & ~kBounced);
  add(packet.sequence);
  add(packet.acknowledged);
  for (const char c : packet.data) add(static_cast<uint8_t>(c));
  return hash == 0 ? 1 : hash;
}

inline std::string Write(Packet packet, bool seal = true) {
  if (seal) packet.sum = SumOf(packet);
  std::string out(32, '\0');
  Put(&out, 0, packet.sum, 4);
  Put(&out, 4, packet.destination, 4);
  Put(&out, 8, packet.source_port, 2);
  Put(&out, 10, packet.source, 4);
  Put(&out, 14, packet.destination_port, 2);
  Put(&out, 16, packet.flags, 1);
  Put(&out, 17, packet.pad, 1);
  Put(&out, 18, packet.echo, 4);
  Put(&out, 22, packet.data.size(), 2);
  Put(&out, 24, packet.sequence, 4);
  Put(&out, 28, packet.acknowledged, 4);
  return out + packet.data;
}

inline std::optional<Packet> Read(const std::string& in) {
  if (in.size() < 32 || Get(in, 22, 2) != in.size() - 32) return std::nullopt;
  Packet out;
  out.sum = Get(in, 0, 4);
  out.destination = Get(in, 4, 4);
  out.source_port = static_cast<uint16_t>(Get(in, 8, 2));
  out.source = Get(in, 10, 4);
  out.destination_port = static_cast<uint16_t>(Get(in, 14, 2));
  out.flags = static_cast<uint8_t>(Get(in, 16, 1));
  out.pad = static_cast<uint8_t>(Get(in, 17, 1));
  out.echo = Get(in, 18, 4);
  out.sequence = Get(in, 24, 4);
  out.acknowledged = Get(in, 28, 4);
  out.data = in.substr(32);
  return out;
}

}  // namespace review
