#include "cornelhill/observe/event.h"

namespace cornelhill {

std::optional<EventKind> ParseEventKind(std::string_view name) {
  for (const EventKindInfo& info : kEventKinds) {
    if (info.name == name) return info.kind;
  }
  return std::nullopt;
}

EventDetail& EventDetail::Append(std::string_view key, std::string_view value) {
  const auto put = [this](std::string_view part) {
    const size_t fits = std::min(part.size(), kMaxBytes - this->length);
    std::copy_n(part.data(), fits, this->text.data() + this->length);
    this->length = static_cast<uint8_t>(this->length + fits);
  };
  if (this->length > 0) put(" ");
  put(key);
  put("=");
  put(value);
  return *this;
}

std::optional<EventDetail> EventDetail::FromWire(std::string_view text) {
  if (text.size() > kMaxBytes) return std::nullopt;
  if (!std::all_of(text.begin(), text.end(),
                   [](char c) { return c >= ' ' && c <= '~'; })) {
    return std::nullopt;
  }
  EventDetail detail;
  std::copy(text.begin(), text.end(), detail.text.begin());
  detail.length = static_cast<uint8_t>(text.size());
  return detail;
}

bool Matches(const EventFilter& filter, const Event& event) {
  return (!filter.flow || *filter.flow == event.flow) &&
         (!filter.service || *filter.service == event.service) &&
         (!filter.upstream || *filter.upstream == event.upstream) &&
         (!filter.revision || *filter.revision == event.revision) &&
         (!filter.from || event.time.wall >= *filter.from) &&
         (!filter.to || event.time.wall <= *filter.to);
}

}  // namespace cornelhill
