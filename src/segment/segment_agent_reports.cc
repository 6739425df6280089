// Reports and departures of the upstream of a `SegmentAgent`: which of them are
// its own, and which one is in force.

#include "cornelhill/segment/segment_agent.h"

namespace cornelhill {

namespace {

// Upstreams start to number their reports at 0 or 1, so a report with a higher
// number is not the first of its start.
constexpr uint64_t kMaxFirstReportSequence = 1;

}  // namespace

std::string_view ToString(ReportVerdict verdict) {
  switch (verdict) {
    case ReportVerdict::kAccepted:
      return "accepted";
    case ReportVerdict::kOutdated:
      return "outdated";
    case ReportVerdict::kOtherService:
      return "other_service";
    case ReportVerdict::kOtherAddress:
      return "other_address";
    case ReportVerdict::kOtherUpstream:
      return "other_upstream";
    case ReportVerdict::kEarlierStart:
      return "earlier_start";
  }
  return "unknown";
}

ReportVerdict SegmentAgent::OnReport(Millis now, const UpstreamReport& next) {
  if (next.service != this->settings.service) {
    return ReportVerdict::kOtherService;
  }
  if (next.address != this->settings.upstream) {
    return ReportVerdict::kOtherAddress;
  }
  if (!this->report.has_value()) return this->OnNewStart(now, next);
  const bool same_start = next.incarnation == this->report->incarnation;
  if (same_start && next.id == this->report->id) {
    return this->OnKnownStart(now, next);
  }
  if (next.incarnation <= this->report->incarnation &&
      !this->OutlivesLastReport(now, next)) {
    return same_start ? ReportVerdict::kOtherUpstream
                      : ReportVerdict::kEarlierStart;
  }
  this->OnUpstreamRestarted();
  return this->OnNewStart(now, next);
}

ReportVerdict SegmentAgent::OnNewStart(Millis now, const UpstreamReport& next) {
  this->earlier_report.reset();
  this->left_unannounced = false;
  this->may_hold_unknown_flows = this->MayPrecedeAgent(next);
  this->report = next;
  this->reported_at = now;
  this->upstream_last_heard = now;
  return ReportVerdict::kAccepted;
}

ReportVerdict SegmentAgent::OnKnownStart(Millis now,
                                         const UpstreamReport& next) {
  UpstreamReport& last = *this->report;
  const bool starts_to_drain =
      next.state == UpstreamState::kDraining &&
      (last.state == UpstreamState::kReady || this->left_unannounced);
  const bool runs = this->left_unannounced && next.sequence > last.sequence;
  if (starts_to_drain || runs) {
    this->left_unannounced = false;
    last.state = next.state;
  }
  if (next.sequence < last.sequence && !this->OutlivesLastReport(now, next)) {
    return starts_to_drain ? ReportVerdict::kAccepted
                           : ReportVerdict::kOutdated;
  }
  last.sequence = next.sequence;
  last.slots = next.slots;
  this->reported_at = now;
  this->upstream_last_heard = now;
  return ReportVerdict::kAccepted;
}

// The agent and its upstream run on one machine and state their starts by the
// same clock. The number covers a clock that stepped back between the two.
bool SegmentAgent::MayPrecedeAgent(const UpstreamReport& first) const {
  return first.incarnation <= this->settings.incarnation ||
         first.sequence > kMaxFirstReportSequence;
}

// A start is stated in Unix time, which can step back between two starts, and a
// start or a number that is not the upstream's may have been reported. Reports
// that a partition delayed also arrive while nothing else is heard, so one
// report is not enough.
bool SegmentAgent::OutlivesLastReport(Millis now, const UpstreamReport& next) {
  const bool heard_before =
      this->earlier_report.has_value() && this->earlier_report->id == next.id &&
      this->earlier_report->incarnation == next.incarnation &&
      this->earlier_report->sequence < next.sequence;
  this->earlier_report = next;
  return heard_before &&
         now - this->reported_at > this->settings.report_timeout;
}

// An ID may be in use again when the departure of an earlier start arrives, and
// a departure need not state its start. Upstreams drain before they leave, so
// the departure of one that has not done so is only taken as a drain.
bool SegmentAgent::OnLeave(const std::string& id,
                           const std::optional<Incarnation>& incarnation) {
  if (!this->report.has_value()) return true;
  UpstreamReport& last = *this->report;
  if (last.id != id ||
      incarnation.value_or(last.incarnation) != last.incarnation) {
    return false;
  }
  if (last.state == UpstreamState::kReady) this->left_unannounced = true;
  last.state =
      this->left_unannounced ? UpstreamState::kDraining : UpstreamState::kGone;
  return true;
}

}  // namespace cornelhill
