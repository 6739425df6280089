#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "cornelhill/base/random.h"
#include "cornelhill/segment/segment.h"

namespace cornelhill {
namespace {

const SegmentFormat& Format() {
  return *SegmentFormatRegistry::Global().Find("platform");
}

std::string Bytes(std::initializer_list<int> values) {
  std::string out;
  for (const int value : values) out += static_cast<char>(value);
  return out;
}

// The examples of the platform's documentation.
Test(packet_format, reads_the_published_example) {
  const std::string first =
      Bytes({0xa1, 0xb2, 0xc3, 0xd5, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x64,
             0x40, 0x00, 0x07, 0x01, 0xbb, 0x10, 0x00, 0x00, 0x00, 0x00, 0x00,
             0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00});
  const Segment segment = Format().read(first).value();
  cr_assert(segment.source == (Endpoint{0x64400007, 40001}));
  cr_assert(segment.destination == (Endpoint{0xc6120001, 443}));
  cr_assert(segment.opens);
  cr_assert_not(segment.accepts);
  cr_assert_eq(segment.sequence, 0x11223344U);
  cr_assert_eq(segment.data_bytes, 0U);
}

Test(packet_format, renders_the_published_reset) {
  const std::string expected =
      Bytes({0x00, 0x00, 0x00, 0x00, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0xc6,
             0x12, 0x00, 0x01, 0x9c, 0x41, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00,
             0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00});
  cr_assert(Format().reset({0xc6120001, 443}, {0x64400007, 40001}, 0) ==
            expected);
}

// Fails if a returned packet is not restored to what its sender wrote.
Test(packet_format, clear_returned_changes_only_fields_outside_the_checksum) {
  std::string packet(32 + 3, '\x5a');
  packet[16] = '\x22';
  packet[22] = 0;
  packet[23] = 3;
  const std::string before = packet;
  cr_assert(Format().read(packet).value().returned);
  Format().clear_returned(&packet);
  const Segment segment = Format().read(packet).value();
  cr_assert_not(segment.returned);
  for (size_t i = 0; i < packet.size(); ++i) {
    if (i == 16 || i == 17 || (i >= 18 && i < 22)) continue;
    cr_assert_eq(packet[i], before[i], "byte %zu", i);
  }
  cr_assert_eq(packet[16], '\x02');
}

// Fails if a copy of a first packet counts as new: its caller has waited since
// the first one.
Test(packet_format, reads_the_age_of_a_first_packet) {
  std::string packet(32, '\0');
  packet[16] = '\x10';
  const std::vector<int64_t> ages = {0, 200, 600, 600};
  for (size_t copies = 0; copies < ages.size(); ++copies) {
    packet[31] = static_cast<char>(copies);
    cr_assert_eq(Format().read(packet).value().age.Count(), ages[copies]);
  }
  packet[28] = '\xff';
  cr_assert_eq(Format().read(packet).value().age.Count(), 600);
  packet[16] = '\x12';
  cr_assert_eq(Format().read(packet).value().age.Count(), 0,
               "the upstream's reply has an acknowledgement in this field");
}

Test(packet_format, rejects_malformed_packets) {
  cr_assert_not(Format().read("").has_value());
  cr_assert_not(Format().read(std::string(31, '\0')).has_value());
  std::string packet(32, '\0');
  cr_assert(Format().read(packet).has_value());
  packet[23] = 1;
  cr_assert_not(Format().read(packet).has_value(),
                "data is shorter than the length field");
  packet[23] = 0;
  cr_assert_not(Format().read(packet + "x").has_value(),
                "data is longer than the length field");
  packet[22] = '\x10';
  cr_assert_not(Format().read(packet + std::string(4096, 'x')).has_value());
  Random random(20261204);
  for (int i = 0; i < 20000; ++i) {
    std::string bytes(random.Below(80), '\0');
    for (char& byte : bytes) byte = static_cast<char>(random.Below(256));
    (void)Format().read(bytes);
  }
}

}  // namespace
}  // namespace cornelhill
